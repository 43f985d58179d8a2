package front

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Answer is the answer to one request while it is written. It is for one goroutine.
type Answer struct {
	conn     net.Conn
	writer   *bufio.Writer
	method   string
	last     bool
	draining *atomic.Bool

	begun bool
	ended bool
	err   error
}

// RetryAfter returns the span as the header field wants it: in seconds, with
// fractions.
func RetryAfter(span clock.Millis) string {
	return strconv.FormatFloat(float64(span)/float64(clock.Second), 'f', 3, 64)
}

// Ended reports whether the answer is whole.
func (a *Answer) Ended() bool { return a.ended && a.err == nil }

// Begun reports whether a part of the answer has been written.
func (a *Answer) Begun() bool { return a.begun }

// Last makes the answer the connection's last one.
func (a *Answer) Last() { a.last = true }

// Whole writes an answer that is known whole.
func (a *Answer) Whole(status int, header http.Header, body []byte) {
	a.head(status, header, "Content-Length: "+strconv.Itoa(len(body))+"\r\n")
	if a.method != http.MethodHead {
		a.write(body)
	}
	a.flush()
	a.ended = true
}

// Begin writes the head of an answer that comes in pieces.
func (a *Answer) Begin(status int, header http.Header) {
	a.head(status, header, "Transfer-Encoding: chunked\r\n")
}

// Piece writes a piece at once. It reports false when the caller can't be reached.
func (a *Answer) Piece(piece []byte) bool {
	a.write([]byte(strconv.FormatInt(int64(len(piece)), 16) + "\r\n"))
	a.write(piece)
	a.write([]byte("\r\n"))
	a.flush()
	return a.err == nil
}

// End writes the end of an answer in pieces.
func (a *Answer) End() {
	a.write([]byte("0\r\n\r\n"))
	a.flush()
	a.ended = true
}

func (a *Answer) head(status int, header http.Header, framing string) {
	a.begun = true
	if a.draining != nil && a.draining.Load() {
		a.last = true
	}
	a.write([]byte("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n"))
	if a.err == nil {
		a.err = header.Write(a.writer)
	}
	if a.last {
		framing += "Connection: close\r\n"
	}
	a.write([]byte(framing + "\r\n"))
}

func (a *Answer) write(bytes []byte) {
	if a.err != nil {
		return
	}
	if a.err = a.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); a.err != nil {
		return
	}
	_, a.err = a.writer.Write(bytes)
}

func (a *Answer) flush() {
	if a.err == nil {
		a.err = a.writer.Flush()
	}
}
