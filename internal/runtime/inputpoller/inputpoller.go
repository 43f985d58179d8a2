// Package inputpoller reports whether the kernel holds input that has not been read from a
// connection, or connections that have not been accepted from a listener. A read or an accept whose
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
func HasInput(source any) bool {
	socket, ok := source.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	ready := false
	err = raw.Control(func(descriptor uintptr) {
		polled := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLIN}}
		count, pollErr := unix.Poll(polled, 0)
		ready = pollErr == nil && count > 0
	})
	return err == nil && ready
}
