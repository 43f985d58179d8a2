// Package progresswriter writes to the connection of a caller as long as the caller reads. A timeout
// for the whole of a long write would cut off callers that read slowly.
//
// # Usage
//
//	writer := progresswriter.New(conn, deadline)
//	_, err := writer.Write(data)
package progresswriter

import (
	"net"
	"time"
)

const (
	// writeTimeout limits the time in which a caller takes a piece.
	writeTimeout = 5 * time.Second
	// pieceBytes is the size of a piece. With writeTimeout it is the lowest rate, 3 KB/s.
	pieceBytes = 16 << 10
)

// Writer writes to a connection.
type Writer struct {
	conn     net.Conn
	deadline time.Time
}

// New returns a Writer to the connection. From the deadline on, the caller does not wait for its
// response: a write ends within the write timeout, so that a caller that reads a byte now and then
// does not keep its response forever.
func New(conn net.Conn, deadline time.Time) *Writer {
	return &Writer{conn: conn, deadline: deadline}
}

// Write writes the data in pieces.
func (w *Writer) Write(data []byte) (int, error) {
	last := time.Now()
	if last.Before(w.deadline) {
		last = w.deadline
	}
	last = last.Add(writeTimeout)
	written := 0
	for written < len(data) {
		limit := time.Now().Add(writeTimeout)
		if limit.After(last) {
			limit = last
		}
		if err := w.conn.SetWriteDeadline(limit); err != nil {
			return written, err
		}
		n, err := w.conn.Write(data[written:min(len(data), written+pieceBytes)])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
