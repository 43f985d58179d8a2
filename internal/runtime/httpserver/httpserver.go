// Package httpserver is the HTTP/1.1 server for callers. It rejects ambiguous requests to
// prevent request smuggling, and reads the complete body before it calls the handler, so
// that the request can be retried. When a response can't be completed, it closes the
// connection before the response's end, so that the caller detects the truncation.
//
// # Usage
//
//	server := httpserver.New(handler, bodyBytes)
//	go server.Serve(listener)
//	server.Drain()
//	remaining := server.CloseIdle()
//
// Each connection has one goroutine, and a second one while a request is handled, which
// detects whether the caller disconnects.
package httpserver

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/desired"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/reserver"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// readBufferBytes and writeBufferBytes are the sizes of a connection's buffers.
	readBufferBytes  = 4 << 10
	writeBufferBytes = 2 << 10
	// bodyTimeout limits the time for reading the body if the caller stated no timeout.
	bodyTimeout = 30 * clock.Second
	// lastReadTimeout limits the read of input that has arrived already. It is longer than a
	// process may be suspended by a CPU quota.
	lastReadTimeout = 500 * time.Millisecond
	// minIdle is the time for which a connection must have waited for a request before it is
	// closed when the instance stops. Callers send the next request within several round trips.
	minIdle = 300 * time.Millisecond
)

// Handler handles requests.
type Handler interface {
	// CallerTimeout returns how long the caller waits for the response; 0 if the request
	// does not say.
	CallerTimeout(inbound *InboundRequest) clock.Millis
	// Handle writes the response. If the response is incomplete when Handle returns, the
	// connection is closed.
	Handle(inbound *InboundRequest, response *ResponseWriter)
}

// Server serves callers. It is safe for concurrent use.
type Server struct {
	handler  Handler
	limits   atomic.Pointer[desired.Limits]
	bodies   *reserver.Reserver
	draining atomic.Bool
	// readsEnded reports whether EndReads was called.
	readsEnded atomic.Bool

	mu    sync.Mutex
	conns map[*conn]bool
	// accepted counts the connections.
	accepted int64
}

// New returns a Server that passes requests to the handler. The bodies of all requests in
// flight may use at most bodyBytes of memory.
func New(handler Handler, bodyBytes int64) *Server {
	s := &Server{handler: handler, conns: map[*conn]bool{}, bodies: reserver.New(bodyBytes)}
	limits := desired.DefaultLimits()
	s.limits.Store(&limits)
	return s
}

// SetLimits sets the limits for requests that are read from now on. A longer idle timeout
// applies to the connections that are idle, too.
func (s *Server) SetLimits(limits desired.Limits) {
	before := s.limits.Swap(&limits)
	if limits.IdleTimeout <= before.IdleTimeout {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.extendIdle(limits.IdleTimeout)
	}
}

// BodyBytes returns the memory that is reserved for bodies.
func (s *Server) BodyBytes() int64 { return s.bodies.Held() }

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	for {
		accepted, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// No file descriptors are left: waits until other connections are closed.
			time.Sleep(10 * time.Millisecond)
			continue
		}
		now := time.Now()
		c := &conn{server: s, netConn: accepted, reader: bufio.NewReaderSize(accepted, readBufferBytes), acceptedAt: now, idleSince: now}
		s.mu.Lock()
		s.accepted++
		c.number = s.accepted
		s.conns[c] = true
		s.mu.Unlock()
		go c.serve()
	}
}

// Drain closes each connection after its next response.
func (s *Server) Drain() { s.draining.Store(true) }

// EndReads rejects the requests that have not been read to their end, and those that follow.
func (s *Server) EndReads() {
	s.readsEnded.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.interruptRead()
	}
}

// CloseIdle ends the connections that have waited for a request for some time, after reading
// requests that have arrived. It returns the number of connections left; a connection that it
// ends is among them until it is closed.
func (s *Server) CloseIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.endIdle()
	}
	return len(s.conns)
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// discardInput reads and discards further input for up to 300 ms. Closing the connection
// with unread input would send a reset, which can destroy the response in transit.
func discardInput(c net.Conn) {
	const timeout = 300 * time.Millisecond
	if c.SetReadDeadline(time.Now().Add(timeout)) == nil {
		// Errors are ignored: the connection is closed next.
		_, _ = io.Copy(io.Discard, io.LimitReader(c, 1<<20))
	}
}
