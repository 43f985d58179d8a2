package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/runtime/exiter"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/completer"
	"github.com/hyssopdoor/hyssopdoor/internal/standin/engine"
	"github.com/hyssopdoor/hyssopdoor/internal/standin/service"
)

// TestProcessesServeTheWholePath runs platform, three instances in three failure
// domains, three engines and three services as processes, and sends streamed and
// plain requests through each instance.
func TestProcessesServeTheWholePath(t *testing.T) {
	domains := []string{"split-a", "split-b", "split-c"}
	s := startSystem(t, domains...)
	for _, domain := range domains {
		name := domain + "-1"
		prompt := "Is the scarp of " + domain + " active?"
		t.Run(name+" streams", func(t *testing.T) {
			body := fmt.Sprintf(`{"model":"scarp","prompt":%q,"max_tokens":40,"stream":true}`, prompt)
			response, answer := s.request(name, http.MethodPost, "/v1/completions", body, s.keyed())
			require.Equal(t, http.StatusOK, response.StatusCode, answer)
			text, done, err := readStream(answer)
			require.NoError(t, err)
			require.True(t, done)
			require.Equal(t, engine.Expected(prompt, 40), text)
		})
		t.Run(name+" answers a chat whole", func(t *testing.T) {
			body := fmt.Sprintf(`{"model":"notes","messages":[{"role":"user","content":%q}],"max_tokens":10}`, prompt)
			response, answer := s.request(name, http.MethodPost, "/v1/chat/completions", body, s.keyed())
			require.Equal(t, http.StatusOK, response.StatusCode, answer)
			var whole struct {
				Choices []struct{ Message completer.Message }
			}
			require.NoError(t, json.Unmarshal([]byte(answer), &whole))
			rendered := completer.RenderChat([]completer.Message{{Role: "user", Content: prompt}})
			require.Equal(t, engine.Expected(rendered, 10), whole.Choices[0].Message.Content)
		})
		t.Run(name+" records an order once", func(t *testing.T) {
			for _, replayed := range []string{"", "true"} {
				response, answer := s.order(name, "term-"+name, "order of "+name)
				require.Equal(t, http.StatusCreated, response.StatusCode, answer)
				require.Equal(t, replayed, response.Header.Get("Idempotency-Replayed"))
			}
		})
	}
	total := 0
	for _, domain := range domains {
		records := s.records("ordering-" + domain)
		total += records.Total
		require.Zero(t, records.Doubles)
		require.Zero(t, records.SawAuthorization, "no backend server may see a key")
	}
	require.Equal(t, len(domains), total)
}

func (s *system) records(server string) service.Records {
	s.t.Helper()
	response, err := http.Get("http://" + s.addresses[server] + "/records")
	require.NoError(s.t, err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	require.NoError(s.t, err)
	var records service.Records
	require.NoError(s.t, json.Unmarshal(data, &records))
	return records
}

// setFaults sets the faults of a stand-in.
func (s *system) setFaults(address string, faults any) {
	s.t.Helper()
	body, err := json.Marshal(faults)
	require.NoError(s.t, err)
	response, err := http.Post("http://"+address+"/faults", "application/json", strings.NewReader(string(body)))
	require.NoError(s.t, err)
	require.NoError(s.t, response.Body.Close())
	require.Equal(s.t, http.StatusOK, response.StatusCode)
}

func TestTryOnce(t *testing.T) {
	require.Equal(t, exiter.Done, run([]string{"try", "--once"}))
}
