// Package bodytimer limits the time in which the body of a request arrives. The read timeout of
// net/http would also apply while the request is handled.
//
// # Usage
//
//	handler := bodytimer.New(handler, timeout)
package bodytimer

import (
	"io"
	"net/http"
	"time"
)

// New returns a handler whose requests have bodies that return os.ErrDeadlineExceeded after the
// timeout.
func New(next http.Handler, timeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body != nil && r.Body != http.NoBody {
			controller := http.NewResponseController(w)
			// An error means that the connection has ended.
			_ = controller.SetReadDeadline(time.Now().Add(timeout))
			r.Body = &body{ReadCloser: r.Body, controller: controller}
		}
		next.ServeHTTP(w, r)
	})
}

// body removes the deadline at its end: the server goes on reading to detect whether the caller
// disconnects.
type body struct {
	io.ReadCloser
	controller *http.ResponseController
}

// Read reads from the body.
func (b *body) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if err == io.EOF {
		_ = b.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}
