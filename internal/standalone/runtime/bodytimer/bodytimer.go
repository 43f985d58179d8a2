// Package bodytimer limits the time in which the body of a request arrives. The read timeout of
// net/http would also apply while the request is handled.
//
// # Usage
//
//	timer := bodytimer.New(handler, timeout)
//	server := &http.Server{Handler: timer}
//	timer.EndAt(stop)
package bodytimer

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

// ErrEnded means that a body had not arrived at the time of EndAt.
var ErrEnded = errors.New("bodytimer: no more bodies are read")

// Timer is a handler whose requests have bodies that return os.ErrDeadlineExceeded after a timeout.
// It is safe for concurrent use.
type Timer struct {
	next    http.Handler
	timeout time.Duration

	mu sync.Mutex
	// end is the time of EndAt; zero if it has not been called.
	end    time.Time
	bodies map[*body]bool // bodies are those that are still read.
}

// New returns a Timer with the timeout before the handler.
func New(next http.Handler, timeout time.Duration) *Timer {
	return &Timer{next: next, timeout: timeout, bodies: map[*body]bool{}}
}

// ServeHTTP handles a request.
func (t *Timer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Body != nil && r.Body != http.NoBody {
		b := &body{ReadCloser: r.Body, timer: t, controller: http.NewResponseController(w), deadline: time.Now().Add(t.timeout)}
		t.begin(b)
		defer t.forget(b)
		r.Body = b
	}
	t.next.ServeHTTP(w, r)
}

// EndAt makes all bodies that have not arrived by then return ErrEnded.
func (t *Timer) EndAt(end time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.end = end
	for b := range t.bodies {
		t.limit(b)
	}
}

func (t *Timer) begin(b *body) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bodies[b] = true
	t.limit(b)
}

// limit sets the deadline of a body. The caller holds the lock.
func (t *Timer) limit(b *body) {
	if !t.end.IsZero() && t.end.Before(b.deadline) {
		b.deadline, b.ends = t.end, true
	}
	// An error means that the connection has ended.
	_ = b.controller.SetReadDeadline(b.deadline)
}

// finish removes the deadline of a body that has arrived.
func (t *Timer) finish(b *body) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.bodies[b] {
		delete(t.bodies, b)
		_ = b.controller.SetReadDeadline(time.Time{})
	}
}

// forget removes a body whose request has been handled.
func (t *Timer) forget(b *body) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.bodies, b)
}

// body removes the deadline at its end: the server goes on reading to detect whether the caller
// disconnects.
type body struct {
	io.ReadCloser
	timer      *Timer
	controller *http.ResponseController
	deadline   time.Time
	// ends reports whether the deadline is the time of EndAt.
	ends bool
}

// Read reads from the body.
func (b *body) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	switch {
	case err == io.EOF:
		b.timer.finish(b)
	case errors.Is(err, os.ErrDeadlineExceeded) && b.timer.hasEnded(b):
		return n, ErrEnded
	}
	return n, err
}

func (t *Timer) hasEnded(b *body) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return b.ends
}
