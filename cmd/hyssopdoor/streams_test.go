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

// requireWhole holds a stream to the text that one engine alone would have made.
func requireWhole(t *testing.T, prompt, stream string) {
	t.Helper()
	text, done, err := readStream(stream)
	require.NoError(t, err)
	require.True(t, done, stream)
	require.Equal(t, engine.Expected(prompt, streamTokens), text)
}

func (s *system) engineCounts(name string) engine.Counts {
	s.t.Helper()
	response, err := http.Get("http://" + s.addresses[name] + "/counts")
	require.NoError(s.t, err)
	defer response.Body.Close()
	var counts engine.Counts
	require.NoError(s.t, json.NewDecoder(response.Body).Decode(&counts))
	return counts
}

// waitTrusted waits until the instance suspects no server.
func (s *system) waitTrusted(name string) {
	s.t.Helper()
	require.Eventually(s.t, func() bool {
		status, err := s.operator(name).Status(context.Background())
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

// resumeElsewhere reads a part of a stream, kills its instance, and reads the
// rest through another one by the last event's identifier.
func (s *system) resumeElsewhere(t *testing.T) {
	started := s.startEntry("split-a-2", "split-a")
	s.waitReady()
	prompt := "to be resumed"
	request, err := http.NewRequest(http.MethodPost, "http://"+started.callers+"/v1/completions", strings.NewReader(streamBody(prompt)))
	require.NoError(t, err)
	request.Header = s.keyed()
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	text, last := "", ""
	events := 0
	for event, err := range sse.Read(response.Body, nil) {
		require.NoError(t, err)
		chunk, err := completer.DecodeChunk(completer.KindText, event.Data)
		require.NoError(t, err)
		text += chunk.Text
		last = event.LastEventID
		if events++; events == 7 {
			break
		}
	}
	started.kill()
	delete(s.entries, "split-a-2")

	header := s.keyed()
	header.Set("Last-Event-ID", last)
	_, rest := s.request("split-b-1", http.MethodPost, "/v1/completions", streamBody(prompt), header)
	restText, done, err := readStream(rest)
	require.NoError(t, err)
	require.True(t, done, rest)
	require.Equal(t, engine.Expected(prompt, streamTokens), text+restText)

	other, err := s.operator("split-b-1").IssueKey(context.Background(), "visitors")
	require.NoError(t, err)
	forged := map[string]http.Header{
		"changed number":     {"Authorization": header["Authorization"], "Last-Event-ID": {strings.Replace(last, "/7/", "/6/", 1)}},
		"another team's key": {"Authorization": {"Bearer " + other.Secret}, "Last-Event-ID": {last}},
	}
	for name, header := range forged {
		response, answer := s.request("split-b-1", http.MethodPost, "/v1/completions", streamBody(prompt), header)
		require.Equal(t, http.StatusBadRequest, response.StatusCode, "%s: %s", name, answer)
	}
}

// TestStreamsArriveWholeAndInOrder lets engines fail in the middle of streams.
func TestStreamsArriveWholeAndInOrder(t *testing.T) {
	s := startSystem(t, "split-a", "split-b", "split-c")
	engines := []string{"engine-split-a", "engine-split-b", "engine-split-c"}
	tests := map[string]struct {
		failing int
		faults  engine.Faults
	}{
		"cut after 5 tokens":         {1, engine.Faults{AbortedStreams: 1, CutAfterTokens: 5}},
		"cut twice":                  {2, engine.Faults{AbortedStreams: 1, CutAfterTokens: 5}},
		"cut before the first token": {2, engine.Faults{AbortedStreams: 1}},
		"connection lost, engine on": {1, engine.Faults{DroppedConnections: 1, CutAfterTokens: 5}},
		"another answer's events":    {1, engine.Faults{MismatchedResponses: 1}},
		"refused for load":           {2, engine.Faults{RejectedRequests: 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for _, failing := range engines[:test.failing] {
				s.setFaults(s.addresses[failing], test.faults)
			}
			prompt := streamPrompt + name
			response, answer := s.request("split-a-1", http.MethodPost, "/v1/completions", streamBody(prompt), s.keyed())
			require.Equal(t, http.StatusOK, response.StatusCode, answer)
			requireWhole(t, prompt, answer)
			for _, failing := range engines {
				s.setFaults(s.addresses[failing], engine.Faults{})
			}
		})
	}

	t.Run("a lost connection is resumed at the same engine", func(t *testing.T) {
		require.Positive(t, s.engineCounts("engine-split-a").Resumed)
	})

	t.Run("a caller goes on through another instance", func(t *testing.T) { s.resumeElsewhere(t) })

	t.Run("no engine is left", func(t *testing.T) {
		for _, failing := range engines {
			s.setFaults(s.addresses[failing], engine.Faults{AbortedStreams: 1, CutAfterTokens: 5})
		}
		_, answer := s.request("split-a-1", http.MethodPost, "/v1/completions", streamBody(streamPrompt), s.keyed())
		require.Contains(t, answer, "event: error")
		require.Contains(t, answer, "streamIncomplete")
		require.NotContains(t, answer, "[DONE]")
		for _, failing := range engines {
			s.setFaults(s.addresses[failing], engine.Faults{})
		}
	})

	t.Run("a caller who goes cancels the engine's stream", func(t *testing.T) {
		s.waitTrusted("split-a-1")
		before := s.engineCounts("engine-split-a").Cancelled
		ctx, cancel := context.WithCancel(context.Background())
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.entries["split-a-1"].callers+"/v1/completions", strings.NewReader(streamBody("to be left")))
		require.NoError(t, err)
		request.Header = s.keyed()
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		_, err = io.ReadFull(response.Body, make([]byte, 200))
		require.NoError(t, err)
		cancel()
		_ = response.Body.Close()
		require.Eventually(t, func() bool { return s.engineCounts("engine-split-a").Cancelled > before }, 2*time.Second, 10*time.Millisecond)
	})

	t.Run("an engine's process is killed", func(t *testing.T) {
		s.waitTrusted("split-a-1")
		before := s.engineCounts("engine-split-a").Requests
		done := make(chan string)
		go func() {
			_, answer, err := s.send("split-a-1", http.MethodPost, "/v1/completions", streamBody("killed"), s.keyed())
			if err != nil {
				answer = err.Error()
			}
			done <- answer
		}()
		require.Eventually(t, func() bool { return s.engineCounts("engine-split-a").Requests > before }, startTimeout, time.Millisecond)
		time.Sleep(40 * time.Millisecond)
		s.servers["engine-split-a"].kill()
		requireWhole(t, "killed", <-done)
	})
}
