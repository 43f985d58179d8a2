package front_test

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
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/front"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// recorder answers each request with what it was, and remembers it.
type recorder struct {
	mu   sync.Mutex
	seen []string
	gone chan struct{}
}

// Patience returns how long the callers of the tests wait.
func (r *recorder) Patience(*front.Inbound) clock.Millis { return 600 * clock.Millisecond }

// Handle answers with the request's line and body.
func (r *recorder) Handle(inbound *front.Inbound, answer *front.Answer) {
	text := inbound.Method + " " + inbound.Target + " " + string(inbound.Body)
	r.mu.Lock()
	r.seen = append(r.seen, text)
	r.mu.Unlock()
	switch {
	case strings.HasPrefix(inbound.Target, "/wait"):
		<-inbound.Gone
		close(r.gone)
	case strings.HasPrefix(inbound.Target, "/torn"):
		answer.Begin(http.StatusOK, http.Header{})
		answer.Piece([]byte("part"))
	case strings.HasPrefix(inbound.Target, "/pieces"):
		answer.Begin(http.StatusOK, http.Header{})
		answer.Piece([]byte("one "))
		answer.Piece([]byte("two"))
		answer.End()
	default:
		answer.Whole(http.StatusOK, http.Header{}, []byte(text))
	}
}

func (r *recorder) all() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.seen...)
}

func startServer(t *testing.T) (*front.Server, *recorder, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	handler := &recorder{gone: make(chan struct{})}
	server := front.New(handler, 1<<20)
	server.SetLimits(desired.Limits{HeaderBytes: 2048, BodyBytes: 1000, HeaderTimeout: 300 * clock.Millisecond, IdleTimeout: 700 * clock.Millisecond})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close() })
	return server, handler, listener.Addr().String()
}

// talk sends the text and returns all that comes until the connection ends.
func talk(t *testing.T, address, text string) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = io.WriteString(conn, text)
	require.NoError(t, err)
	// A reset after the answer is an end as well.
	answer, _ := io.ReadAll(conn)
	return string(answer)
}

// TestRequestsThatHide holds that a request which can be read in two ways is refused,
// that its connection ends, and that nothing of it reaches the handler.
func TestRequestsThatHide(t *testing.T) {
	const hidden = "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n"
	tests := map[string]string{
		"two lengths":                 "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nContent-Length: 5\r\n\r\n" + hidden,
		"two equal lengths":           "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nContent-Length: 0\r\n\r\n" + hidden,
		"a list of lengths":           "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0, 0\r\n\r\n" + hidden,
		"length and chunks":           "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 40\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
		"chunks twice":                "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
		"another coding":              "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + hidden,
		"a coding that looks like it": "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + hidden,
		"a negative length":           "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n" + hidden,
		"a signed length":             "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +0\r\n\r\n" + hidden,
		"a continued line":            "POST / HTTP/1.1\r\nHost: h\r\nX-A: b\r\n Content-Length: 0\r\n\r\n" + hidden,
		"a bare line feed":            "POST / HTTP/1.1\r\nHost: h\nContent-Length: 40\r\n\r\n" + hidden,
		"bare line feeds":             "POST / HTTP/1.1\nHost: h\n\n" + hidden,
		"a bare carriage return":      "POST / HTTP/1.1\r\nHost: h\rX: y\r\n\r\n" + hidden,
		"a space before the colon":    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length : 0\r\n\r\n" + hidden,
		"no name":                     "POST / HTTP/1.1\r\nHost: h\r\n: x\r\n\r\n" + hidden,
		"no host":                     "POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n" + hidden,
		"two hosts":                   "POST / HTTP/1.1\r\nHost: h\r\nHost: g\r\nContent-Length: 0\r\n\r\n" + hidden,
		"a space in the target":       "POST /a b HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n" + hidden,
		"an absolute target":          "GET http://other/ HTTP/1.1\r\nHost: h\r\n\r\n" + hidden,
		"another protocol":            "GET / HTTP/2.0\r\nHost: h\r\n\r\n" + hidden,
		"a null byte":                 "GET / HTTP/1.1\r\nHost: h\r\nX: a\x00b\r\n\r\n" + hidden,
		"chunks that are none":        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n" + hidden,
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			_, handler, address := startServer(t)
			answer := talk(t, address, text)
			require.True(t, strings.HasPrefix(answer, "HTTP/1.1 400 "), "%q", answer)
			require.Equal(t, 1, strings.Count(answer, "HTTP/1.1"), "%q", answer)
			require.Contains(t, answer, "Connection: close")
			require.Empty(t, handler.all())
		})
	}
}

// TestLimits holds what a caller gets that sends too much or too slowly.
func TestLimits(t *testing.T) {
	tests := map[string]struct {
		text   string
		status string
	}{
		"a long header":            {"GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("a", 3000) + "\r\n\r\n", "431"},
		"a header that never ends": {"GET / HTTP/1.1\r\nHost: h\r\n", "408"},
		"a long body":              {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n", "413"},
		"a long body in chunks":    {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5dc\r\n" + strings.Repeat("b", 1500) + "\r\n0\r\n\r\n", "413"},
		"a body that never ends":   {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc", "408"},
		"nothing at all":           {"", ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, handler, address := startServer(t)
			answer := talk(t, address, test.text)
			if test.status == "" {
				require.Empty(t, answer)
			} else {
				require.True(t, strings.HasPrefix(answer, "HTTP/1.1 "+test.status+" "), "%q", answer)
			}
			require.Empty(t, handler.all())
		})
	}
}

// TestBodies holds that bodies come whole, with a length and in chunks, and that
// requests follow each other on one connection.
func TestBodies(t *testing.T) {
	_, handler, address := startServer(t)
	answer := talk(t, address, "POST /a?q=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"+
		"POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nTrailer: t\r\n\r\n"+
		"GET /pieces HTTP/1.1\r\nHost: h\r\n\r\n"+
		"HEAD /c HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	require.Equal(t, []string{"POST /a?q=1 abc", "POST /b abcde", "GET /pieces ", "HEAD /c "}, handler.all())
	reader := bufio.NewReader(strings.NewReader(answer))
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
	require.Empty(t, rest, "nothing after the last answer")
}

// TestBrokenAnswer holds that an answer which is broken off does not look whole.
func TestBrokenAnswer(t *testing.T) {
	_, _, address := startServer(t)
	answer := talk(t, address, "GET /torn HTTP/1.1\r\nHost: h\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(answer)), nil)
	require.NoError(t, err)
	_, err = io.ReadAll(response.Body)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// TestCallerThatGoes holds that the handler hears of it at once.
func TestCallerThatGoes(t *testing.T) {
	_, handler, address := startServer(t)
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	_, err = io.WriteString(conn, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return len(handler.all()) == 1 }, time.Second, time.Millisecond)
	require.NoError(t, conn.Close())
	select {
	case <-handler.gone:
	case <-time.After(300 * time.Millisecond):
		require.Fail(t, "the handler was not told")
	}
}

// TestExpectation holds that a caller which waits for leave to send its body gets it.
func TestExpectation(t *testing.T) {
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

// TestDraining holds that connections end with their next answer, and idle ones when
// they are told to.
func TestDraining(t *testing.T) {
	server, _, address := startServer(t)
	idle, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer idle.Close()
	server.Drain()
	answer := talk(t, address, "GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n")
	require.Equal(t, 1, strings.Count(answer, "HTTP/1.1 200"), "%q", answer)
	require.Contains(t, answer, "Connection: close")
	require.Eventually(t, func() bool { return server.CloseIdle() == 0 }, time.Second, time.Millisecond)
	require.NoError(t, idle.SetReadDeadline(time.Now().Add(time.Second)))
	_, err = idle.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

// TestManyBodies holds that bodies beyond the memory set aside for them are refused as
// not run, and that their room is given back.
func TestManyBodies(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	handler := &recorder{gone: make(chan struct{})}
	server := front.New(handler, 1500)
	go func() { _ = server.Serve(listener) }()
	address := listener.Addr().String()
	first, err := net.Dial("tcp", address)
	require.NoError(t, err)
	_, err = fmt.Fprintf(first, "POST /wait HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n%s", strings.Repeat("a", 1000))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return len(handler.all()) == 1 }, time.Second, time.Millisecond)
	second := "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 1000\r\n\r\n" + strings.Repeat("b", 1000)
	refused := talk(t, address, second)
	require.True(t, strings.HasPrefix(refused, "HTTP/1.1 503 "), "%q", refused)
	require.Contains(t, refused, "Retry-After")
	require.NoError(t, first.Close())
	require.Eventually(t, func() bool { return strings.HasPrefix(talk(t, address, second), "HTTP/1.1 200 ") }, time.Second, 10*time.Millisecond)
}

// FuzzHead holds that no bytes make the server crash or answer a request twice.
func FuzzHead(f *testing.F) {
	f.Add("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	f.Add("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")
	f.Add("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		client, server := net.Pipe()
		handler := &recorder{gone: make(chan struct{})}
		s := front.New(handler, 1<<20)
		s.SetLimits(desired.Limits{HeaderBytes: 2048, BodyBytes: 1000, HeaderTimeout: 5, IdleTimeout: 5})
		go func() { _ = s.Serve(&oneListener{conn: server, done: make(chan struct{})}) }()
		go func() { _, _ = io.WriteString(client, text) }()
		_ = client.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		answer, _ := io.ReadAll(client)
		_ = client.Close()
		require.LessOrEqual(t, strings.Count(string(answer), "HTTP/1.1 200"), strings.Count(text, "HTTP/1.1"))
	})
}

// oneListener hands out one connection.
type oneListener struct {
	conn net.Conn
	done chan struct{}
}

// Accept returns the connection once.
func (o *oneListener) Accept() (net.Conn, error) {
	if conn := o.conn; conn != nil {
		o.conn = nil
		return conn, nil
	}
	return nil, net.ErrClosed
}

// Close does nothing.
func (o *oneListener) Close() error { return nil }

// Addr returns no address.
func (o *oneListener) Addr() net.Addr { return &net.TCPAddr{} }
