package edge

import (
	"bytes"
	"io"
	"sync/atomic"

	"github.com/go-faster/errors"
)

const (
	// maxResponseBytes limits the body of a response that is buffered.
	maxResponseBytes = 8 << 20
	// smallResponseBytes is the part of each body that needs no reservation.
	smallResponseBytes = 64 << 10
	// responseStepBytes is the number of bytes for which memory is reserved at a time.
	responseStepBytes = 256 << 10
	// bufferCopies is the number of copies of a body: its chunks, and the joined body at the end.
	bufferCopies = 2
	// responseMemoryDivisor limits the bodies of all buffered responses to 1/5 of the process's
	// memory.
	responseMemoryDivisor = 5
)

// responseMemory limits the memory of all long responses that are buffered at a time.
type responseMemory struct {
	limit    int64 // limit is in bytes.
	reserved atomic.Int64
}

func (m *responseMemory) reserve(bytes int64) bool {
	if m.reserved.Add(bytes) <= m.limit {
		return true
	}
	m.release(bytes)
	return false
}

func (m *responseMemory) release(bytes int64) { m.reserved.Add(-bytes) }

// errBodyTooLong means that a response is too long to be buffered.
var errBodyTooLong = errors.Errorf("the response body is longer than %d bytes, or too long for the memory that is left", maxResponseBytes)

// read reads a body to its end. It returns the memory that was reserved for it, in bytes, which
// the caller must release if there is no error.
func (m *responseMemory) read(body io.Reader) (content []byte, reserved int64, err error) {
	var first bytes.Buffer
	_, err = io.CopyN(&first, body, smallResponseBytes)
	// Chunks are not copied while the body grows: the garbage of one growing buffer for each of
	// many long bodies was several times their contents.
	chunks, length := [][]byte{first.Bytes()}, first.Len()
	for err == nil {
		if length > maxResponseBytes || !m.reserve(bufferCopies*responseStepBytes) {
			m.release(reserved)
			return nil, 0, errBodyTooLong
		}
		reserved += bufferCopies * responseStepBytes
		chunk := bytes.NewBuffer(make([]byte, 0, responseStepBytes+bytes.MinRead))
		_, err = io.CopyN(chunk, body, responseStepBytes)
		chunks, length = append(chunks, chunk.Bytes()), length+chunk.Len()
	}
	if err != io.EOF {
		m.release(reserved)
		return nil, 0, err
	}
	if len(chunks) == 1 {
		return first.Bytes(), reserved, nil
	}
	return bytes.Join(chunks, nil), reserved, nil
}
