package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const key = "wu3fexd9dnn2ctnfzs98"

func newID() string {
	var random [8]byte
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

// promptRequest returns the text of a client's request on the route of the streams, in the form of request.txt. More are
// further header fields.
func promptRequest(id, parts string, output int, more, body string) string {
	text := fmt.Sprintf(requestForm, id, key, output, parts)
	return strings.ReplaceAll(strings.TrimSuffix(text, "\n"), "\n", "\r\n") + "\r\n" + more + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   string
	// sent is when the last byte of the request was sent; err is set if the answer isn't complete.
	sent time.Time
	err  error
	took time.Duration
	// closes reports whether the answer announces the end of the channel.
	closes bool
}

// exchange sends one request on a channel and reads the answer.
func exchange(conn net.Conn, reader *bufio.Reader, method, request string, limit time.Duration) answer {
	begin := time.Now()
	_ = conn.SetDeadline(begin.Add(limit))
	if _, err := io.WriteString(conn, request); err != nil {
		return answer{err: err, took: time.Since(begin)}
	}
	a := answer{sent: time.Now()}
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		a.err, a.took = err, time.Since(begin)
		return a
	}
	body, err := io.ReadAll(response.Body)
	a.status, a.header, a.body, a.err, a.took, a.closes = response.StatusCode, response.Header, string(body), err, time.Since(begin), response.Close
	return a
}

// once sends one request on a channel of its own.
func once(address, method, request string, limit time.Duration) answer {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	return exchange(conn, bufio.NewReader(conn), method, request, limit)
}
