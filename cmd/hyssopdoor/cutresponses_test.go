package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/completer"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/operator"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/platformclient"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const cutRoutes = `
[route cut]
kind = model
model = cut
class = draft

[route cutting]
kind = service
service = cutting
path = /orders
class = draft
repeatable = no
cost = 10
`

// cutNumber is where a request says after how many bytes its response is to be cut.
var cutNumber = regexp.MustCompile(`cut-(\d+)`)

// cutting is what a server has received and sent.
type cutting struct {
	received atomic.Int64
	sent     atomic.Value // sent is the text that was sent last.
}

// startCutting registers a server that sends the beginning of a response and closes the connection.
func (d *demo) startCutting(t *testing.T, entry objectstore.Instance, response func(attempt string) string) *cutting {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	cut := &cutting{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				body, _ := io.ReadAll(request.Body)
				number := cutNumber.FindStringSubmatch(string(body))
				if number == nil {
					return
				}
				cut.received.Add(1)
				n, _ := strconv.Atoi(number[1])
				text := response(request.Header.Get("X-Attempt-Id"))
				text = text[:min(n, len(text))]
				cut.sent.Store(text)
				_, _ = io.WriteString(conn, text)
			}()
		}
	}()
	entry.Domain, entry.State, entry.Incarnation, entry.Address = "try", objectstore.StateLive, entry.Name, listener.Addr().String()
	require.NoError(t, platformclient.New(d.simulators[0].URL(), clock.Second).Register(t.Context(), entry))
	require.Eventually(t, func() bool {
		status, err := d.operatorClient.Status(t.Context())
		return err == nil && strings.Contains(fmt.Sprintf("%+v", status.Servers), entry.Name)
	}, startTimeout, pollInterval)
	return cut
}

// TestCutResponses cuts the responses to a completion and to a call that may not be repeated at each
// byte, and verifies that callers never receive a part as a whole, and that the call runs once.
func TestCutResponses(t *testing.T) {
	demo := startTestDemo(t)
	config := strings.Replace(tryConfig, "rate = 20000\nburst = 60000", "rate = 1000000\nburst = 9000000", 1) + cutRoutes
	_, err := demo.operatorClient.Apply(t.Context(), operator.ConfigChange{File: "x.ini", Config: config})
	require.NoError(t, err)
	const order = "HTTP/1.1 201 Created\r\nContent-Type: text/plain\r\nContent-Length: 12\r\n\r\nwhole answer"
	stream := func(attempt string) string {
		events := fmt.Sprintf("id: %s:1\ndata: {\"choices\":[{\"text\":\"whole \"}]}\n\nid: %s:2\ndata: {\"choices\":[{\"text\":\"answer\",\"finish_reason\":\"stop\"}]}\n\nid: %s:3\ndata: [DONE]\n\n", attempt, attempt, attempt)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(events), events)
	}
	calls := demo.startCutting(t, objectstore.Instance{Name: "cutting-1", Role: objectstore.RoleService, Service: "cutting"}, func(string) string { return order })
	completions := demo.startCutting(t, objectstore.Instance{Name: "cut-1", Role: objectstore.RoleEngine, Models: []string{"cut"}, Weights: "v1"}, stream)
	for n := range len(order) + 1 {
		header := demo.authHeader()
		header.Set("Idempotency-Key", strconv.Itoa(n))
		response, body, err := demo.send(t.Context(), http.MethodPost, "/services/cutting/orders", fmt.Sprint("cut-", n), header)
		require.NoError(t, err)
		if n == len(order) {
			require.Equal(t, http.StatusCreated, response.StatusCode, body)
			require.Equal(t, "whole answer", body)
		} else {
			require.Equal(t, http.StatusConflict, response.StatusCode, "cut at %d: %s", n, body)
			require.Contains(t, body, `"notRun":false`)
		}
		require.Equal(t, int64(n+1), calls.received.Load(), "cut at %d", n)
	}
	// Each event names its attempt.
	length := len(stream(strings.Repeat("x", 40)))
	whole := 0
	for n := range length + 1 {
		prompt := fmt.Sprintf(`{"model":"cut","prompt":"cut-%d","max_tokens":4`, n)
		before := completions.received.Load()
		response, body, err := demo.send(t.Context(), http.MethodPost, "/v1/completions", prompt+"}", demo.authHeader())
		require.NoError(t, err)
		require.Greater(t, completions.received.Load(), before)
		_, streamed, _ := demo.send(t.Context(), http.MethodPost, "/v1/completions", prompt+`,"stream":true}`, demo.authHeader())
		if strings.Contains(completions.sent.Load().(string), "[DONE]\n\n") {
			require.Contains(t, body, `"text":"whole answer"`)
			require.Contains(t, streamed, completer.DoneData)
			whole++
			continue
		}
		require.Equal(t, http.StatusBadGateway, response.StatusCode, "cut at %d: %s", n, body)
		require.NotContains(t, streamed, completer.DoneData, "cut at %d", n)
	}
	require.Positive(t, whole)
}
