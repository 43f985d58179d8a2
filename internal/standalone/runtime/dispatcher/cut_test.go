package dispatcher_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/completer"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/retrier"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/dispatcher"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/settings"
)

// sendCut returns the address of a server that sends the text and closes the connection.
func sendCut(t *testing.T, text string, reset bool) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() {
		defer listener.Close()
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err == nil {
			_, _ = io.Copy(io.Discard, request.Body)
		}
		_, _ = io.WriteString(conn, text)
		if reset {
			time.Sleep(time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	}()
	return listener.Addr().String()
}

// TestCutResponsesAreNotComplete cuts responses to calls and streams at each byte, and verifies that
// none is complete, and none "not sent".
func TestCutResponsesAreNotComplete(t *testing.T) {
	const (
		events = "id: a:1\ndata: {\"choices\":[{\"delta\":{\"content\":\"x\"},\"finish_reason\":\"stop\"}]}\n\nid: a:2\ndata: [DONE]"
		length = "Content-Length: 1234\r\n\r\n"
	)
	long := strings.Repeat("x", 1234)
	for name, test := range map[string]struct {
		text   string
		stream bool
		// optional is the number of bytes at the end without which the response is whole.
		optional int
	}{
		"a call, a length":          {text: "HTTP/1.1 201 Created\r\nContent-Type: text/plain\r\n" + length + long},
		"a call, chunks":            {text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n0\r\nX: y\r\n\r\n"},
		"a call, interim":           {text: "HTTP/1.1 103 Early\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"},
		"a call, no length":         {text: "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"},
		"a stream, chunks":          {text: fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\n\n\r\n0\r\n\r\n", len(events)+2, events), stream: true, optional: len("\r\n0\r\n\r\n")},
		"a stream, no length":       {text: "HTTP/1.1 200 OK\r\n\r\n" + events + "\n\n", stream: true, optional: len("\n")},
		"a stream, an answer of it": {text: "HTTP/1.1 404 Not Found\r\n" + length + long, stream: true},
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", reset ", reset), func(t *testing.T) {
				t.Parallel()
				d := dispatcher.New(settings.Defaults().Timeouts, 1<<20)
				for n := range len(test.text) + 1 {
					if reset && n%7 != 0 || n > 200 && n < len(test.text)-20 {
						continue
					}
					dispatch := action.Dispatch{Attempt: "a", Address: sendCut(t, test.text[:n], reset && n < len(test.text)), ResumeAfter: -1, FirstTokenTimeout: 5000}
					var result dispatcher.Result
					if test.stream {
						result = d.Stream(context.Background(), dispatch, completer.KindChat, []byte("{}"), &slowCaller{})
					} else {
						result = d.Exchange(context.Background(), dispatch, dispatcher.Call{Method: http.MethodPost, Target: "/"})
					}
					require.Equal(t, n >= len(test.text)-test.optional, result.Complete(), "cut at %d: %q: %+v", n, test.text[:n], result)
					require.False(t, result.Cancelled)
					require.NotEqual(t, retrier.NotSent, result.Progress, "cut at %d: %q", n, test.text[:n])
				}
			})
		}
	}
}

// TestLongAnswerOfStreamIsNotShortened guards against an answer other than a stream that is longer
// than the limit, and was passed on as far as the limit as if it were whole.
func TestLongAnswerOfStreamIsNotShortened(t *testing.T) {
	for length, failure := range map[int]retrier.Failure{99: 0, 100: 0, 101: retrier.Malformed} {
		text := fmt.Sprintf("HTTP/1.1 404 Not Found\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", length))
		dispatch := action.Dispatch{Attempt: "a", Address: sendCut(t, text, false), ResumeAfter: -1, FirstTokenTimeout: 5000}
		result := dispatcher.New(settings.Defaults().Timeouts, 100).Stream(context.Background(), dispatch, completer.KindChat, []byte("{}"), &slowCaller{})
		require.Equal(t, failure, result.Failure, "%d bytes: %+v", length, result)
	}
}
