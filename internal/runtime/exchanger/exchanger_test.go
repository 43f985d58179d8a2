package exchanger_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/runtime/exchanger"
)

// listen runs serve for each connection, and counts them.
func listen(t *testing.T, serve func(conn net.Conn)) (string, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	var accepted atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go serve(conn)
		}
	}()
	return listener.Addr().String(), &accepted
}

var request = exchanger.Request{Method: http.MethodPost, Target: "/a?b=c", Host: "h", Header: http.Header{"X-A": {"1"}}, Body: []byte("body")}

// TestWhatIsSent holds that a request goes out as it is, with nothing added.
func TestWhatIsSent(t *testing.T) {
	sent := make(chan string, 1)
	address, _ := listen(t, func(conn net.Conn) {
		defer conn.Close()
		buffer := make([]byte, 1000)
		n, _ := conn.Read(buffer)
		sent <- string(buffer[:n])
	})
	exchange, err := exchanger.Begin(context.Background(), address, request)
	require.NoError(t, err)
	defer exchange.Close()
	require.Equal(t, "POST /a?b=c HTTP/1.1\r\nHost: h\r\nX-A: 1\r\nContent-Length: 4\r\n\r\nbody", <-sent)
}

// TestHowAnswersEnd holds that an answer is only taken as whole when it is.
func TestHowAnswersEnd(t *testing.T) {
	tests := map[string]struct {
		answer string
		reset  bool
		whole  bool
		head   bool
	}{
		"with a length":                     {answer: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", head: true, whole: true},
		"shorter than its length":           {answer: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", head: true},
		"in chunks":                         {answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", head: true, whole: true},
		"in chunks without an end":          {answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", head: true},
		"with its connection":               {answer: "HTTP/1.1 200 OK\r\n\r\nok", head: true, whole: true},
		"with its connection, but by reset": {answer: "HTTP/1.1 200 OK\r\n\r\nok", reset: true, head: true},
		"after an interim answer":           {answer: "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", head: true, whole: true},
		"nothing":                           {},
		"bytes that are no answer":          {answer: "\x00\x01nonsense\r\n\r\n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			address, accepted := listen(t, func(conn net.Conn) {
				defer conn.Close()
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, test.answer)
				if test.reset {
					time.Sleep(50 * time.Millisecond)
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			})
			exchange, err := exchanger.Begin(context.Background(), address, request)
			require.NoError(t, err)
			defer exchange.Close()
			response, err := exchange.Answer()
			require.Equal(t, test.head, err == nil, "%v", err)
			if err == nil {
				body, err := io.ReadAll(response.Body)
				require.Equal(t, test.whole, err == nil, "%v", err)
				require.Equal(t, "ok", string(body))
			}
			require.Equal(t, int64(1), accepted.Load(), "nothing is sent twice")
		})
	}
}

// TestUnsent holds that a request of which no byte has left is told apart from one that
// may have arrived.
func TestUnsent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	_, err = exchanger.Begin(context.Background(), listener.Addr().String(), request)
	var unsent *exchanger.UnsentError
	require.True(t, errors.As(err, &unsent))
	require.True(t, unsent.Refused)

	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	address, _ := listen(t, func(conn net.Conn) { _ = conn.Close() })
	_, err = exchanger.Begin(cancelled, address, request)
	require.True(t, errors.As(err, &unsent))
}

// TestCancel holds that the context's end closes the connection, which the server sees.
func TestCancel(t *testing.T) {
	closed := make(chan struct{})
	address, _ := listen(t, func(conn net.Conn) {
		defer close(closed)
		_, _ = io.Copy(io.Discard, conn)
	})
	ctx, cancel := context.WithCancel(context.Background())
	exchange, err := exchanger.Begin(ctx, address, request)
	require.NoError(t, err)
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err = exchange.Answer()
	require.Error(t, err)
	select {
	case <-closed:
	case <-time.After(time.Second):
		require.Fail(t, "the server does not see the end")
	}
}
