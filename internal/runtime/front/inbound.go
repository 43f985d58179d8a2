package front

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"

	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Inbound is a caller's request.
type Inbound struct {
	Method string
	// Target is the request's path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Gone is closed when the caller closes its connection.
	Gone <-chan struct{}

	length  int64 // length is the body's; -1 for one in chunks.
	expects bool
	last    bool
}

// Path returns the target without its query.
func (i *Inbound) Path() string {
	path, _, _ := strings.Cut(i.Target, "?")
	return path
}

// size returns how many bytes to keep for the body.
func (i *Inbound) size(limit int64) int64 {
	if i.length < 0 {
		return min(limit, chunkedReserve)
	}
	return min(limit, i.length)
}

// chunkedReserve is what is set aside for a body of unknown length, in bytes.
const chunkedReserve = 128 << 10

// refusal is a request that can't be read. Status 0 closes without an answer.
type refusal struct {
	status     int
	retryAfter clock.Millis
}

// readHead reads the head of a request.
func readHead(reader *bufio.Reader, limit int64) (*Inbound, *refusal) {
	head, refused := readLines(reader, limit)
	if refused != nil {
		return nil, refused
	}
	if !wellFormed(head) {
		return nil, &refusal{status: http.StatusBadRequest}
	}
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil || request.ProtoMajor != 1 || request.ProtoMinor != 1 || !strings.HasPrefix(request.RequestURI, "/") || request.Host == "" {
		return nil, &refusal{status: http.StatusBadRequest}
	}
	inbound := &Inbound{
		Method: request.Method, Target: request.RequestURI, Host: request.Host, Header: request.Header,
		length: request.ContentLength, last: request.Close,
		expects: strings.EqualFold(request.Header.Get("Expect"), "100-continue"),
	}
	return inbound, nil
}

// readLines reads the lines of a head, with the empty one at its end.
func readLines(reader *bufio.Reader, limit int64) ([]byte, *refusal) {
	var head []byte
	for {
		line, err := reader.ReadSlice('\n')
		head = append(head, line...)
		if int64(len(head)) > limit {
			return nil, &refusal{status: http.StatusRequestHeaderFieldsTooLarge}
		}
		switch {
		case err == bufio.ErrBufferFull:
			continue
		case isTimeout(err):
			return nil, &refusal{status: http.StatusRequestTimeout}
		case err != nil:
			return nil, &refusal{}
		}
		if bytes.Equal(head, []byte("\r\n")) {
			// An empty line before the first one is allowed.
			head = head[:0]
			continue
		}
		if bytes.HasSuffix(head, []byte("\r\n\r\n")) {
			return head, nil
		}
		if bytes.HasSuffix(head, []byte("\n\n")) {
			return nil, &refusal{status: http.StatusBadRequest}
		}
	}
}

// wellFormed reports whether the head can be read in one way only: no bare line
// feeds, no continued lines, one length, and no length beside chunks.
func wellFormed(head []byte) bool {
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

// readBody reads the whole body.
func (i *Inbound) readBody(reader *bufio.Reader, limit int64) *refusal {
	if i.length > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge}
	}
	var err error
	switch {
	case i.length == 0:
		return nil
	case i.length > 0:
		i.Body = make([]byte, i.length)
		_, err = io.ReadFull(reader, i.Body)
	default:
		i.Body, err = io.ReadAll(io.LimitReader(httputil.NewChunkedReader(reader), limit+1))
		if err == nil {
			err = skipTrailer(reader)
		}
	}
	switch {
	case isTimeout(err):
		return &refusal{status: http.StatusRequestTimeout}
	case err != nil && i.length < 0 && err != io.ErrUnexpectedEOF && err != io.EOF:
		return &refusal{status: http.StatusBadRequest}
	case err != nil:
		return &refusal{}
	case int64(len(i.Body)) > limit:
		return &refusal{status: http.StatusRequestEntityTooLarge}
	}
	return nil
}

// skipTrailer reads the lines after the last chunk.
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
