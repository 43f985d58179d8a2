// Package framer marks the end of a stream of bytes, so that its reader can tell an orderly end
// from a connection that was closed before. Each frame is a length of two bytes, in network order,
// and as many bytes; a frame of length 0 is the end.
//
// # Usage
//
//	writer := framer.NewWriter(conn)
//	_, err := writer.Write(data)
//	err = writer.End()
//
//	_, err := io.Copy(target, framer.NewReader(conn))
package framer

import (
	"encoding/binary"
	"io"
	"math"
)

// lengthBytes is the size of a frame's length.
const lengthBytes = 2

// Writer writes frames.
type Writer struct {
	target io.Writer
	buffer []byte
}

// NewWriter returns a Writer to the target.
func NewWriter(target io.Writer) *Writer { return &Writer{target: target} }

// Write writes the data as frames. It returns the error of the target.
func (w *Writer) Write(data []byte) (int, error) {
	written := 0
	for written < len(data) {
		part := data[written:min(len(data), written+math.MaxUint16)]
		if err := w.frame(part); err != nil {
			return written, err
		}
		written += len(part)
	}
	return written, nil
}

// End writes the end of the stream.
func (w *Writer) End() error { return w.frame(nil) }

func (w *Writer) frame(data []byte) error {
	w.buffer = binary.BigEndian.AppendUint16(w.buffer[:0], uint16(len(data)))
	w.buffer = append(w.buffer, data...)
	_, err := w.target.Write(w.buffer)
	return err
}

// Reader reads the bytes in frames.
type Reader struct {
	source io.Reader
	// remaining is the number of bytes left in the current frame.
	remaining int
	ended     bool
}

// NewReader returns a Reader of the source.
func NewReader(source io.Reader) *Reader { return &Reader{source: source} }

// Read reads bytes of one frame. It returns io.EOF after the end of the stream, and
// io.ErrUnexpectedEOF if the source ends before that.
func (r *Reader) Read(buffer []byte) (int, error) {
	if r.remaining == 0 && !r.ended {
		var length [lengthBytes]byte
		if _, err := io.ReadFull(r.source, length[:]); err != nil {
			return 0, unexpected(err)
		}
		r.remaining = int(binary.BigEndian.Uint16(length[:]))
		r.ended = r.remaining == 0
	}
	if r.ended {
		return 0, io.EOF
	}
	n, err := r.source.Read(buffer[:min(len(buffer), r.remaining)])
	r.remaining -= n
	return n, unexpected(err)
}

func unexpected(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
