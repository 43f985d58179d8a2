package httpserver

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hyssopdoor/hyssopdoor/internal/runtime/inputpoller"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/progresswriter"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/reserver"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// conn is a connection of a caller.
type conn struct {
	server  *Server
	netConn net.Conn
	reader  *bufio.Reader
	// number identifies the connection, and requests counts those that were read.
	number     int64
	requests   int
	acceptedAt time.Time

	mu   sync.Mutex
	busy bool
	// reading reports whether a request is being read.
	reading bool
	// ending reports whether the connection is closed unless a request has arrived.
	ending bool
	// idleSince is the time since which the connection waits for a request.
	idleSince time.Time
}

// beginIdle marks that the connection waits for a request, for at most the idle timeout. It
// reports false when the connection has ended.
func (c *conn) beginIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy, c.ending = false, false
	c.idleSince = time.Now()
	return c.setReadTimeout(c.server.limits.Load().IdleTimeout)
}

// extendIdle applies a longer idle timeout if the connection waits for a request.
func (c *conn) extendIdle(timeout clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy && !c.ending {
		// An error means that the connection has ended.
		_ = c.netConn.SetReadDeadline(c.idleSince.Add(timeout.Duration()))
	}
}

// setBusy marks that a request is being read or handled.
func (c *conn) setBusy() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy, c.ending = true, false
}

// endIdle ends the wait for a request if it has lasted for some time. The goroutine that waits
// reads a request that has arrived, or closes the connection.
func (c *conn) endIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy && !c.ending && time.Since(c.idleSince) >= minIdle {
		c.ending = true
		// An error means that the connection has ended.
		_ = c.netConn.SetReadDeadline(time.Now())
	}
}

// beginRead marks that a request is being read, within the timeout and until the server ends reads.
func (c *conn) beginRead(timeout clock.Millis) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = true
	if c.server.readsEnded.Load() {
		return c.netConn.SetReadDeadline(time.Now()) == nil
	}
	return c.setReadTimeout(timeout)
}

// endRead marks that the request has been read. It reports false when the connection has ended.
func (c *conn) endRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	return c.setReadTimeout(0)
}

// interruptRead ends the read of a request, which is rejected.
func (c *conn) interruptRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading {
		// An error means that the connection has ended.
		_ = c.netConn.SetReadDeadline(time.Now())
	}
}

// awaitRequest waits for the first byte of a request. It reports false when the wait has ended
// without one.
func (c *conn) awaitRequest() bool {
	_, err := c.reader.Peek(1)
	return err == nil || c.hasArrived(err)
}

// hasArrived reports whether a request has arrived although the wait for it has ended with the
// error: a read whose deadline has passed does not look for input.
func (c *conn) hasArrived(err error) bool {
	if !isTimeout(err) || !inputpoller.HasInput(c.netConn) {
		return false
	}
	c.setBusy()
	if c.netConn.SetReadDeadline(time.Now().Add(lastReadTimeout)) != nil {
		return false
	}
	_, err = c.reader.Peek(1)
	return err == nil
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
	if !c.awaitRequest() {
		return false
	}
	c.setBusy()
	limits := *c.server.limits.Load()
	if !c.beginRead(limits.HeaderTimeout) {
		return false
	}
	inbound, rejected := readHead(c.reader, limits.HeaderBytes)
	if rejected != nil {
		c.reject(rejected)
		return false
	}
	c.requests++
	inbound.Connection = Connection{Number: c.number, Requests: c.requests, Age: clock.Millis(time.Since(c.acceptedAt).Milliseconds())}
	account := c.server.bodies.Account("")
	defer account.Release()
	if !account.Grow(inbound.reservedBytes(limits.BodyBytes)) {
		c.reject(bodiesFull)
		return false
	}
	if !c.readBody(inbound, limits.BodyBytes, account) {
		return false
	}
	return c.handle(inbound)
}

func (c *conn) readBody(inbound *InboundRequest, limit int64, account *reserver.Account) bool {
	if !c.beginRead(c.callerTimeout(inbound)) {
		return false
	}
	if inbound.expectsContinue {
		if _, err := c.netConn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return false
		}
	}
	if rejected := inbound.readBody(c.reader, limit, account); rejected != nil {
		c.reject(rejected)
		return false
	}
	return true
}

// callerTimeout returns the time for which the caller waits, or a default.
func (c *conn) callerTimeout(inbound *InboundRequest) clock.Millis {
	if timeout := c.server.handler.CallerTimeout(inbound); timeout > 0 {
		return timeout
	}
	return bodyTimeout
}

// newWriter returns the buffer for the response to a request that has been read.
func (c *conn) newWriter(inbound *InboundRequest) *bufio.Writer {
	deadline := time.Now().Add(c.callerTimeout(inbound).Duration())
	return bufio.NewWriterSize(progresswriter.New(c.netConn, deadline), writeBufferBytes)
}

// handle runs the handler while a second goroutine detects whether the caller
// disconnects. It reports whether the connection stays open.
func (c *conn) handle(inbound *InboundRequest) bool {
	if !c.endRead() {
		return false
	}
	disconnected := make(chan struct{})
	next := make(chan error, 1) // next has no error if another request follows.
	go func() {
		_, err := c.reader.Peek(1)
		if err != nil && !isTimeout(err) {
			close(disconnected)
		}
		next <- err
	}()
	inbound.Disconnected = disconnected
	response := &ResponseWriter{writer: c.newWriter(inbound), method: inbound.Method, closeAfter: inbound.closeAfter || c.server.draining.Load(), draining: &c.server.draining}
	c.server.handler.Handle(inbound, response)
	if !response.Completed() {
		return false
	}
	if response.closeAfter {
		c.closeWrite()
		discardInput(c.netConn)
		return false
	}
	// If draining began after the head was written, the caller does not know that the connection
	// ends, and may have sent another request.
	if !c.beginIdle() {
		return false
	}
	err := <-next
	return err == nil || c.hasArrived(err)
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
	if rejected.status == http.StatusRequestTimeout && c.server.readsEnded.Load() {
		rejected = &rejection{status: http.StatusServiceUnavailable, retryAfter: clock.Second}
	}
	response := &ResponseWriter{writer: bufio.NewWriterSize(progresswriter.New(c.netConn, time.Time{}), writeBufferBytes), closeAfter: true}
	header := http.Header{}
	if rejected.retryAfter > 0 {
		header.Set("Retry-After", RetryAfter(rejected.retryAfter))
	}
	response.WriteResponse(rejected.status, header, nil)
	c.closeWrite()
	discardInput(c.netConn)
}
