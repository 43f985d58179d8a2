package conndrainer_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/runtime/drainlistener"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/conndrainer"
)

const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// answer reads one response.
func answer(conn net.Conn) error {
	if err := conn.SetReadDeadline(time.Now().Add(4 * time.Second)); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	_, err = io.ReadAll(response.Body)
	return err
}

// TestStopAnswersRequestsThatHaveArrived verifies that a request that has arrived when the server
// stops is answered, on new connections and on idle ones, and that idle connections are closed.
func TestStopAnswersRequestsThatHaveArrived(t *testing.T) {
	tests := map[string]struct {
		requestsBefore int
		pause          time.Duration // pause is the time between the connect and the last request.
	}{
		"new connections":              {0, 0},
		"new, accepted connections":    {0, 400 * time.Millisecond},
		"connections in use":           {2, 0},
		"connections idle for a while": {1, 400 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for range 3 {
				tcp, err := net.Listen("tcp", "127.0.0.1:0")
				require.NoError(t, err)
				listener, drainer := drainlistener.New(tcp.(*net.TCPListener)), conndrainer.New()
				var draining atomic.Bool
				server := &http.Server{ReadHeaderTimeout: time.Second, ConnState: drainer.Track, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					if draining.Load() {
						w.Header().Set("Connection", "close")
					}
				})}
				go func() { _ = server.Serve(drainer.Listen(listener)) }()
				var conns []net.Conn
				for range 30 {
					conn, err := net.Dial("tcp", tcp.Addr().String())
					require.NoError(t, err)
					defer conn.Close()
					for range test.requestsBefore {
						_, err = io.WriteString(conn, request)
						require.NoError(t, err)
						require.NoError(t, answer(conn))
					}
					conns = append(conns, conn)
				}
				unused, err := net.Dial("tcp", tcp.Addr().String())
				require.NoError(t, err)
				defer unused.Close()
				time.Sleep(test.pause)
				for _, conn := range conns {
					_, err := io.WriteString(conn, request)
					require.NoError(t, err)
				}
				draining.Store(true)
				listener.Drain()
				require.Eventually(t, func() bool { return drainer.EndIdle() == 0 }, 3*time.Second, time.Millisecond)
				for _, conn := range conns {
					require.NoError(t, answer(conn), "the request has no answer")
				}
				require.ErrorIs(t, answer(unused), io.ErrUnexpectedEOF, "closed in order")
			}
		})
	}
}

// TestCallerThatDoesNotReadEndsItsRequest verifies that the handler of a request whose caller reads
// nothing ends, and that a caller that pauses receives its whole response.
func TestCallerThatDoesNotReadEndsItsRequest(t *testing.T) {
	const bodyBytes = 32 << 20
	for name, pause := range map[string]time.Duration{"a caller that reads nothing": 0, "a caller that pauses": 4 * time.Second} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tcp, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer tcp.Close()
			drainer, ended := conndrainer.New(), make(chan error, 1)
			server := &http.Server{ConnState: drainer.Track, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, err := w.Write(make([]byte, bodyBytes))
				ended <- err
			})}
			go func() { _ = server.Serve(drainer.Listen(tcp)) }()
			conn, err := net.Dial("tcp", tcp.Addr().String())
			require.NoError(t, err)
			defer conn.Close()
			_, err = io.WriteString(conn, request)
			require.NoError(t, err)
			if pause > 0 {
				time.Sleep(pause)
				require.NoError(t, answer(conn))
				require.NoError(t, <-ended)
				return
			}
			select {
			case err := <-ended:
				require.Error(t, err)
			case <-time.After(7 * time.Second):
				require.Fail(t, "the handler has not ended")
			}
		})
	}
}
