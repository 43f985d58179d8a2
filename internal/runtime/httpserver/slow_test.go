package httpserver_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/desired"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/httpserver"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// longHandler responds with a long body.
type longHandler struct {
	bytes   int
	timeout clock.Millis
	ended   chan bool
}

// CallerTimeout returns the timeout of the test's callers.
func (h *longHandler) CallerTimeout(*httpserver.InboundRequest) clock.Millis { return h.timeout }

// Handle responds with the body and reports whether it was written.
func (h *longHandler) Handle(_ *httpserver.InboundRequest, response *httpserver.ResponseWriter) {
	response.WriteResponse(http.StatusOK, http.Header{}, make([]byte, h.bytes))
	h.ended <- response.Completed()
}

// TestCallerThatReadsSlowlyIsNotCut verifies that a caller receives a response that takes longer
// than the write timeout as long as it reads, and that one which does not read, or reads a few
// bytes now and then, does not keep its response forever.
func TestCallerThatReadsSlowlyIsNotCut(t *testing.T) {
	tests := map[string]struct {
		bytesPerStep int // bytesPerStep are read every 50 ms.
		timeout      clock.Millis
		completed    bool
	}{
		"reads slowly":                   {3000, 30 * clock.Second, true},
		"reads slowly, after the time":   {1000, clock.Second, false},
		"reads a few bytes now and then": {10, 30 * clock.Second, false},
		"does not read":                  {0, 30 * clock.Second, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			// Small buffers make the server wait for the caller.
			small := func(_, _ string, socket syscall.RawConn) error {
				return socket.Control(func(descriptor uintptr) {
					_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_SNDBUF, 8<<10)
					_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 8<<10)
				})
			}
			listener, err := (&net.ListenConfig{Control: small}).Listen(context.Background(), "tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer listener.Close()
			handler := &longHandler{bytes: 380_000, timeout: test.timeout, ended: make(chan bool, 1)}
			server := httpserver.New(handler, 1<<20)
			go func() { _ = server.Serve(listener) }()
			conn, err := (&net.Dialer{Control: small}).Dial("tcp", listener.Addr().String())
			require.NoError(t, err)
			defer conn.Close()
			_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			require.NoError(t, err)
			start := time.Now()
			stopped := make(chan struct{})
			defer close(stopped)
			go func() {
				buffer := make([]byte, max(1, test.bytesPerStep))
				for test.bytesPerStep > 0 {
					select {
					case <-stopped:
						return
					case <-time.After(50 * time.Millisecond):
						if _, err := io.ReadFull(conn, buffer); err != nil {
							return
						}
					}
				}
			}()
			select {
			case completed := <-handler.ended:
				assert.Equal(t, test.completed, completed, "after %s", time.Since(start))
				assert.Greater(t, time.Since(start), 4900*time.Millisecond)
			case <-time.After(12 * time.Second):
				require.Fail(t, "the response has not ended")
			}
		})
	}
}

// TestRequestsByteByByte verifies that a request that arrives byte by byte within the timeouts is
// served, and that one that does not end within them is rejected.
func TestRequestsByteByByte(t *testing.T) {
	const chunked = "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
	tests := map[string]struct {
		text   string
		pause  time.Duration
		status string
	}{
		"a slow request":         {"POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc", 2 * time.Millisecond, "200"},
		"a slow chunked request": {chunked + "3\r\nabc\r\n0\r\nX: y\r\n\r\n", 2 * time.Millisecond, "200"},
		"a header without end":   {"POST /a HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("X: y\r\n", 300), 10 * time.Millisecond, "408"},
		"empty lines":            {strings.Repeat("\r\n", 2000), 5 * time.Millisecond, "408"},
		"a body without end":     {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 900\r\n\r\n" + strings.Repeat("x", 899), 10 * time.Millisecond, "408"},
		"chunks without end":     {chunked + strings.Repeat("1\r\nx\r\n", 500), 10 * time.Millisecond, "408"},
		"a trailer without end":  {chunked + "0\r\n" + strings.Repeat("X: y\r\n", 500), 10 * time.Millisecond, "408"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer listener.Close()
			server := httpserver.New(&echoHandler{disconnected: make(chan struct{})}, 1<<20)
			server.SetLimits(desired.Limits{HeaderBytes: 2048, BodyBytes: 1000, HeaderTimeout: 600 * clock.Millisecond, IdleTimeout: clock.Second})
			go func() { _ = server.Serve(listener) }()
			conn, err := net.Dial("tcp", listener.Addr().String())
			require.NoError(t, err)
			defer conn.Close()
			go func() {
				for i := range len(test.text) {
					if _, err := io.WriteString(conn, test.text[i:i+1]); err != nil {
						return
					}
					time.Sleep(test.pause)
				}
			}()
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(4*time.Second)))
			// A reset after the response counts as the connection's end.
			received, _ := io.ReadAll(conn)
			require.True(t, bytes.HasPrefix(received, []byte("HTTP/1.1 "+test.status+" ")), "%q", received)
			require.Less(t, bytes.Count(received, []byte("HTTP/1.1 ")), 2)
		})
	}
}
