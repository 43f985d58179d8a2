// Package drainlistener closes a listener without resetting the connections that the kernel has
// already accepted: callers may have sent requests on them.
//
// # Usage
//
//	listener := drainlistener.New(tcpListener)
//	go server.Serve(listener)
//	listener.Drain()
package drainlistener

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/hyssopdoor/hyssopdoor/internal/runtime/inputpoller"
)

const (
	// maxDrain is the time after which the kernel accepts no further connections, as new ones may
	// always arrive.
	maxDrain = 250 * time.Millisecond
	// acceptTimeout limits the accept of a connection that waits. It is longer than a process
	// may be suspended by a CPU quota.
	acceptTimeout = 500 * time.Millisecond
)

// Listener is a TCP listener. It is safe for concurrent use.
type Listener struct {
	*net.TCPListener
	draining atomic.Bool
	// until is the time at which the backlog is shrunk at the latest. It is set before draining.
	until time.Time
	// backlogShrunk reports whether the backlog was reduced to its minimum, and pending is the number
	// of connections that were in it and have not been accepted. Only Accept uses them.
	backlogShrunk bool
	pending       int

	drained   chan struct{}
	drainOnce sync.Once
	endOnce   sync.Once
}

// New returns a Listener that accepts from the listener.
func New(listener *net.TCPListener) *Listener {
	return &Listener{TCPListener: listener, drained: make(chan struct{})}
}

// Accept accepts a connection. It returns net.ErrClosed after Close, or after Drain when no
// connection waits.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		draining := l.draining.Load()
		if draining && !l.prepareLast() {
			return nil, l.end()
		}
		conn, err := l.TCPListener.Accept()
		if draining || !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
	}
}

// prepareLast reports whether another connection waits and may be accepted.
func (l *Listener) prepareLast() bool {
	if !l.backlogShrunk && (!time.Now().Before(l.until) || !inputpoller.HasInput(l.TCPListener)) {
		l.shrinkBacklog()
	}
	if l.backlogShrunk {
		l.pending--
		if l.pending < 0 {
			return false
		}
	}
	return inputpoller.HasInput(l.TCPListener) && l.SetDeadline(time.Now().Add(acceptTimeout)) == nil
}

// shrinkBacklog reduces the backlog to its minimum and counts the pending connections, as the kernel
// resets those that are left when the listener is closed. With a backlog of 0, it would log a
// possible SYN flood.
func (l *Listener) shrinkBacklog() {
	l.backlogShrunk = true
	raw, err := l.SyscallConn()
	if err != nil {
		return
	}
	// Errors are ignored: more connections are reset then.
	_ = raw.Control(func(descriptor uintptr) {
		_ = unix.Listen(int(descriptor), 1)
		if info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			// Of a listening socket, this is the number of connections in the backlog.
			l.pending = int(info.Unacked)
		}
	})
}

// end closes the listener and returns the error of Accept.
func (l *Listener) end() error {
	// An error means that the listener is closed.
	_ = l.Close()
	l.endOnce.Do(func() { close(l.drained) })
	return net.ErrClosed
}

// Drain lets Accept return the connections that wait, then closes the listener. It returns when
// Accept has returned net.ErrClosed.
func (l *Listener) Drain() {
	l.drainOnce.Do(func() {
		l.until = time.Now().Add(maxDrain)
		l.draining.Store(true)
		if l.SetDeadline(time.Now()) != nil {
			_ = l.end()
		}
	})
	select {
	case <-l.drained:
	case <-time.After(maxDrain + acceptTimeout):
		// Accept is not called.
		_ = l.end()
	}
}
