// Package front serves callers over HTTP/1.1. It reads requests strictly, so that
// nothing can hide in them, and whole, so that they can be sent again; it writes
// answers as the handler says, and breaks off visibly what can't be ended.
//
// # Usage
//
//	server := front.New(handler)
//	go server.Serve(listener)
//	server.Drain()
//
// Each connection has one goroutine, and one more while a request is answered, which
// tells the handler when the caller goes.
package front

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/desired"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// readBuffer and writeBuffer are sizes in bytes of a connection's buffers.
	readBuffer  = 4 << 10
	writeBuffer = 2 << 10
	// writeTimeout bounds the sending of a piece to a caller that does not read.
	writeTimeout = 5 * time.Second
	// bodyTimeout bounds the reading of a body whose caller named no time.
	bodyTimeout = 30 * clock.Second
)

// Handler answers requests.
type Handler interface {
	// Patience returns how long the caller of the request will wait; 0 when it did
	// not say.
	Patience(inbound *Inbound) clock.Millis
	// Handle answers the request. The connection goes on when the answer was ended.
	Handle(inbound *Inbound, answer *Answer)
}

// Server serves callers. It is safe for concurrent use.
type Server struct {
	handler  Handler
	limits   atomic.Pointer[desired.Limits]
	bodies   *reservoir
	draining atomic.Bool

	mu    sync.Mutex
	conns map[*conn]bool
}

// New returns a Server whose requests the handler answers; bodies of at most the
// given bytes are kept at one time.
func New(handler Handler, bodyBytes int64) *Server {
	s := &Server{handler: handler, conns: map[*conn]bool{}, bodies: &reservoir{free: bodyBytes}}
	limits := desired.DefaultLimits()
	s.limits.Store(&limits)
	return s
}

// SetLimits puts the limits in force for requests that are read from now on.
func (s *Server) SetLimits(limits desired.Limits) { s.limits.Store(&limits) }

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	for {
		accepted, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// Descriptors are short: the connections that end make room.
			time.Sleep(10 * time.Millisecond)
			continue
		}
		c := &conn{server: s, net: accepted, reader: bufio.NewReaderSize(accepted, readBuffer)}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go c.serve()
	}
}

// Drain lets each connection end with its next answer.
func (s *Server) Drain() { s.draining.Store(true) }

// CloseIdle closes the connections on which no request is answered or being read. It
// returns how many are left.
func (s *Server) CloseIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := 0
	for c := range s.conns {
		if !c.closeIdle() {
			left++
		}
	}
	return left
}

func (s *Server) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// reservoir bounds the bytes of bodies that are kept.
type reservoir struct {
	mu   sync.Mutex
	free int64
}

func (r *reservoir) take(bytes int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.free < bytes {
		return false
	}
	r.free -= bytes
	return true
}

func (r *reservoir) give(bytes int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.free += bytes
}

// discard reads what a caller still sends, for a moment, so that closing does not
// destroy the answer on its way.
func discard(c net.Conn) {
	const lingering = 300 * time.Millisecond
	if c.SetReadDeadline(time.Now().Add(lingering)) == nil {
		// Only the wait matters.
		_, _ = io.Copy(io.Discard, io.LimitReader(c, 1<<20))
	}
}
