package httpserver_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/desired"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/httpserver"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// echoHandler records each request and responds with its method, target and body. The
// targets /wait, /incomplete, /long, /slow and /chunks get other responses.
type echoHandler struct {
	mu           sync.Mutex
	requests     []string
	disconnected chan struct{}
}

// CallerTimeout returns the timeout of the test's callers.
func (h *echoHandler) CallerTimeout(*httpserver.InboundRequest) clock.Millis {
	return 600 * clock.Millisecond
}

// Handle responds to the request as its target requires.
func (h *echoHandler) Handle(inbound *httpserver.InboundRequest, response *httpserver.ResponseWriter) {
	text := inbound.Method + " " + inbound.Target + " " + string(inbound.Body)
	h.mu.Lock()
	h.requests = append(h.requests, text)
	h.mu.Unlock()
	switch {
	case strings.HasPrefix(inbound.Target, "/wait"):
		<-inbound.Disconnected
		close(h.disconnected)
	case strings.HasPrefix(inbound.Target, "/incomplete"):
		response.WriteHead(http.StatusOK, http.Header{})
		response.WriteChunk([]byte("part"))
	case strings.HasPrefix(inbound.Target, "/long"):
		response.WriteResponse(http.StatusOK, http.Header{}, make([]byte, 4<<20))
	case strings.HasPrefix(inbound.Target, "/slow"):
		response.WriteHead(http.StatusOK, http.Header{})
		response.WriteChunk([]byte("part"))
		time.Sleep(100 * time.Millisecond)
		response.Finish()
	case strings.HasPrefix(inbound.Target, "/chunks"):
		response.WriteHead(http.StatusOK, http.Header{})
		response.WriteChunk([]byte("one "))
		response.WriteChunk([]byte("two"))
		response.Finish()
	default:
		response.WriteResponse(http.StatusOK, http.Header{}, []byte(text))
	}
}

func (h *echoHandler) all() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.requests...)
}

func startServer(t *testing.T) (*httpserver.Server, *echoHandler, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	handler := &echoHandler{disconnected: make(chan struct{})}
	server := httpserver.New(handler, 1<<20)
	server.SetLimits(desired.Limits{HeaderBytes: 2048, BodyBytes: 1000, HeaderTimeout: 300 * clock.Millisecond, IdleTimeout: 700 * clock.Millisecond})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close() })
	return server, handler, listener.Addr().String()
}

// exchangeRaw sends the text and returns all bytes received until the connection ends.
func exchangeRaw(t *testing.T, address, text string) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = io.WriteString(conn, text)
	require.NoError(t, err)
	// A reset after the response counts as the connection's end.
	received, _ := io.ReadAll(conn)
	return string(received)
}

// TestAmbiguousRequests verifies that a request that parsers could read in different ways
// (request smuggling) is rejected, that its connection is closed, and that no part of it
// reaches the handler.
func TestAmbiguousRequests(t *testing.T) {
	const smuggled = "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"
	tests := map[string]string{
		"different lengths":         "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nContent-Length: 5\r\n\r\n" + smuggled,
		"two equal lengths":         "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nContent-Length: 0\r\n\r\n" + smuggled,
		"a list of lengths":         "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0, 0\r\n\r\n" + smuggled,
		"length and chunked":        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 40\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled,
		"chunked twice":             "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled,
		"gzip and chunked":          "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + smuggled,
		"an unknown coding":         "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + smuggled,
		"a negative length":         "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n" + smuggled,
		"a length with a plus sign": "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +0\r\n\r\n" + smuggled,
		"a folded line":             "POST / HTTP/1.1\r\nHost: h\r\nX-A: b\r\n Content-Length: 0\r\n\r\n" + smuggled,
		"a bare line feed":          "POST / HTTP/1.1\r\nHost: h\nContent-Length: 40\r\n\r\n" + smuggled,
		"bare line feeds":           "POST / HTTP/1.1\nHost: h\n\n" + smuggled,
		"a bare carriage return":    "POST / HTTP/1.1\r\nHost: h\rX: y\r\n\r\n" + smuggled,
		"a space before the colon":  "POST / HTTP/1.1\r\nHost: h\r\nContent-Length : 0\r\n\r\n" + smuggled,
		"an empty field name":       "POST / HTTP/1.1\r\nHost: h\r\n: x\r\n\r\n" + smuggled,
		"no host":                   "POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n" + smuggled,
		"two hosts":                 "POST / HTTP/1.1\r\nHost: h\r\nHost: g\r\nContent-Length: 0\r\n\r\n" + smuggled,
		"a space in the target":     "POST /a b HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n" + smuggled,
		"an absolute target":        "GET http://other/ HTTP/1.1\r\nHost: h\r\n\r\n" + smuggled,
		"HTTP/2.0":                  "GET / HTTP/2.0\r\nHost: h\r\n\r\n" + smuggled,
		"a null byte":               "GET / HTTP/1.1\r\nHost: h\r\nX: a\x00b\r\n\r\n" + smuggled,
		"an invalid chunk length":   "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n" + smuggled,
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			_, handler, address := startServer(t)
			received := exchangeRaw(t, address, text)
			require.True(t, strings.HasPrefix(received, "HTTP/1.1 400 "), "%q", received)
			require.Equal(t, 1, strings.Count(received, "HTTP/1.1"), "%q", received)
			require.Contains(t, received, "Connection: close")
			require.Empty(t, handler.all())
		})
	}
}

// TestLimits verifies the status that a caller receives if it sends too much or too slowly.
func TestLimits(t *testing.T) {
	tests := map[string]struct {
		text   string
		status string
	}{
		"a long header":        {"GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("a", 3000) + "\r\n\r\n", "431"},
		"an incomplete header": {"GET / HTTP/1.1\r\nHost: h\r\n", "408"},
		"a long body":          {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n", "413"},
		"a long chunked body":  {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5dc\r\n" + strings.Repeat("b", 1500) + "\r\n0\r\n\r\n", "413"},
		"an incomplete body":   {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc", "408"},
		"no data":              {"", ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, handler, address := startServer(t)
			received := exchangeRaw(t, address, test.text)
			if test.status == "" {
				require.Empty(t, received)
			} else {
				require.True(t, strings.HasPrefix(received, "HTTP/1.1 "+test.status+" "), "%q", received)
			}
			require.Empty(t, handler.all())
		})
	}
}

// TestBodies verifies that bodies with a length and chunked bodies are read completely,
// and that several requests can be sent on one connection.
func TestBodies(t *testing.T) {
	_, handler, address := startServer(t)
	received := exchangeRaw(t, address, "POST /a?q=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"+
		"POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nTrailer: t\r\n\r\n"+
		"GET /chunks HTTP/1.1\r\nHost: h\r\n\r\n"+
		"HEAD /c HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	require.Equal(t, []string{"POST /a?q=1 abc", "POST /b abcde", "GET /chunks ", "HEAD /c "}, handler.all())
	reader := bufio.NewReader(strings.NewReader(received))
	for i, body := range []string{"POST /a?q=1 abc", "POST /b abcde", "one two", ""} {
		method := http.MethodGet
		if i == 3 {
			method = http.MethodHead
		}
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		require.NoError(t, err)
		text, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, body, string(text))
	}
	rest, err := io.ReadAll(reader)
	require.NoError(t, err)
	require.Empty(t, rest, "there are bytes after the last response")
}

// TestIncompleteResponse verifies that the caller detects an incomplete response.
func TestIncompleteResponse(t *testing.T) {
	_, _, address := startServer(t)
	received := exchangeRaw(t, address, "GET /incomplete HTTP/1.1\r\nHost: h\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(received)), nil)
	require.NoError(t, err)
	_, err = io.ReadAll(response.Body)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// TestCallerDisconnects verifies that the handler is notified within 300 ms when the
// caller closes its connection.
func TestCallerDisconnects(t *testing.T) {
	_, handler, address := startServer(t)
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	_, err = io.WriteString(conn, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return len(handler.all()) == 1 }, time.Second, time.Millisecond)
	require.NoError(t, conn.Close())
	select {
	case <-handler.disconnected:
	case <-time.After(300 * time.Millisecond):
		require.Fail(t, "the handler was not notified")
	}
}

// TestExpectContinue verifies that a caller that sends "Expect: 100-continue" receives the
// interim response before it sends its body.
func TestExpectContinue(t *testing.T) {
	_, _, address := startServer(t)
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	require.NoError(t, err)
	reader := bufio.NewReader(conn)
	line, err := reader.ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "HTTP/1.1 100 Continue\r\n", line)
	_, err = io.WriteString(conn, "ok")
	require.NoError(t, err)
	_, err = reader.ReadString('\n')
	require.NoError(t, err)
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
}

// TestDrain verifies that Drain closes each connection after its next response, and that
// CloseIdle closes the idle ones.
func TestDrain(t *testing.T) {
	server, _, address := startServer(t)
	idle, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer idle.Close()
	server.Drain()
	received := exchangeRaw(t, address, "GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n")
	require.Equal(t, 1, strings.Count(received, "HTTP/1.1 200"), "%q", received)
	require.Contains(t, received, "Connection: close")
	require.Eventually(t, func() bool { return server.CloseIdle() == 0 }, time.Second, time.Millisecond)
	require.NoError(t, idle.SetReadDeadline(time.Now().Add(time.Second)))
	_, err = idle.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

// TestBodyMemoryLimit verifies that a request whose body exceeds the memory left for bodies
// is rejected with status 503 and Retry-After, and that the memory of a request is released
// when the request ends.
func TestBodyMemoryLimit(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	handler := &echoHandler{disconnected: make(chan struct{})}
	server := httpserver.New(handler, 1500)
	go func() { _ = server.Serve(listener) }()
	address := listener.Addr().String()
	first, err := net.Dial("tcp", address)
	require.NoError(t, err)
	_, err = fmt.Fprintf(first, "POST /wait HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n%s", strings.Repeat("a", 1000))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return len(handler.all()) == 1 }, time.Second, time.Millisecond)
	second := "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 1000\r\n\r\n" + strings.Repeat("b", 1000)
	rejected := exchangeRaw(t, address, second)
	require.True(t, strings.HasPrefix(rejected, "HTTP/1.1 503 "), "%q", rejected)
	require.Contains(t, rejected, "Retry-After")
	require.NoError(t, first.Close())
	require.Eventually(t, func() bool { return strings.HasPrefix(exchangeRaw(t, address, second), "HTTP/1.1 200 ") }, time.Second, 10*time.Millisecond)
}

// FuzzHead verifies that no input makes the server crash or send more responses than there
// are requests.
func FuzzHead(f *testing.F) {
	f.Add("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	f.Add("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")
	f.Add("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		client, server := net.Pipe()
		handler := &echoHandler{disconnected: make(chan struct{})}
		s := httpserver.New(handler, 1<<20)
		s.SetLimits(desired.Limits{HeaderBytes: 2048, BodyBytes: 1000, HeaderTimeout: 5, IdleTimeout: 5})
		go func() { _ = s.Serve(&singleConnListener{conn: server, done: make(chan struct{})}) }()
		go func() { _, _ = io.WriteString(client, text) }()
		_ = client.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		received, _ := io.ReadAll(client)
		_ = client.Close()
		require.LessOrEqual(t, strings.Count(string(received), "HTTP/1.1 200"), strings.Count(text, "HTTP/1.1"))
	})
}

// singleConnListener is a listener that accepts a single connection.
type singleConnListener struct {
	conn net.Conn
	done chan struct{}
}

// Accept returns the connection; from the second call on it returns net.ErrClosed.
func (l *singleConnListener) Accept() (net.Conn, error) {
	if conn := l.conn; conn != nil {
		l.conn = nil
		return conn, nil
	}
	return nil, net.ErrClosed
}

// Close does nothing.
func (l *singleConnListener) Close() error { return nil }

// Addr returns an empty address.
func (l *singleConnListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestLimitsChangeWhileIdle verifies that a request on a connection that was open and idle
// while the limits changed is read within the new ones.
func TestLimitsChangeWhileIdle(t *testing.T) {
	for name, requestsBefore := range map[string]int{"before the first request": 0, "after a request": 1} {
		t.Run(name, func(t *testing.T) {
			server, _, address := startServer(t)
			conn, err := net.Dial("tcp", address)
			require.NoError(t, err)
			defer conn.Close()
			reader := bufio.NewReader(conn)
			post := func(size int) int {
				_, err := fmt.Fprintf(conn, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
				require.NoError(t, err)
				response, err := http.ReadResponse(reader, nil)
				require.NoError(t, err)
				_, err = io.Copy(io.Discard, response.Body)
				require.NoError(t, err)
				return response.StatusCode
			}
			for range requestsBefore {
				require.Equal(t, http.StatusOK, post(10))
			}
			time.Sleep(100 * time.Millisecond)
			server.SetLimits(desired.Limits{HeaderBytes: 2048, BodyBytes: 5000, HeaderTimeout: 300 * clock.Millisecond, IdleTimeout: 700 * clock.Millisecond})
			require.Equal(t, http.StatusOK, post(4000))
		})
	}
}

// TestIdleTimeoutIsRaisedWhileIdle verifies that a connection which is idle while the idle
// timeout is raised stays open for the new one.
func TestIdleTimeoutIsRaisedWhileIdle(t *testing.T) {
	server, _, address := startServer(t)
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer conn.Close()
	time.Sleep(100 * time.Millisecond)
	server.SetLimits(desired.Limits{HeaderBytes: 2048, BodyBytes: 1000, HeaderTimeout: 300 * clock.Millisecond, IdleTimeout: 2 * clock.Second})
	time.Sleep(time.Second)
	_, err = io.WriteString(conn, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
}
