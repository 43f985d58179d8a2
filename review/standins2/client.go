package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const key = "wu3fexd9dnn2ctnfzs98"

func newID() string {
	var random [8]byte
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

// encode returns a client's request as the pages show it.
func encode(id, method, path string, deadline int, body, more string) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: review.example\r\nX-Hyssopdoor-Attempt-Id: %s\r\nX-Hyssopdoor-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%s", method, path, id, deadline, key, more)
	if method != http.MethodGet {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return text + "\r\n" + body
}

const promptHeaders = "X-Hyssopdoor-Model: m1\r\nX-Hyssopdoor-Token-Count: 1460,80\r\nX-Hyssopdoor-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n"

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
