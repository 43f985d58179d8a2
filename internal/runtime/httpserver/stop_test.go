package httpserver_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/desired"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/drainlistener"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/httpserver"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// recordingListener records which connections the server has accepted.
type recordingListener struct {
	*drainlistener.Listener
	accepted sync.Map
}

// Accept accepts a connection.
func (l *recordingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Store(conn.RemoteAddr().String(), true)
	}
	return conn, err
}

// hasAccepted reports whether the server has accepted the caller's connection.
func (l *recordingListener) hasAccepted(conn net.Conn) bool {
	_, accepted := l.accepted.Load(conn.LocalAddr().String())
	return accepted
}

// startStoppable starts a server whose listener is returned.
func startStoppable(t *testing.T, idle clock.Millis) (*httpserver.Server, *recordingListener) {
	t.Helper()
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := &recordingListener{Listener: drainlistener.New(tcp.(*net.TCPListener))}
	server := httpserver.New(&echoHandler{disconnected: make(chan struct{})}, 1<<20)
	server.SetLimits(desired.Limits{HeaderBytes: 2048, BodyBytes: 1000, HeaderTimeout: 300 * clock.Millisecond, IdleTimeout: idle})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close() })
	return server, listener
}

// stop stops the server as an instance does.
func stop(t *testing.T, server *httpserver.Server, listener *recordingListener) {
	t.Helper()
	server.Drain()
	listener.Drain()
	require.Eventually(t, func() bool { return server.CloseIdle() == 0 }, 3*time.Second, time.Millisecond)
}

const simpleRequest = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"

// readAnswer reads one response and returns whether it announces the end of the connection.
func readAnswer(conn net.Conn) (closes bool, err error) {
	if err := conn.SetReadDeadline(time.Now().Add(4 * time.Second)); err != nil {
		return false, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false, err
	}
	_, err = io.ReadAll(response.Body)
	return response.Close, err
}

// TestStopAnswersRequestsThatHaveArrived verifies that a request that has arrived when the server
// stops is answered: on a connection that waits to be accepted, on a new one and on an idle one.
func TestStopAnswersRequestsThatHaveArrived(t *testing.T) {
	tests := map[string]struct {
		// requestsBefore is the number of requests that each connection has sent before.
		requestsBefore int
		// pause is the time between the connect and the last request.
		pause time.Duration
	}{
		"new connections":              {0, 0},
		"new, accepted connections":    {0, 30 * time.Millisecond},
		"connections in use":           {2, 0},
		"connections idle for a while": {1, 400 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for range 3 {
				server, listener := startStoppable(t, 5*clock.Second)
				var conns []net.Conn
				for range 30 {
					conn, err := net.Dial("tcp", listener.Addr().String())
					require.NoError(t, err)
					defer conn.Close()
					for range test.requestsBefore {
						_, err = io.WriteString(conn, simpleRequest)
						require.NoError(t, err)
						_, err = readAnswer(conn)
						require.NoError(t, err)
					}
					conns = append(conns, conn)
				}
				time.Sleep(test.pause)
				for _, conn := range conns {
					_, err := io.WriteString(conn, simpleRequest)
					require.NoError(t, err)
				}
				stop(t, server, listener)
				for _, conn := range conns {
					_, err := readAnswer(conn)
					require.NoError(t, err, "the request has no answer")
				}
			}
		})
	}
}

// TestResponseSurvivesFurtherRequests verifies that the last response on a connection arrives
// whole although the caller has sent further requests, which are not read: closing a connection
// with unread input resets it, and a reset discards what the caller has not read.
func TestResponseSurvivesFurtherRequests(t *testing.T) {
	for name, further := range map[string]int{"some requests": 1000, "many requests": 20_000} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for range 3 {
				_, listener := startStoppable(t, 5*clock.Second)
				conn, err := net.Dial("tcp", listener.Addr().String())
				require.NoError(t, err)
				defer conn.Close()
				go func() {
					_, _ = io.WriteString(conn, "GET /long HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"+strings.Repeat(simpleRequest, further))
				}()
				time.Sleep(100 * time.Millisecond)
				closes, err := readAnswer(&slowConn{Conn: conn, left: 40})
				require.NoError(t, err)
				require.True(t, closes)
			}
		})
	}
}

// slowConn pauses before each of its first reads.
type slowConn struct {
	net.Conn
	left int
}

// Read reads at most 32 KB.
func (c *slowConn) Read(buffer []byte) (int, error) {
	if c.left--; c.left > 0 {
		time.Sleep(5 * time.Millisecond)
	}
	return c.Conn.Read(buffer[:min(len(buffer), 32<<10)])
}

// TestDrainWithinResponse verifies that a request which follows a response that does not announce
// the end of its connection, because its head was written before the server stopped, is answered.
func TestDrainWithinResponse(t *testing.T) {
	server, listener := startStoppable(t, 5*clock.Second)
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n"+simpleRequest)
	require.NoError(t, err)
	reader := bufio.NewReader(conn)
	line, err := reader.ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "HTTP/1.1 200 OK\r\n", line)
	stop(t, server, listener)
	received, err := io.ReadAll(reader)
	require.NoError(t, err)
	require.Contains(t, string(received), "part\r\n0\r\n\r\nHTTP/1.1 200 OK\r\n", "the second request has an answer")
	require.Equal(t, 1, strings.Count(string(received), "Connection: close"))
}

// TestStopUnderLoad stops the server under callers that use connections until they are closed, and
// verifies that each request is answered. The kernel may accept a connection between the last look
// at the listener and its end; the server never sees such a connection, which is reset. If the
// caller's write takes the error of the reset, its read reports the end of the input.
func TestStopUnderLoad(t *testing.T) {
	t.Parallel()
	for round := range 4 {
		server, listener := startStoppable(t, 5*clock.Second)
		var callers sync.WaitGroup
		var mu sync.Mutex
		answered, unaccepted, failures := 0, 0, []string{}
		for n := range 20 {
			callers.Go(func() {
				for {
					conn, err := net.Dial("tcp", listener.Addr().String())
					if err != nil {
						return
					}
					for first := true; ; first = false {
						_, _ = io.WriteString(conn, simpleRequest)
						closes, err := readAnswer(conn)
						mu.Lock()
						switch {
						case err == nil:
							answered++
						case !listener.hasAccepted(conn) && (errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.ErrUnexpectedEOF)):
							unaccepted++
						default:
							failures = append(failures, fmt.Sprint("caller ", n, ", first request: ", first, ": ", err))
						}
						mu.Unlock()
						if err != nil || closes {
							break
						}
						time.Sleep(time.Duration(n) * time.Millisecond)
					}
					_ = conn.Close()
				}
			})
		}
		time.Sleep(time.Duration(20+round*7) * time.Millisecond)
		server.Drain()
		time.Sleep(time.Duration(2*round) * time.Millisecond)
		stop(t, server, listener)
		callers.Wait()
		require.Empty(t, failures, "of %d", answered)
		require.LessOrEqual(t, unaccepted, 4, "of 20 callers")
	}
}

// TestStopAnswersRequestsThatAreBeingRead ends a stop while callers have sent parts of requests.
func TestStopAnswersRequestsThatAreBeingRead(t *testing.T) {
	t.Parallel()
	tests := map[string]string{
		"part of a head":           "POST /a HTTP/1.1\r\nHost: h\r\n",
		"part of a body":           "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nabc",
		"part of a chunked body":   "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
		"after a complete request": simpleRequest + "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nabc",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server, listener := startStoppable(t, 5*clock.Second)
			server.SetLimits(desired.Limits{HeaderBytes: 2048, BodyBytes: 1000, HeaderTimeout: 5 * clock.Second, IdleTimeout: 5 * clock.Second})
			conn, err := net.Dial("tcp", listener.Addr().String())
			require.NoError(t, err)
			defer conn.Close()
			_, err = io.WriteString(conn, text)
			require.NoError(t, err)
			reader := bufio.NewReader(conn)
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(2*time.Second)))
			if strings.HasPrefix(text, simpleRequest) {
				response, err := http.ReadResponse(reader, nil)
				require.NoError(t, err)
				_, err = io.ReadAll(response.Body)
				require.NoError(t, err)
			}
			time.Sleep(50 * time.Millisecond)
			server.Drain()
			listener.Drain()
			server.EndReads()
			response, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			require.NotEmpty(t, response.Header.Get("Retry-After"))
			require.True(t, response.Close)
			require.Eventually(t, func() bool { return server.CloseIdle() == 0 }, time.Second, time.Millisecond)
		})
	}
}
