package httpserver

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"

	"github.com/hyssopdoor/hyssopdoor/internal/runtime/reserver"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// InboundRequest is a request of a caller.
type InboundRequest struct {
	Method string
	// Target is the request's path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Disconnected is closed when the caller closes its connection.
	Disconnected <-chan struct{}
	Connection   Connection

	contentLength   int64 // contentLength is -1 for a chunked body.
	expectsContinue bool
	closeAfter      bool
}

// Connection describes the connection of a request when the request's head was read.
type Connection struct {
	// Number identifies the connection in this process, from 1.
	Number int64
	// Requests is the number of requests on it so far, with this one.
	Requests int
	// Age is the time since it was accepted.
	Age clock.Millis
}

// Path returns the target without its query.
func (i *InboundRequest) Path() string {
	path, _, _ := strings.Cut(i.Target, "?")
	return path
}

// reservedBytes returns the memory to reserve for the body.
func (i *InboundRequest) reservedBytes(limit int64) int64 {
	if i.contentLength < 0 {
		return min(limit, chunkedBodyReserve)
	}
	return min(limit, i.contentLength)
}

// chunkedBodyReserve is the memory in bytes to reserve for the first bytes of a body of unknown length.
// That for the others is reserved as they arrive.
const chunkedBodyReserve = 128 << 10

// rejection is the response to a request that can't be read. With status 0 the connection
// is closed without a response.
type rejection struct {
	status     int
	retryAfter clock.Millis
}

// bodiesFull rejects a request for whose body there is no memory left. It has not run.
var bodiesFull = &rejection{status: http.StatusServiceUnavailable, retryAfter: clock.Second}

// readHead reads the head of a request.
func readHead(reader *bufio.Reader, limit int64) (*InboundRequest, *rejection) {
	head, rejected := readLines(reader, limit)
	if rejected != nil {
		return nil, rejected
	}
	if !isUnambiguous(head) {
		return nil, &rejection{status: http.StatusBadRequest}
	}
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil || request.ProtoMajor != 1 || request.ProtoMinor != 1 || !strings.HasPrefix(request.RequestURI, "/") || request.Host == "" {
		return nil, &rejection{status: http.StatusBadRequest}
	}
	inbound := &InboundRequest{
		Method: request.Method, Target: request.RequestURI, Host: request.Host, Header: request.Header,
		contentLength: request.ContentLength, closeAfter: request.Close,
		expectsContinue: strings.EqualFold(request.Header.Get("Expect"), "100-continue"),
	}
	return inbound, nil
}

// readLines reads the head of a request up to and including the empty line.
func readLines(reader *bufio.Reader, limit int64) ([]byte, *rejection) {
	var head []byte
	for {
		line, err := reader.ReadSlice('\n')
		head = append(head, line...)
		if int64(len(head)) > limit {
			return nil, &rejection{status: http.StatusRequestHeaderFieldsTooLarge}
		}
		switch {
		case err == bufio.ErrBufferFull:
			continue
		case isTimeout(err):
			return nil, &rejection{status: http.StatusRequestTimeout}
		case err != nil:
			return nil, &rejection{}
		}
		if bytes.Equal(head, []byte("\r\n")) {
			// Empty lines before the request line are allowed.
			head = head[:0]
			continue
		}
		if bytes.HasSuffix(head, []byte("\r\n\r\n")) {
			return head, nil
		}
		if bytes.HasSuffix(head, []byte("\n\n")) {
			return nil, &rejection{status: http.StatusBadRequest}
		}
	}
}

// isUnambiguous reports whether all parsers read the head in the same way: it has no bare
// line feeds and no folded lines, at most one Content-Length, and not both Content-Length
// and Transfer-Encoding. This prevents request smuggling.
func isUnambiguous(head []byte) bool {
	lines := strings.Split(strings.TrimSuffix(string(head), "\r\n\r\n"), "\r\n")
	if strings.Count(lines[0], " ") != 2 {
		return false
	}
	lengths, encodings, hosts := 0, 0, 0
	for i, line := range lines {
		if strings.ContainsAny(line, "\r\n\x00") {
			return false
		}
		if i == 0 {
			continue
		}
		name, value, found := strings.Cut(line, ":")
		if !found || name == "" || strings.ContainsAny(name, " \t") {
			return false
		}
		value = strings.Trim(value, " \t")
		switch strings.ToLower(name) {
		case "content-length":
			lengths++
			if _, err := strconv.ParseUint(value, 10, 62); err != nil || value[0] == '+' {
				return false
			}
		case "transfer-encoding":
			encodings++
			if !strings.EqualFold(value, "chunked") {
				return false
			}
		case "host":
			hosts++
		}
	}
	return lengths <= 1 && encodings <= 1 && lengths+encodings <= 1 && hosts == 1
}

// readBody reads the complete body.
func (i *InboundRequest) readBody(reader *bufio.Reader, limit int64, account *reserver.Account) *rejection {
	if i.contentLength > limit {
		return &rejection{status: http.StatusRequestEntityTooLarge}
	}
	var err error
	switch {
	case i.contentLength == 0:
		return nil
	case i.contentLength > 0:
		i.Body = make([]byte, i.contentLength)
		_, err = io.ReadFull(reader, i.Body)
	default:
		i.Body, err = account.ReadAll(httputil.NewChunkedReader(reader), min(limit+1, chunkedBodyReserve), limit)
		if err == nil {
			err = skipTrailer(reader)
		}
	}
	switch {
	case isTimeout(err):
		return &rejection{status: http.StatusRequestTimeout}
	case err == reserver.ErrFull:
		return bodiesFull
	case err == reserver.ErrTooLong:
		return &rejection{status: http.StatusRequestEntityTooLarge}
	case err != nil && i.contentLength < 0 && err != io.ErrUnexpectedEOF && err != io.EOF:
		return &rejection{status: http.StatusBadRequest}
	case err != nil:
		return &rejection{}
	}
	return nil
}

// skipTrailer reads and discards the trailer fields after the last chunk.
func skipTrailer(reader *bufio.Reader) error {
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return nil
		}
	}
}
