// Package exchanger makes single HTTP/1.1 exchanges on connections of their own. It
// never sends anything twice and adds nothing to a request, and it tells for sure
// when no byte of a request can have reached the server.
//
// # Usage
//
//	exchange, err := exchanger.Begin(ctx, address, request)
//	defer exchange.Close()
//	response, err := exchange.Answer()
package exchanger

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// connectTimeout bounds the making of a connection: some ways between failure
	// domains and the server's accepting, but not a lost opening packet.
	connectTimeout = 250 * clock.Millisecond
	// silentFor is how long sent bytes may stay unacknowledged before the connection
	// counts as broken.
	silentFor = 1500 * clock.Millisecond
	// readBuffer is the size of the reading buffer in bytes: a plain answer fits.
	readBuffer = 4 << 10
)

// keepAlive finds a connection that has gone silent while an answer is waited for. The
// kernel counts in seconds; together with silentFor it takes two to three.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// Request is one request as it is sent. Header has everything but the host and the
// length.
type Request struct {
	Method string
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// UnsentError means that no byte of the request has left this machine.
type UnsentError struct {
	// Refused tells that nothing listens at the address.
	Refused bool
	Err     error
}

// Error returns what happened.
func (u *UnsentError) Error() string { return "not sent: " + u.Err.Error() }

// Unwrap returns the cause.
func (u *UnsentError) Unwrap() error { return u.Err }

// Exchange is one exchange under way.
type Exchange struct {
	conn   net.Conn
	reader *bufio.Reader
	method string
	stop   func() bool
	once   sync.Once
}

// Begin connects and sends the request. The context's end closes the connection.
func Begin(ctx context.Context, address string, request Request) (*Exchange, error) {
	dialer := net.Dialer{Timeout: connectTimeout.Duration(), Control: control, KeepAliveConfig: keepAlive}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &UnsentError{Refused: errors.Is(err, syscall.ECONNREFUSED), Err: err}
	}
	exchange := &Exchange{conn: conn, reader: bufio.NewReaderSize(conn, readBuffer), method: request.Method}
	exchange.stop = context.AfterFunc(ctx, exchange.closeConn)
	if ctx.Err() != nil {
		exchange.Close()
		return nil, &UnsentError{Err: ctx.Err()}
	}
	if _, err := conn.Write(request.encode()); err != nil {
		exchange.Close()
		return nil, errors.Wrap(err, "exchanger.Begin")
	}
	return exchange, nil
}

// control sets how soon a silent connection is found broken.
func control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(descriptor uintptr) {
		failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentFor))
	})
	return errors.Join(err, failed)
}

// encode returns the request's bytes.
func (r Request) encode() []byte {
	text := bytes.NewBuffer(make([]byte, 0, 1024+len(r.Body)))
	text.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// Writing into a buffer can't fail.
	_ = r.Header.Write(text)
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		text.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	text.WriteString("\r\n")
	text.Write(r.Body)
	return text.Bytes()
}

// Answer reads the head of the final answer. The response's body ends with an error
// when the connection breaks before the body is whole.
func (e *Exchange) Answer() (*http.Response, error) {
	for {
		response, err := http.ReadResponse(e.reader, &http.Request{Method: e.method})
		if err != nil {
			return nil, errors.Wrap(err, "exchanger.Answer")
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// Until bounds the wait for the server's next bytes.
func (e *Exchange) Until(instant time.Time) error {
	if err := e.conn.SetReadDeadline(instant); err != nil {
		return errors.Wrap(err, "exchanger.Until")
	}
	return nil
}

// Close ends the exchange and its connection.
func (e *Exchange) Close() {
	e.closeConn()
	if e.stop != nil {
		e.stop()
	}
}

// closeConn closes the connection. The context's end may call it while Begin has not
// set stop yet, so it does not read that.
func (e *Exchange) closeConn() {
	// The connection is not used again: what Close says is of no use.
	e.once.Do(func() { _ = e.conn.Close() })
}
