package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/runtime/exitcode"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/completer"
	"github.com/hyssopdoor/hyssopdoor/internal/standin/engine"
	"github.com/hyssopdoor/hyssopdoor/internal/standin/service"
)

// TestRequestsThroughEveryInstance runs a platform and an instance, an engine and a
// service in each of three failure domains as processes, and sends streams, chat
// completions and orders through each instance.
func TestRequestsThroughEveryInstance(t *testing.T) {
	domains := []string{"split-a", "split-b", "split-c"}
	c := startCluster(t, domains...)
	for _, domain := range domains {
		name := domain + "-1"
		prompt := "Is the scarp of " + domain + " active?"
		t.Run(name+" streams a completion", func(t *testing.T) {
			body := fmt.Sprintf(`{"model":"scarp","prompt":%q,"max_tokens":40,"stream":true}`, prompt)
			response, responseBody := c.mustSend(name, http.MethodPost, "/v1/completions", body, c.authHeader())
			require.Equal(t, http.StatusOK, response.StatusCode, responseBody)
			text, complete, err := readStream(responseBody)
			require.NoError(t, err)
			require.True(t, complete)
			require.Equal(t, engine.Expected(prompt, 40), text)
		})
		t.Run(name+" returns a chat completion", func(t *testing.T) {
			body := fmt.Sprintf(`{"model":"notes","messages":[{"role":"user","content":%q}],"max_tokens":10}`, prompt)
			response, responseBody := c.mustSend(name, http.MethodPost, "/v1/chat/completions", body, c.authHeader())
			require.Equal(t, http.StatusOK, response.StatusCode, responseBody)
			var completion struct {
				Choices []struct{ Message completer.Message }
			}
			require.NoError(t, json.Unmarshal([]byte(responseBody), &completion))
			rendered := completer.RenderChat([]completer.Message{{Role: "user", Content: prompt}})
			require.Equal(t, engine.Expected(rendered, 10), completion.Choices[0].Message.Content)
		})
		t.Run(name+" records an order once", func(t *testing.T) {
			for _, replayed := range []string{"", "true"} {
				response, responseBody := c.mustSendOrder(name, "term-"+name, "order of "+name)
				require.Equal(t, http.StatusCreated, response.StatusCode, responseBody)
				require.Equal(t, replayed, response.Header.Get("Idempotency-Replayed"))
			}
		})
	}
	total := 0
	for _, domain := range domains {
		records := c.records("ordering-" + domain)
		total += records.Total
		require.Zero(t, records.Duplicates)
		require.Zero(t, records.WithAuthorization, "no backend server may receive a key")
	}
	require.Equal(t, len(domains), total)
}

func (c *cluster) records(server string) service.Records {
	c.t.Helper()
	response, err := http.Get("http://" + c.serverAddresses[server] + "/records")
	require.NoError(c.t, err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	require.NoError(c.t, err)
	var records service.Records
	require.NoError(c.t, json.Unmarshal(data, &records))
	return records
}

// setFaults sets the faults of the simulator at the address.
func (c *cluster) setFaults(address string, faults any) {
	c.t.Helper()
	body, err := json.Marshal(faults)
	require.NoError(c.t, err)
	response, err := http.Post("http://"+address+"/faults", "application/json", strings.NewReader(string(body)))
	require.NoError(c.t, err)
	require.NoError(c.t, response.Body.Close())
	require.Equal(c.t, http.StatusOK, response.StatusCode)
}

func TestTryOnce(t *testing.T) {
	require.Equal(t, exitcode.Success, run([]string{"try", "--once"}))
}
