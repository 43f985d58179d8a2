// Package conncloser closes connections so that the other end learns of it at once. After a plain close, the
// kernel first delivers what was written, for as long as the other end takes nothing of it.
//
// # Usage
//
//	err := conncloser.Close(conn)
package conncloser

import (
	"net"

	"golang.org/x/sys/unix"
)

// Close closes the connection. If something that was written has not been sent, that is discarded and the
// connection is reset. Otherwise the close is orderly: its packets are repeated if they are lost, those of a reset
// are not.
func Close(conn net.Conn) error {
	if tcp, ok := conn.(*net.TCPConn); ok && hasUnsent(tcp) {
		// An error means that the connection has ended.
		_ = tcp.SetLinger(0)
	}
	return conn.Close()
}

func hasUnsent(conn *net.TCPConn) bool {
	socket, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	unsent := 0
	err = socket.Control(func(descriptor uintptr) {
		// It stays 0 if the kernel does not tell.
		unsent, _ = unix.IoctlGetInt(int(descriptor), unix.SIOCOUTQNSD)
	})
	return err == nil && unsent > 0
}
