package httpclient_test

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

	"github.com/hyssopdoor/hyssopdoor/internal/runtime/httpclient"
)

// listen starts a server that runs serve for each connection. It returns the address and
// the number of accepted connections.
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

var request = httpclient.Request{Method: http.MethodPost, Target: "/a?b=c", Host: "h", Header: http.Header{"X-A": {"1"}}, Body: []byte("body")}

// TestSentBytes verifies that only Host and Content-Length are added to a request.
func TestSentBytes(t *testing.T) {
	received := make(chan string, 1)
	address, _ := listen(t, func(conn net.Conn) {
		defer conn.Close()
		buffer := make([]byte, 1000)
		n, _ := conn.Read(buffer)
		received <- string(buffer[:n])
	})
	exchange, err := httpclient.Send(context.Background(), address, request)
	require.NoError(t, err)
	defer exchange.Close()
	require.Equal(t, "POST /a?b=c HTTP/1.1\r\nHost: h\r\nX-A: 1\r\nContent-Length: 4\r\n\r\nbody", <-received)
}

// TestIncompleteResponses verifies that reading an incomplete or invalid response returns an
// error, for each way to mark a response's end.
func TestIncompleteResponses(t *testing.T) {
	tests := map[string]struct {
		response  string
		reset     bool
		complete  bool
		validHead bool
	}{
		"a length":                        {response: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", validHead: true, complete: true},
		"a body shorter than its length":  {response: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", validHead: true},
		"chunked":                         {response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", validHead: true, complete: true},
		"chunked without the last chunk":  {response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", validHead: true},
		"ended by closing the connection": {response: "HTTP/1.1 200 OK\r\n\r\nok", validHead: true, complete: true},
		"ended by a reset":                {response: "HTTP/1.1 200 OK\r\n\r\nok", reset: true, validHead: true},
		"after an interim response":       {response: "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", validHead: true, complete: true},
		"no response":                     {},
		"invalid bytes":                   {response: "\x00\x01nonsense\r\n\r\n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			address, accepted := listen(t, func(conn net.Conn) {
				defer conn.Close()
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, test.response)
				if test.reset {
					time.Sleep(50 * time.Millisecond)
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			})
			exchange, err := httpclient.Send(context.Background(), address, request)
			require.NoError(t, err)
			defer exchange.Close()
			response, err := exchange.ReadResponse()
			require.Equal(t, test.validHead, err == nil, "%v", err)
			if err == nil {
				body, err := io.ReadAll(response.Body)
				require.Equal(t, test.complete, err == nil, "%v", err)
				require.Equal(t, "ok", string(body))
			}
			require.Equal(t, int64(1), accepted.Load(), "the request was sent more than once")
		})
	}
}

// TestNotSent verifies that Send returns a NotSentError when the connection is refused and
// when the context has ended before the request is sent.
func TestNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	_, err = httpclient.Send(context.Background(), listener.Addr().String(), request)
	var notSent *httpclient.NotSentError
	require.True(t, errors.As(err, &notSent))
	require.True(t, notSent.ConnectionRefused)

	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	address, _ := listen(t, func(conn net.Conn) { _ = conn.Close() })
	_, err = httpclient.Send(ctx, address, request)
	require.True(t, errors.As(err, &notSent))
}

// TestCancel verifies that the connection is closed when the context ends.
func TestCancel(t *testing.T) {
	closed := make(chan struct{})
	address, _ := listen(t, func(conn net.Conn) {
		defer close(closed)
		_, _ = io.Copy(io.Discard, conn)
	})
	ctx, cancel := context.WithCancel(context.Background())
	exchange, err := httpclient.Send(ctx, address, request)
	require.NoError(t, err)
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err = exchange.ReadResponse()
	require.Error(t, err)
	select {
	case <-closed:
	case <-time.After(time.Second):
		require.Fail(t, "the connection was not closed")
	}
}

// TestExpiredRequestIsNotSent guards against a request whose permission ends while the connection
// is opened: no byte of it is sent.
func TestExpiredRequestIsNotSent(t *testing.T) {
	received := make(chan int, 1)
	address, _ := listen(t, func(conn net.Conn) {
		n, _ := conn.Read(make([]byte, 100))
		received <- n
	})
	expired := request
	expired.Allowed = func() bool { return false }
	_, err := httpclient.Send(t.Context(), address, expired)
	var notSent *httpclient.NotSentError
	require.ErrorAs(t, err, &notSent)
	require.ErrorIs(t, err, httpclient.ErrExpired)
	require.False(t, notSent.ConnectionRefused)
	require.Zero(t, <-received)
}
