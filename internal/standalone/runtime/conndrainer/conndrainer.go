// Package conndrainer closes the idle connections of a net/http server that stops, after the
// requests that have arrived on them are read. http.Server.Shutdown would close them unread.
// It also limits writes to callers that do not read.
//
// # Usage
//
//	drainer := conndrainer.New()
//	server := &http.Server{ConnState: drainer.Track, ...}
//	go server.Serve(drainer.Listen(listener))
//	remaining := drainer.EndIdle()
package conndrainer

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/hyssopdoor/hyssopdoor/internal/runtime/inputpoller"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/progresswriter"
)

const (
	// minIdle is the time for which a connection must have waited for a request before it is
	// closed. Callers send the next request within several round trips.
	minIdle = 300 * time.Millisecond
	// lastReadTimeout limits the read of input that has arrived already. It is longer than a
	// process may be suspended by a CPU quota.
	lastReadTimeout = 500 * time.Millisecond
	// maxWrite limits a write to a caller that reads slowly.
	maxWrite = 30 * time.Second
)

// Drainer knows the connections of one server. It is safe for concurrent use.
type Drainer struct {
	mu    sync.Mutex
	conns map[*conn]bool
}

// New returns a Drainer without connections.
func New() *Drainer { return &Drainer{conns: map[*conn]bool{}} }

// conn is a connection of the server.
type conn struct {
	*net.TCPConn

	mu sync.Mutex
	// waiting reports whether no byte of a request has been read since idleSince.
	waiting   bool
	idleSince time.Time
	// ending reports whether the connection ends unless a request has arrived.
	ending bool
}

// Listen returns a listener whose connections can be ended.
func (d *Drainer) Listen(listener net.Listener) net.Listener {
	return &trackingListener{Listener: listener, drainer: d}
}

// trackingListener returns connections of the type conn.
type trackingListener struct {
	net.Listener
	drainer *Drainer
}

// Accept accepts a connection.
func (l *trackingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := accepted.(*net.TCPConn)
	if !ok {
		return accepted, nil
	}
	c := &conn{TCPConn: tcp, waiting: true, idleSince: time.Now()}
	l.drainer.mu.Lock()
	defer l.drainer.mu.Unlock()
	l.drainer.conns[c] = true
	return c, nil
}

// Track records the state of a connection. It is the server's ConnState.
func (d *Drainer) Track(netConn net.Conn, state http.ConnState) {
	c, ok := netConn.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.begin()
	case http.StateHijacked, http.StateClosed:
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.conns, c)
	}
}

// EndIdle ends the connections that have waited for a request for some time. It returns the
// number of connections left; one that it ends is among them until it is closed.
func (d *Drainer) EndIdle() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.conns {
		c.endIdle()
	}
	return len(d.conns)
}

// begin begins the wait for a request.
func (c *conn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting, c.ending, c.idleSince = true, false, time.Now()
}

// endIdle lets the server's read return.
func (c *conn) endIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting && time.Since(c.idleSince) >= minIdle {
		c.ending = true
		// An error means that the connection has ended.
		_ = c.SetReadDeadline(time.Now())
	}
}

// Read reads from the connection. If its wait is ended, it returns what has arrived before: a
// read whose deadline has passed does not look for input.
func (c *conn) Read(buffer []byte) (int, error) {
	n, err := c.TCPConn.Read(buffer)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.mayHaveRequest() {
		n, err = c.TCPConn.Read(buffer)
	}
	if n > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.waiting, c.ending = false, false
	}
	return n, err
}

// Write writes to the connection as long as the caller reads. Without a limit, a caller that reads
// nothing would keep its request, and the server that runs it, forever.
func (c *conn) Write(data []byte) (int, error) {
	return progresswriter.New(c.TCPConn, time.Now().Add(maxWrite)).Write(data)
}

// ReadFrom copies from the reader by Write.
func (c *conn) ReadFrom(reader io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, reader)
}

// mayHaveRequest reports whether a request has arrived on a connection that ends.
func (c *conn) mayHaveRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ending || !inputpoller.HasInput(c.TCPConn) {
		return false
	}
	// endIdle must not set a deadline before the read.
	c.waiting = false
	return c.SetReadDeadline(time.Now().Add(lastReadTimeout)) == nil
}
