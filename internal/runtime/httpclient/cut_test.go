package httpclient_test

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/runtime/httpclient"
)

// frames returns the text in frames of the size, without the end of the stream.
func frames(text string, size int) string {
	framed := ""
	for len(text) > 0 {
		n := min(size, len(text))
		framed += string(binary.BigEndian.AppendUint16(nil, uint16(n))) + text[:n]
		text = text[n:]
	}
	return framed
}

// TestCutTunnel cuts what another instance sends at each byte, and verifies that a request which was
// passed on is not "not sent", and that a response is only complete if the server has ended it.
func TestCutTunnel(t *testing.T) {
	const greeting, end = "HTTP/1.1 200 OK\r\nTunnel-Verdict: reached\r\n\r\n", "\x00\x00"
	for name, text := range map[string]string{
		"a length":  "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nwhole answer",
		"chunks":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nc\r\nwhole answer\r\n0\r\n\r\n",
		"no length": "HTTP/1.1 200 OK\r\n\r\nwhole answer",
		"interim":   "HTTP/1.1 103 Early\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\n\r\nwhole answer",
	} {
		for _, size := range []int{1, 7, 4096} {
			t.Run(fmt.Sprint(name, ", frames of ", size), func(t *testing.T) {
				t.Parallel()
				sent := greeting + frames(text, size) + end
				// Without the frame that marks the end, a framed response is whole.
				enough := len(sent)
				if name == "a length" || name == "chunks" {
					enough -= len(end)
				}
				for length := range len(sent) + 1 {
					address, _ := listen(t, func(conn net.Conn) {
						defer conn.Close()
						reader := bufio.NewReader(conn)
						_, _ = http.ReadRequest(reader)
						_, _ = io.WriteString(conn, sent[:min(length, len(greeting))])
						if length >= len(greeting) {
							_, _ = http.ReadRequest(reader)
							_, _ = io.WriteString(conn, sent[len(greeting):length])
						}
					})
					tunnelled := request
					tunnelled.Tunnel = &httpclient.Tunnel{Address: address, Server: "i", Timeout: 1000}
					body, err := exchange(t, tunnelled)
					var notSent *httpclient.NotSentError
					require.Equal(t, length < len(greeting), errors.As(err, &notSent), "cut at %d: %v", length, err)
					require.Equal(t, length >= enough, err == nil, "cut at %d: %v, %q", length, err, body)
					if err == nil {
						require.Equal(t, "whole answer", body)
					}
				}
			})
		}
	}
}

// TestCutHeadIsNotMalformed guards against a head that was cut inside a line and counted as one that
// is no response: a crash of its server was not suspected.
func TestCutHeadIsNotMalformed(t *testing.T) {
	const head = "HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n"
	tests := map[string]bool{"no\x00nsense": false, "HTTP/1.1 200 OK\r\nno field\r\n\r\n": false, "HTTP/1.1 2x0 OK\r\n\r\n": false, "HTTP/3": false}
	for length := range head {
		tests[head[:length]] = true
	}
	for sent, isCut := range tests {
		address, _ := listen(t, func(conn net.Conn) {
			defer conn.Close()
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, sent)
		})
		exchange, err := httpclient.Send(t.Context(), address, request)
		require.NoError(t, err)
		_, err = exchange.ReadResponse()
		exchange.Close()
		require.Error(t, err)
		require.Equal(t, isCut, errors.Is(err, io.ErrUnexpectedEOF), "%q: %v", sent, err)
	}
}

// exchange sends a request and reads the whole response.
func exchange(t *testing.T, request httpclient.Request) (string, error) {
	sent, err := httpclient.Send(t.Context(), "127.0.0.1:1", request)
	if err != nil {
		return "", err
	}
	defer sent.Close()
	response, err := sent.ReadResponse()
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(response.Body)
	return string(body), err
}
