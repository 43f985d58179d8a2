package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// request is one attempt of a client.
type request struct {
	id, method, host, path, key string
	deadline                    time.Duration
	header                      http.Header
	body                        []byte
	// chunkBytes is the size of the chunks in which the body is sent; 0 to send it with its length.
	chunkBytes int
}

// result is what a client got.
type result struct {
	status  int
	header  http.Header
	body    string
	whole   bool
	sent    bool // sent reports whether the whole request was sent.
	err     error
	elapsed time.Duration
}

func (r result) String() string {
	if r.status == 0 {
		return fmt.Sprintf("no answer (%v), request sent to its end: %t", r.err, r.sent)
	}
	return fmt.Sprintf("%d, whole: %t", r.status, r.whole)
}

// channel is a connection that a client keeps open for many requests.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
}

// openChannel opens a channel to an instance; nil if that fails.
func openChannel(i *instance) *channel {
	conn, err := net.DialTimeout("tcp", i.front, time.Second)
	if err != nil {
		return nil
	}
	return &channel{conn: conn, reader: bufio.NewReader(conn)}
}

func (c *channel) write(r request) error {
	writer := bufio.NewWriterSize(c.conn, 64<<10)
	fmt.Fprintf(writer, "%s %s HTTP/1.1\r\nHost: %s\r\n%sAttempt-Id: %s\r\n%sDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		r.method, r.path, r.host, headerPrefix, r.id, headerPrefix, r.deadline.Milliseconds(), r.key)
	_ = r.header.Write(writer)
	if r.chunkBytes == 0 {
		fmt.Fprintf(writer, "Content-Length: %d\r\n\r\n", len(r.body))
		_, _ = writer.Write(r.body)
		return writer.Flush()
	}
	_, _ = io.WriteString(writer, "Transfer-Encoding: chunked\r\n\r\n")
	for rest := r.body; len(rest) > 0; {
		chunk := rest[:min(len(rest), r.chunkBytes)]
		rest = rest[len(chunk):]
		fmt.Fprintf(writer, "%x\r\n", len(chunk))
		_, _ = writer.Write(chunk)
		_, _ = io.WriteString(writer, "\r\n")
	}
	_, _ = io.WriteString(writer, "0\r\n\r\n")
	return writer.Flush()
}

// do sends a request and waits for the answer until the client's deadline.
func (c *channel) do(r request) result {
	begin := time.Now()
	_ = c.conn.SetDeadline(begin.Add(r.deadline + 500*time.Millisecond))
	if err := c.write(r); err != nil {
		return result{err: err, elapsed: time.Since(begin)}
	}
	answer, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		return result{err: err, sent: true, elapsed: time.Since(begin)}
	}
	body, err := io.ReadAll(answer.Body)
	return result{status: answer.StatusCode, header: answer.Header, body: string(body), whole: err == nil, sent: true, err: err, elapsed: time.Since(begin)}
}

func (c *channel) close() {
	if c != nil {
		_ = c.conn.Close()
	}
}
