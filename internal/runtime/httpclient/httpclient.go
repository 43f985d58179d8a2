// Package httpclient is an HTTP/1.1 client that opens a new connection for each request. It
// never resends a request and adds no header fields but Host and Content-Length. Its errors
// distinguish a request of which no byte was sent from one that the server may have received.
//
// # Usage
//
//	exchange, err := httpclient.Send(ctx, address, request)
//	defer exchange.Close()
//	response, err := exchange.ReadResponse()
package httpclient

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/tunnelverdict"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/conncloser"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/reserver"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// connectTimeout limits the time to open a connection. It allows for several round
	// trips between failure domains and for the server to accept, but not for the
	// retransmission of a lost SYN.
	connectTimeout = 250 * clock.Millisecond
	// defaultAckTimeout is the time for which sent data may remain unacknowledged, or not
	// be accepted by the server, until the kernel closes the connection (TCP_USER_TIMEOUT).
	// A sound server may pause for a second or so.
	defaultAckTimeout = 4 * clock.Second
	// readBufferBytes is the size of the read buffer; a response that is not streamed
	// usually fits.
	readBufferBytes = 4 << 10
	// maxHeadBytes limits the head of a response, with the interim responses before it.
	maxHeadBytes = 64 << 10
	// smallHeadBytes is the part of each head that needs no memory of the account, and headCopies the
	// number of copies of the rest: lines, fields and values.
	smallHeadBytes = 4 << 10
	headCopies     = 3
	// smallBodyBytes is the part of each body that needs no memory of the account.
	smallBodyBytes = 64 << 10
)

// ErrHeadTooLong means that the head of a response has no end within the limit.
var ErrHeadTooLong = errors.Errorf("the head of the response is longer than %d bytes", maxHeadBytes)

// responseStart begins each response.
const responseStart = "HTTP/1."

// headReader limits the bytes that are read until the head is complete.
type headReader struct {
	conn      net.Conn
	remaining int // remaining is negative without a limit.
	account   *reserver.Account
	start     string // start has the first bytes that were read.
	end       error  // end is the error after which no more can be read.
}

// Read reads from the connection.
func (r *headReader) Read(buffer []byte) (int, error) {
	if r.remaining == 0 {
		return 0, ErrHeadTooLong
	}
	if r.remaining > 0 {
		buffer = buffer[:min(len(buffer), r.remaining)]
	}
	n, err := r.conn.Read(buffer)
	if r.remaining > 0 {
		r.remaining -= n
		if r.remaining < maxHeadBytes-smallHeadBytes && !r.account.Grow(headCopies*int64(n)) {
			n, err = 0, reserver.ErrFull
		}
	}
	r.start += string(buffer[:min(n, len(responseStart)-len(r.start))])
	r.end = err
	return n, err
}

// cause returns the cause of an error of the parser. It takes the part of a line at the end of the
// connection for a whole line, which may be malformed; the head was cut, if it began as one.
func (r *headReader) cause(parseErr error) error {
	switch {
	case r.end == nil || !strings.HasPrefix(responseStart, r.start):
		return parseErr
	case r.end == io.EOF:
		return io.ErrUnexpectedEOF
	default:
		return r.end
	}
}

// keepAlive detects a connection that has become unresponsive while the client waits for a
// response. The kernel's unit is a second; the detection takes about the ack timeout, but
// at least two seconds.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// Request is a request to send. Header has all header fields except Host and
// Content-Length.
type Request struct {
	Method string
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// AckTimeout is the time in milliseconds after which a connection whose other end
	// acknowledges nothing is closed; 0 for a default.
	AckTimeout clock.Millis
	// Tunnel is the instance through which the request is sent; nil for none.
	Tunnel *Tunnel
	// Allowed reports whether the request may still be sent; nil if it always may. It is called
	// immediately before the first byte: the process may have been paused since the decision.
	Allowed func() bool
	// Closed is called when the connection has been closed, or opening it has failed; nil for no call.
	Closed func()
}

// ErrExpired is the cause of a NotSentError for a request that was not allowed any more.
var ErrExpired = errors.New("the permission to send the request has expired")

// NotSentError means that no byte of the request was sent.
type NotSentError struct {
	// ConnectionRefused reports whether the connection was refused: nothing listens at the address.
	ConnectionRefused bool
	// Verdict is the outcome of the request for a tunnel, if the request had to be sent through one.
	Verdict tunnelverdict.Verdict
	// Referral is the instance that was named instead; empty for none.
	Referral string
	Err      error
}

// Error describes the error.
func (e *NotSentError) Error() string { return "not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// Exchange is a request that was sent and its response.
type Exchange struct {
	conn                net.Conn
	head                *headReader
	reader              *bufio.Reader
	method              string
	stopWatchingContext func() bool
	closed              func()
	closeOnce           sync.Once
}

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// dialKey is the key of a Dial in a context.
type dialKey struct{}

// WithDial returns a context in which connections are opened by dial. Its connections have no
// timeouts of the kernel but their own.
func WithDial(ctx context.Context, dial Dial) context.Context {
	return context.WithValue(ctx, dialKey{}, dial)
}

// accountKey is the key of an account in a context.
type accountKey struct{}

// WithAccount returns a context in which the memory for a long head of a response, or for a body that is
// read by ReadBody, is reserved in the account.
func WithAccount(ctx context.Context, account *reserver.Account) context.Context {
	return context.WithValue(ctx, accountKey{}, account)
}

// Connect opens a connection to the address. Its error is a NotSentError.
func Connect(ctx context.Context, address string) (net.Conn, error) {
	return connect(ctx, address, Request{})
}

func connect(ctx context.Context, address string, request Request) (net.Conn, error) {
	dialer := net.Dialer{Control: request.setAckTimeout, KeepAliveConfig: keepAlive}
	dial := dialer.DialContext
	if replaced, ok := ctx.Value(dialKey{}).(Dial); ok {
		dial = replaced
	}
	limited := func(address string) (net.Conn, error) {
		ctx, cancel := withRunningTime(ctx, connectTimeout.Duration())
		defer cancel()
		conn, err := dial(ctx, "tcp", address)
		if err != nil && context.Cause(ctx) == context.DeadlineExceeded {
			return nil, errors.Wrap(context.DeadlineExceeded, "connect")
		}
		return conn, err
	}
	if request.Tunnel != nil {
		return request.Tunnel.open(ctx, limited, address)
	}
	conn, err := limited(address)
	if err != nil {
		return nil, &NotSentError{ConnectionRefused: errors.Is(err, syscall.ECONNREFUSED), Err: err}
	}
	return conn, nil
}

// Send opens a connection and sends the request. The connection is closed when the
// context ends.
func Send(ctx context.Context, address string, request Request) (*Exchange, error) {
	closed := request.Closed
	if closed == nil {
		closed = func() {}
	}
	conn, err := connect(ctx, address, request)
	if err != nil {
		closed()
		return nil, err
	}
	account, _ := ctx.Value(accountKey{}).(*reserver.Account)
	head := &headReader{conn: conn, remaining: maxHeadBytes, account: account}
	exchange := &Exchange{conn: conn, head: head, reader: bufio.NewReaderSize(head, readBufferBytes), method: request.Method, closed: closed}
	exchange.stopWatchingContext = context.AfterFunc(ctx, exchange.closeConn)
	if ctx.Err() != nil {
		exchange.Close()
		return nil, &NotSentError{Err: ctx.Err()}
	}
	encoded := request.encode()
	if request.Allowed != nil && !request.Allowed() {
		exchange.Close()
		return nil, &NotSentError{Err: ErrExpired}
	}
	if _, err := conn.Write(encoded); err != nil {
		exchange.Close()
		return nil, errors.Wrap(err, "send the request")
	}
	return exchange, nil
}

// setAckTimeout sets the TCP user timeout of a new connection.
func (r Request) setAckTimeout(_, _ string, socket syscall.RawConn) error {
	timeout := r.AckTimeout
	if timeout == 0 {
		timeout = defaultAckTimeout
	}
	var optionErr error
	err := socket.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout))
	})
	return errors.Join(err, optionErr)
}

// DetectSilence sets the timeouts after which the kernel closes an accepted connection whose other
// end does not respond, or takes no data for the ack timeout.
func DetectSilence(conn *net.TCPConn, ackTimeout clock.Millis) error {
	socket, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	return errors.Join(conn.SetKeepAliveConfig(keepAlive), Request{AckTimeout: ackTimeout}.setAckTimeout("", "", socket))
}

// encode returns the bytes to send.
func (r Request) encode() []byte {
	buffer := bytes.NewBuffer(make([]byte, 0, 1024+len(r.Body)))
	buffer.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// Writing to a bytes.Buffer never fails.
	_ = r.Header.Write(buffer)
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		buffer.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	buffer.WriteString("\r\n")
	buffer.Write(r.Body)
	return buffer.Bytes()
}

// ReadResponse reads the head of the response and skips interim responses (status 1xx). It
// returns ErrHeadTooLong if they have no end within 64 KB, and io.ErrUnexpectedEOF if the connection
// ends before they do. Reading the body returns an error if the connection ends before the body is
// complete.
func (e *Exchange) ReadResponse() (*http.Response, error) {
	for {
		response, err := http.ReadResponse(e.reader, &http.Request{Method: e.method})
		if err != nil {
			return nil, errors.Wrap(e.head.cause(err), "read the response")
		}
		if response.StatusCode >= http.StatusOK {
			e.head.remaining = -1
			return response, nil
		}
	}
}

// ReadBody reads the body of the response, which must have at most limit bytes.
func (e *Exchange) ReadBody(response *http.Response, limit int64) ([]byte, error) {
	body, err := e.head.account.ReadAll(response.Body, smallBodyBytes, limit)
	if err != nil {
		return nil, errors.Wrap(err, "read the response body")
	}
	return body, nil
}

// Close ends the exchange and its connection.
func (e *Exchange) Close() {
	e.closeConn()
	if e.stopWatchingContext != nil {
		e.stopWatchingContext()
	}
}

// closeConn closes the connection. It may run when the context ends before Send has set
// stopWatchingContext, so it must not read that field.
func (e *Exchange) closeConn() {
	e.closeOnce.Do(func() {
		// The error is ignored: the connection is not used again.
		_ = conncloser.Close(e.conn)
		e.closed()
	})
}

// Fetch sends a request and returns the body of its response, which must have the status
// 200 and at most maxBytes bytes.
func Fetch(ctx context.Context, timeout time.Duration, address string, request Request, maxBytes int64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	exchange, err := Send(ctx, address, request)
	if err != nil {
		return nil, err
	}
	defer exchange.Close()
	response, err := exchange.ReadResponse()
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("response status %d to %s %s", response.StatusCode, request.Method, request.Target)
	}
	return exchange.ReadBody(response, maxBytes)
}
