package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/tmaxmax/go-sse"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/completer"
	"github.com/hyssopdoor/hyssopdoor/internal/standin/engine"
)

const (
	streamTokens = 60
	streamPrompt = "Describe the transect at Rt Kamenjak from the protocol."
)

func streamBody(prompt string) string {
	return fmt.Sprintf(`{"model":"notes","prompt":%q,"max_tokens":%d,"stream":true}`, prompt, streamTokens)
}

// requireCompleteStream verifies that a stream is complete and has the text that a
// single engine would have generated.
func requireCompleteStream(t *testing.T, prompt, stream string) {
	t.Helper()
	text, complete, err := readStream(stream)
	require.NoError(t, err)
	require.True(t, complete, stream)
	require.Equal(t, engine.Expected(prompt, streamTokens), text)
}

func (c *cluster) engineCounts(name string) engine.Counts {
	c.t.Helper()
	response, err := http.Get("http://" + c.serverAddresses[name] + "/counts")
	require.NoError(c.t, err)
	defer response.Body.Close()
	var counts engine.Counts
	require.NoError(c.t, json.NewDecoder(response.Body).Decode(&counts))
	return counts
}

// waitNoSuspects waits until the instance suspects no server.
func (c *cluster) waitNoSuspects(name string) {
	c.t.Helper()
	require.Eventually(c.t, func() bool {
		status, err := c.operatorClient(name).Status(context.Background())
		if err != nil {
			return false
		}
		for _, server := range status.Servers {
			if server.Suspect {
				return false
			}
		}
		return true
	}, startTimeout, 20*time.Millisecond)
}

// resumeOnOtherInstance reads the beginning of a stream, kills its instance and reads
// the rest through another instance by the identifier of the last event. It also
// verifies that forged identifiers are rejected.
func (c *cluster) resumeOnOtherInstance(t *testing.T) {
	started := c.startInstance("split-a-2", "split-a")
	c.waitReady()
	prompt := "to be resumed"
	request, err := http.NewRequest(http.MethodPost, "http://"+started.callerAddress+"/v1/completions", strings.NewReader(streamBody(prompt)))
	require.NoError(t, err)
	request.Header = c.authHeader()
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	text, lastEventID := "", ""
	events := 0
	for event, err := range sse.Read(response.Body, nil) {
		require.NoError(t, err)
		chunk, err := completer.DecodeChunk(completer.KindText, event.Data)
		require.NoError(t, err)
		text += chunk.Text
		lastEventID = event.LastEventID
		if events++; events == 7 {
			break
		}
	}
	started.kill()
	delete(c.instances, "split-a-2")

	header := c.authHeader()
	header.Set("Last-Event-ID", lastEventID)
	_, remainder := c.mustSend("split-b-1", http.MethodPost, "/v1/completions", streamBody(prompt), header)
	remainingText, complete, err := readStream(remainder)
	require.NoError(t, err)
	require.True(t, complete, remainder)
	require.Equal(t, engine.Expected(prompt, streamTokens), text+remainingText)

	otherKey, err := c.operatorClient("split-b-1").IssueKey(context.Background(), "visitors")
	require.NoError(t, err)
	forged := map[string]http.Header{
		"changed number":     {"Authorization": header["Authorization"], "Last-Event-ID": {strings.Replace(lastEventID, "/7/", "/6/", 1)}},
		"another team's key": {"Authorization": {"Bearer " + otherKey.Secret}, "Last-Event-ID": {lastEventID}},
	}
	for name, header := range forged {
		response, responseBody := c.mustSend("split-b-1", http.MethodPost, "/v1/completions", streamBody(prompt), header)
		require.Equal(t, http.StatusBadRequest, response.StatusCode, "%s: %s", name, responseBody)
	}
}

// TestStreamsSurviveEngineFailures makes engines fail in the middle of streams. While
// an engine is left, the caller must receive the complete text in order; otherwise
// the stream must end with an error event.
func TestStreamsSurviveEngineFailures(t *testing.T) {
	c := startCluster(t, "split-a", "split-b", "split-c")
	engines := []string{"engine-split-a", "engine-split-b", "engine-split-c"}
	tests := map[string]struct {
		failingEngines int
		faults         engine.Faults
	}{
		"cut after 5 tokens":         {1, engine.Faults{AbortedStreams: 1, CutAfterTokens: 5}},
		"cut twice":                  {2, engine.Faults{AbortedStreams: 1, CutAfterTokens: 5}},
		"cut before the first token": {2, engine.Faults{AbortedStreams: 1}},
		"connection lost, engine on": {1, engine.Faults{DroppedConnections: 1, CutAfterTokens: 5}},
		"another answer's events":    {1, engine.Faults{MismatchedResponses: 1}},
		"refused for load":           {2, engine.Faults{RejectedRequests: 1}},
	}
	// The names are part of the prompts, which determine the length of the texts.
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for _, failing := range engines[:test.failingEngines] {
				c.setFaults(c.serverAddresses[failing], test.faults)
			}
			prompt := streamPrompt + name
			response, responseBody := c.mustSend("split-a-1", http.MethodPost, "/v1/completions", streamBody(prompt), c.authHeader())
			require.Equal(t, http.StatusOK, response.StatusCode, responseBody)
			requireCompleteStream(t, prompt, responseBody)
			for _, failing := range engines {
				c.setFaults(c.serverAddresses[failing], engine.Faults{})
			}
		})
	}

	t.Run("a stream is resumed on the same engine", func(t *testing.T) {
		require.Positive(t, c.engineCounts("engine-split-a").Resumed)
	})

	t.Run("a stream is resumed through another instance", func(t *testing.T) { c.resumeOnOtherInstance(t) })

	t.Run("no engine is left", func(t *testing.T) {
		for _, failing := range engines {
			c.setFaults(c.serverAddresses[failing], engine.Faults{AbortedStreams: 1, CutAfterTokens: 5})
		}
		_, responseBody := c.mustSend("split-a-1", http.MethodPost, "/v1/completions", streamBody(streamPrompt), c.authHeader())
		require.Contains(t, responseBody, "event: error")
		require.Contains(t, responseBody, "streamIncomplete")
		require.NotContains(t, responseBody, "[DONE]")
		for _, failing := range engines {
			c.setFaults(c.serverAddresses[failing], engine.Faults{})
		}
	})

	t.Run("a disconnected caller cancels the engine's stream", func(t *testing.T) {
		c.waitNoSuspects("split-a-1")
		before := c.engineCounts("engine-split-a").Cancelled
		ctx, cancel := context.WithCancel(context.Background())
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.instances["split-a-1"].callerAddress+"/v1/completions", strings.NewReader(streamBody("to be left")))
		require.NoError(t, err)
		request.Header = c.authHeader()
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		_, err = io.ReadFull(response.Body, make([]byte, 200))
		require.NoError(t, err)
		cancel()
		_ = response.Body.Close()
		require.Eventually(t, func() bool { return c.engineCounts("engine-split-a").Cancelled > before }, 2*time.Second, 10*time.Millisecond)
	})

	t.Run("an engine's process is killed", func(t *testing.T) {
		c.waitNoSuspects("split-a-1")
		before := c.engineCounts("engine-split-a").Requests
		result := make(chan string)
		go func() {
			_, responseBody, err := c.send("split-a-1", http.MethodPost, "/v1/completions", streamBody("killed"), c.authHeader())
			if err != nil {
				responseBody = err.Error()
			}
			result <- responseBody
		}()
		require.Eventually(t, func() bool { return c.engineCounts("engine-split-a").Requests > before }, startTimeout, time.Millisecond)
		time.Sleep(40 * time.Millisecond)
		c.servers["engine-split-a"].kill()
		requireCompleteStream(t, "killed", <-result)
	})
}
