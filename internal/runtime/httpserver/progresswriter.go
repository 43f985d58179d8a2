package httpserver

import (
	"net"
	"time"
)

const (
	// writeTimeout limits the time in which a caller takes a piece of a response. A caller that
	// reads slowly is not cut off as long as it takes one piece in that time.
	writeTimeout = 5 * time.Second
	// pieceBytes is the size of a piece. With writeTimeout it is the lowest rate, 3 KB/s.
	pieceBytes = 16 << 10
)

// progressWriter writes to a caller's connection as long as the caller reads.
type progressWriter struct {
	conn net.Conn
	// deadline is the time at which the caller does not wait for its response any more. A write
	// ends within writeTimeout from then on, so that a caller that reads a byte now and then
	// does not keep its response forever.
	deadline time.Time
}

// Write writes the data in pieces.
func (w *progressWriter) Write(data []byte) (int, error) {
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
