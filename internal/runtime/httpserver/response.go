package httpserver

import (
	"bufio"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// ResponseWriter writes the response to one request. It is not safe for concurrent use.
type ResponseWriter struct {
	writer     *bufio.Writer
	method     string
	closeAfter bool
	draining   *atomic.Bool

	started  bool
	finished bool
	err      error
}

// RetryAfter returns the duration as a value of the header field Retry-After: seconds with
// three decimals.
func RetryAfter(duration clock.Millis) string {
	return strconv.FormatFloat(float64(duration)/float64(clock.Second), 'f', 3, 64)
}

// Completed reports whether the complete response has been written without an error.
func (w *ResponseWriter) Completed() bool { return w.finished && w.err == nil }

// Started reports whether a part of the response has been written.
func (w *ResponseWriter) Started() bool { return w.started }

// CloseAfter requests that the connection is closed after this response.
func (w *ResponseWriter) CloseAfter() { w.closeAfter = true }

// WriteResponse writes a complete response with its length.
func (w *ResponseWriter) WriteResponse(status int, header http.Header, body []byte) {
	w.writeHead(status, header, "Content-Length: "+strconv.Itoa(len(body))+"\r\n")
	w.writeBody(body)
	w.flush()
	w.finished = true
}

// WriteHead writes the head of a chunked response.
func (w *ResponseWriter) WriteHead(status int, header http.Header) {
	w.writeHead(status, header, "Transfer-Encoding: chunked\r\n")
}

// WriteChunk writes a chunk and flushes it. It reports false when writing to the caller
// failed.
func (w *ResponseWriter) WriteChunk(chunk []byte) bool {
	w.writeBody([]byte(strconv.FormatInt(int64(len(chunk)), 16) + "\r\n"))
	w.writeBody(chunk)
	w.writeBody([]byte("\r\n"))
	w.flush()
	return w.err == nil
}

// Finish writes the end of a chunked response.
func (w *ResponseWriter) Finish() {
	w.writeBody([]byte("0\r\n\r\n"))
	w.flush()
	w.finished = true
}

func (w *ResponseWriter) writeHead(status int, header http.Header, framing string) {
	w.started = true
	if w.draining != nil && w.draining.Load() {
		w.closeAfter = true
	}
	w.write([]byte("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n"))
	if w.err == nil {
		w.err = header.Write(w.writer)
	}
	if w.closeAfter {
		framing += "Connection: close\r\n"
	}
	w.write([]byte(framing + "\r\n"))
}

// writeBody writes a part of the body. The response to a HEAD request has none: its caller would
// take the bytes for the next response.
func (w *ResponseWriter) writeBody(data []byte) {
	if w.method != http.MethodHead {
		w.write(data)
	}
}

func (w *ResponseWriter) write(data []byte) {
	if w.err != nil {
		return
	}
	_, w.err = w.writer.Write(data)
}

func (w *ResponseWriter) flush() {
	if w.err == nil {
		w.err = w.writer.Flush()
	}
}
