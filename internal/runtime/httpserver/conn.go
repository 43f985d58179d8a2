package httpserver

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// conn is a connection of a caller.
type conn struct {
	server  *Server
	netConn net.Conn
	reader  *bufio.Reader

	mu     sync.Mutex
	busy   bool
	closed bool
	// idleSince is the time since which the connection waits for a request.
	idleSince time.Time
}

// beginIdle marks that the connection waits for a request, for at most the idle timeout.
// It reports false when the connection has been closed.
func (c *conn) beginIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
	c.idleSince = time.Now()
	return c.setReadTimeout(c.server.limits.Load().IdleTimeout) && !c.closed
}

// extendIdle applies a longer idle timeout if the connection waits for a request.
func (c *conn) extendIdle(timeout clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy && !c.closed {
		// An error means that the connection has ended.
		_ = c.netConn.SetReadDeadline(c.idleSince.Add(timeout.Duration()))
	}
}

// setBusy marks that a request is being read or handled. It reports false when the
// connection has been closed.
func (c *conn) setBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = true
	return !c.closed
}

// closeIdle closes the connection unless it is busy, and reports whether it did.
func (c *conn) closeIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy {
		return false
	}
	c.closed = true
	// Closing ends the goroutine that reads. Its error needs no handling.
	_ = c.netConn.Close()
	return true
}

func (c *conn) serve() {
	defer c.server.removeConn(c)
	defer c.netConn.Close()
	for c.serveNext() {
	}
}

// serveNext reads and handles one request. It reports whether the connection stays open.
func (c *conn) serveNext() bool {
	if !c.beginIdle() {
		return false
	}
	if _, err := c.reader.Peek(1); err != nil {
		return false
	}
	limits := *c.server.limits.Load()
	if !c.setBusy() || !c.setReadTimeout(limits.HeaderTimeout) {
		return false
	}
	inbound, rejected := readHead(c.reader, limits.HeaderBytes)
	if rejected != nil {
		c.reject(rejected)
		return false
	}
	reserved := inbound.reservedBytes(limits.BodyBytes)
	if !c.server.bodyMemory.acquire(reserved) {
		c.reject(&rejection{status: http.StatusServiceUnavailable, retryAfter: clock.Second})
		return false
	}
	defer func() { c.server.bodyMemory.release(reserved) }()
	if !c.readBody(inbound, limits.BodyBytes) {
		return false
	}
	return c.handle(inbound)
}

func (c *conn) readBody(inbound *InboundRequest, limit int64) bool {
	timeout := c.server.handler.CallerTimeout(inbound)
	if timeout <= 0 {
		timeout = bodyTimeout
	}
	if !c.setReadTimeout(timeout) {
		return false
	}
	if inbound.expectsContinue {
		if _, err := c.netConn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return false
		}
	}
	if rejected := inbound.readBody(c.reader, limit); rejected != nil {
		c.reject(rejected)
		return false
	}
	return true
}

// handle runs the handler while a second goroutine detects whether the caller
// disconnects. It reports whether the connection stays open.
func (c *conn) handle(inbound *InboundRequest) bool {
	if !c.setReadTimeout(0) {
		return false
	}
	disconnected := make(chan struct{})
	hasNext := make(chan bool, 1) // hasNext reports whether another request follows.
	go func() {
		_, err := c.reader.Peek(1)
		if err != nil && !isTimeout(err) {
			close(disconnected)
		}
		hasNext <- err == nil
	}()
	inbound.Disconnected = disconnected
	response := &ResponseWriter{conn: c.netConn, writer: bufio.NewWriterSize(c.netConn, writeBufferBytes), method: inbound.Method, closeAfter: inbound.closeAfter || c.server.draining.Load(), draining: &c.server.draining}
	c.server.handler.Handle(inbound, response)
	if !response.Completed() {
		return false
	}
	// If draining began after the head was written, the response has no "Connection:
	// close". A request that the caller sends in the meantime is not read.
	if response.closeAfter || c.server.draining.Load() {
		c.closeWrite()
		return false
	}
	if !c.beginIdle() {
		return false
	}
	return <-hasNext
}

// closeWrite closes the connection for writing after the last response. Errors are
// ignored, because the connection is closed right after.
func (c *conn) closeWrite() {
	if halfCloser, ok := c.netConn.(interface{ CloseWrite() error }); ok {
		_ = halfCloser.CloseWrite()
	}
}

func isTimeout(err error) bool {
	netErr, ok := err.(net.Error)
	return ok && netErr.Timeout()
}

// setReadTimeout limits the time for reading from now on; 0 removes the limit. It reports
// whether that succeeded.
func (c *conn) setReadTimeout(timeout clock.Millis) bool {
	var deadline time.Time
	if timeout > 0 {
		deadline = time.Now().Add(timeout.Duration())
	}
	return c.netConn.SetReadDeadline(deadline) == nil
}

// reject responds to a request that can't be read. The connection is closed after that.
func (c *conn) reject(rejected *rejection) {
	if rejected.status == 0 {
		return
	}
	response := &ResponseWriter{conn: c.netConn, writer: bufio.NewWriterSize(c.netConn, writeBufferBytes), closeAfter: true}
	header := http.Header{}
	if rejected.retryAfter > 0 {
		header.Set("Retry-After", RetryAfter(rejected.retryAfter))
	}
	response.WriteResponse(rejected.status, header, nil)
	c.closeWrite()
	discardInput(c.netConn)
}
