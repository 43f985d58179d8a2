package instance

import "net/http"

// closingWriter writes a response that ends its connection if the instance drains when the response
// begins.
type closingWriter struct {
	http.ResponseWriter
	draining func() bool
	begun    bool
}

// WriteHeader begins the response.
func (c *closingWriter) WriteHeader(status int) {
	if !c.begun && status >= http.StatusOK {
		c.begun = true
		if c.draining() {
			c.Header().Set("Connection", "close")
		}
	}
	c.ResponseWriter.WriteHeader(status)
}

// Write begins the response with status 200 if it has not begun.
func (c *closingWriter) Write(data []byte) (int, error) {
	if !c.begun {
		c.WriteHeader(http.StatusOK)
	}
	return c.ResponseWriter.Write(data)
}

// Flush sends what has been written.
func (c *closingWriter) Flush() {
	if !c.begun {
		c.WriteHeader(http.StatusOK)
	}
	// An error means that the connection has ended, which the next write reports.
	_ = http.NewResponseController(c.ResponseWriter).Flush()
}

// Unwrap returns the writer for http.ResponseController.
func (c *closingWriter) Unwrap() http.ResponseWriter { return c.ResponseWriter }
