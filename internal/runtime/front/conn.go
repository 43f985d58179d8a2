package front

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// conn is one caller's connection.
type conn struct {
	server *Server
	net    net.Conn
	reader *bufio.Reader

	mu     sync.Mutex
	busy   bool
	closed bool
}

// setBusy marks that a request is read or answered. It reports false when the
// connection has been closed.
func (c *conn) setBusy(busy bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = busy
	return !c.closed
}

// closeIdle closes the connection unless it is busy. It reports whether it is closed.
func (c *conn) closeIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy {
		return false
	}
	c.closed = true
	// The reading goroutine ends by that; there is nobody to tell.
	_ = c.net.Close()
	return true
}

func (c *conn) serve() {
	defer c.server.forget(c)
	defer c.net.Close()
	for c.next() {
	}
}

// next reads and answers one request. It reports whether the connection goes on.
func (c *conn) next() bool {
	limits := *c.server.limits.Load()
	if !c.waitUntil(limits.IdleTimeout) {
		return false
	}
	if _, err := c.reader.Peek(1); err != nil {
		return false
	}
	if !c.setBusy(true) || !c.waitUntil(limits.HeaderTimeout) {
		return false
	}
	inbound, refused := readHead(c.reader, limits.HeaderBytes)
	if refused != nil {
		c.refuse(refused)
		return false
	}
	size := inbound.size(limits.BodyBytes)
	if !c.server.bodies.take(size) {
		c.refuse(&refusal{status: http.StatusServiceUnavailable, retryAfter: clock.Second})
		return false
	}
	defer func() { c.server.bodies.give(size) }()
	if !c.readBody(inbound, limits.BodyBytes) {
		return false
	}
	return c.answer(inbound)
}

func (c *conn) readBody(inbound *Inbound, limit int64) bool {
	wait := c.server.handler.Patience(inbound)
	if wait <= 0 {
		wait = bodyTimeout
	}
	if !c.waitUntil(wait) {
		return false
	}
	if inbound.expects {
		if _, err := c.net.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return false
		}
	}
	if refused := inbound.readBody(c.reader, limit); refused != nil {
		c.refuse(refused)
		return false
	}
	return true
}

// answer lets the handler answer, while a second goroutine watches the caller.
func (c *conn) answer(inbound *Inbound) bool {
	if !c.waitUntil(0) {
		return false
	}
	gone := make(chan struct{})
	watched := make(chan bool, 1)
	go func() {
		_, err := c.reader.Peek(1)
		if err != nil && !isTimeout(err) {
			close(gone)
		}
		watched <- err == nil
	}()
	inbound.Gone = gone
	answer := &Answer{conn: c.net, writer: bufio.NewWriterSize(c.net, writeBuffer), method: inbound.Method, last: inbound.last || c.server.draining.Load(), draining: &c.server.draining}
	c.server.handler.Handle(inbound, answer)
	if !answer.Ended() {
		return false
	}
	// A head that was written before the server began to stop did not say that the
	// connection ends. A request that crosses its end has not been read.
	if answer.last || c.server.draining.Load() {
		c.finish()
		return false
	}
	c.setBusy(false)
	if !c.waitUntil(c.server.limits.Load().IdleTimeout) {
		return false
	}
	return <-watched
}

// finish tells the caller that nothing follows the last answer. The connection is
// closed right after, so a failure changes nothing.
func (c *conn) finish() {
	if half, ok := c.net.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// waitUntil bounds the reading from now on; 0 takes the bound away.
func (c *conn) waitUntil(span clock.Millis) bool {
	var instant time.Time
	if span > 0 {
		instant = time.Now().Add(span.Duration())
	}
	return c.net.SetReadDeadline(instant) == nil
}

// refuse answers what can't be read, and gives up the connection.
func (c *conn) refuse(refused *refusal) {
	if refused.status == 0 {
		return
	}
	answer := &Answer{conn: c.net, writer: bufio.NewWriterSize(c.net, writeBuffer), last: true}
	header := http.Header{}
	if refused.retryAfter > 0 {
		header.Set("Retry-After", RetryAfter(refused.retryAfter))
	}
	answer.Whole(refused.status, header, nil)
	c.finish()
	discard(c.net)
}
