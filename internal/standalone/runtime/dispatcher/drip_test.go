package dispatcher_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/completer"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/retrier"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/dispatcher"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/settings"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// TestStalledStreamThatSendsBytesEnds verifies that an attempt ends by the idle timeout, or by that
// of the first token, although its engine sends bytes now and then, if they make no event.
func TestStalledStreamThatSendsBytesEnds(t *testing.T) {
	const (
		head  = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
		event = "id: a:1\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"x\"},\"finish_reason\":null}]}\n\n"
	)
	tests := map[string]struct {
		begin, part string
		chunks      int
	}{
		"parts of an event":        {head + "\r\n" + event + "id: a:2\ndata: ", "x", 1},
		"comments":                 {head + "\r\n" + event, ": ping\n\n", 1},
		"blank lines":              {head + "\r\n" + event, "\n", 1},
		"fields without data":      {head + "\r\n" + event, "retry: 5\n\n", 1},
		"comments before an event": {head + "\r\n", ": ping\n\n", 0},
		"header fields":            {head, "X-Field: value\r\n", 0},
		"single bytes of a header": {head + "X-Field: ", "x", 0},
		"interim responses":        {"", "HTTP/1.1 103 Early\r\n\r\n", 0},
		"a refusal":                {"HTTP/1.1 404 Not Found\r\nContent-Length: 1000\r\n\r\n", "x", 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer listener.Close()
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					go func() {
						defer conn.Close()
						if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
							return
						}
						_, err := io.WriteString(conn, test.begin)
						for err == nil {
							time.Sleep(20 * time.Millisecond)
							_, err = io.WriteString(conn, test.part)
						}
					}()
				}
			}()
			timeouts := settings.Defaults().Timeouts
			timeouts.Idle = 300 * clock.Millisecond
			caller := &slowCaller{}
			dispatch := action.Dispatch{Attempt: "a", Address: listener.Addr().String(), ResumeAfter: -1, FirstTokenTimeout: 400 * clock.Millisecond}
			start := time.Now()
			result := dispatcher.New(timeouts, 1<<20).Stream(context.Background(), dispatch, completer.KindChat, []byte("{}"), caller)
			require.Equal(t, retrier.Timeout, result.Failure, fmt.Sprintf("%+v", result))
			require.Equal(t, test.chunks, caller.chunks)
			require.Less(t, time.Since(start), 1500*time.Millisecond)
		})
	}
}
