// Package inputpoller reports whether the kernel holds input that has not been read from a
// connection, or connections that have not been accepted from a listener, and whether the other end
// has closed a connection that is not being read. A read or an accept whose
// deadline has passed returns an error without looking.
//
// # Usage
//
//	if inputpoller.HasInput(conn) { ... }
package inputpoller

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// HasInput reports whether the next read or accept will not block. The source is a connection or
// a listener; it reports false for one that is closed or has no file descriptor.
func HasInput(source any) bool { return polls(source, unix.POLLIN) }

// HasEnded reports whether the other end has closed the connection, even if what it sent before has
// not been read. It reports false for one that is closed here or has no file descriptor.
func HasEnded(source any) bool { return polls(source, unix.POLLRDHUP) }

// polls reports whether one of the events, or an error, is pending.
func polls(source any, events int16) bool {
	socket, ok := source.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	pending := false
	err = raw.Control(func(descriptor uintptr) {
		polled := []unix.PollFd{{Fd: int32(descriptor), Events: events}}
		count, pollErr := unix.Poll(polled, 0)
		pending = pollErr == nil && count > 0
	})
	return err == nil && pending
}
