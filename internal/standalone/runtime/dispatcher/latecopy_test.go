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
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/dispatcher"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/settings"
)

// copyTime is when a server sends the second copy of a response.
type copyTime int

const (
	// withResponse sends it in the same segment as the response.
	withResponse copyTime = iota
	// whileIdle sends it before the next request.
	whileIdle
	// afterNextRequest sends it when the next request has been read.
	afterNextRequest
)

// serveCopies responds to each request with its attempt identifier and sends each response a
// second time.
func serveCopies(conn net.Conn, status int, at copyTime) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	second := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if at == afterNextRequest {
			_, _ = io.WriteString(conn, second)
		}
		id := request.Header.Get(dispatcher.AttemptIDHeader)
		second = fmt.Sprintf("HTTP/1.1 %d Status\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", status, len(id), id)
		text := second
		if at == withResponse {
			text += second
		}
		_, _ = io.WriteString(conn, text)
		if at == whileIdle {
			time.Sleep(5 * time.Millisecond)
			_, _ = io.WriteString(conn, second)
		}
	}
}

// TestLateCopyIsNotTheNextResponse verifies that a second copy of a response, which a server
// sends on the same connection, is never taken for the response to the next request.
func TestLateCopyIsNotTheNextResponse(t *testing.T) {
	tests := map[string]struct {
		status int
		at     copyTime
	}{
		"with the response":            {http.StatusOK, withResponse},
		"while the connection is idle": {http.StatusOK, whileIdle},
		"after the next request":       {http.StatusOK, afterNextRequest},
		"a refusal, after the next":    {http.StatusNotFound, afterNextRequest},
		"a refusal, while idle":        {http.StatusNotFound, whileIdle},
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
					go serveCopies(conn, test.status, test.at)
				}
			}()
			d := dispatcher.New(settings.Defaults().Timeouts, 1<<20)
			for number := range 20 {
				id := fmt.Sprint("attempt-", number)
				dispatch := action.Dispatch{Attempt: id, Address: listener.Addr().String(), ResumeAfter: -1, FirstTokenTimeout: 5000}
				result := d.Exchange(context.Background(), dispatch, dispatcher.Call{Method: http.MethodGet, Target: "/"})
				require.Equal(t, id, string(result.Body), "%+v", result)
				if test.status != http.StatusOK {
					result = d.Stream(context.Background(), dispatch, completer.KindChat, []byte("{}"), &slowCaller{})
					require.Equal(t, id, string(result.Body), "%+v", result)
				}
				time.Sleep(time.Duration(number%3) * 5 * time.Millisecond)
			}
		})
	}
}
