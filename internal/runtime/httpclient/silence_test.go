package httpclient_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/runtime/httpclient"
)

// TestServerThatPausesReading verifies that a server which does not read for a while
// receives the whole body, and that its response is received.
func TestServerThatPausesReading(t *testing.T) {
	const bodyBytes = 512 << 10
	for name, pause := range map[string]time.Duration{"1 s": time.Second, "2.5 s": 2500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			received := make(chan int64, 1)
			// A small receive buffer closes the window while the server does not read.
			config := net.ListenConfig{Control: func(_, _ string, socket syscall.RawConn) error {
				return socket.Control(func(descriptor uintptr) {
					_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16<<10)
				})
			}}
			listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer listener.Close()
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				read, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				time.Sleep(pause)
				count, _ := io.Copy(io.Discard, read.Body)
				received <- count
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}()
			exchange, err := httpclient.Send(context.Background(), listener.Addr().String(), httpclient.Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, bodyBytes)})
			require.NoError(t, err)
			defer exchange.Close()
			response, err := exchange.ReadResponse()
			require.NoError(t, err)
			body, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Equal(t, "ok", string(body))
			require.Equal(t, int64(bodyBytes), <-received)
		})
	}
}
