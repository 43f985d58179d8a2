package edge

import (
	"bufio"
	"bytes"
	"io"

	"github.com/go-faster/errors"

	"github.com/hyssopdoor/hyssopdoor/internal/runtime/reserver"
)

const (
	// maxEventBytes limits one event of a stream. eventBufferBytes is the size of the read
	// buffer; a typical event fits.
	maxEventBytes    = 1 << 20
	eventBufferBytes = 2 << 10
	// smallEventBytes is the part of each event that needs no reservation, and eventStepBytes the
	// memory that is reserved at a time.
	smallEventBytes = 4 << 10
	eventStepBytes  = 32 << 10
	// eventCopies is the number of copies of an event: a buffer that grows is copied.
	eventCopies = 2
)

// eventReader reads the events of a stream.
type eventReader struct {
	reader *bufio.Reader
	// account holds the memory for the events that have not been forwarded, beyond the other bytes
	// that the exchange keeps.
	account *reserver.Account
	other   int64
	// kept is the length of the events before the next one that are kept with it.
	kept int
}

// newEventReader returns the reader of a stream's body. What the account holds stays reserved.
func newEventReader(body io.Reader, account *reserver.Account) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(body, eventBufferBytes), account: account, other: account.Held()}
}

// release releases the memory of the events that were read.
func (r *eventReader) release() {
	r.kept = 0
	r.account.Shrink(r.other)
}

// reserve reserves the memory for an incomplete event.
func (r *eventReader) reserve(length int) error {
	length += r.kept
	if length > maxEventBytes {
		return errors.Wrapf(reserver.ErrTooLong, "an event of %d bytes", length)
	}
	if length <= smallEventBytes {
		return nil
	}
	missing := r.other + eventCopies*int64(length) - r.account.Held()
	if missing > 0 && !r.account.Grow((missing+eventStepBytes-1)/eventStepBytes*eventStepBytes) {
		return errors.Wrapf(reserver.ErrFull, "an event of %d bytes", length)
	}
	return nil
}

// next reads one event including the empty line that ends it, and the comments and empty lines
// before it: these are no events, and a server that sends only them is silent. At the end of the
// stream it returns io.EOF, together with the bytes of an incomplete event if there are any.
func (r *eventReader) next() ([]byte, error) {
	var event []byte
	hasField, lineStart := false, 0
	for {
		line, err := r.reader.ReadSlice('\n')
		if err := r.reserve(len(event) + len(line)); err != nil {
			return event, err
		}
		event = append(event, line...)
		switch {
		case err == bufio.ErrBufferFull:
		case err == io.EOF && !hasField && isComment(event[lineStart:]):
			return nil, err
		case err != nil:
			return event, err
		case len(bytes.TrimRight(event[lineStart:], "\r\n")) == 0:
			if hasField {
				return event, nil
			}
			lineStart = len(event)
		default:
			hasField = hasField || !isComment(event[lineStart:])
			lineStart = len(event)
		}
	}
}

// isComment reports whether the line, which may be incomplete, is a comment or empty.
func isComment(line []byte) bool {
	text := bytes.TrimRight(line, "\r\n")
	return len(text) == 0 || text[0] == ':'
}
