// Package streamchecker verifies that what a server sends as a stream of events is one, and that it
// continues what the caller has: a stream that broke off may go on at another server, which may
// answer with an error's text, with another response's head, or with the stream from its beginning.
//
// The events of a stream have increasing identifiers. Events without any are accepted where they
// can't be another server's answer: from the server that began the stream, or after an event that
// is in order. Identifiers may skip values, as one event may stand for several.
//
// # Usage
//
//	checker := streamchecker.New(lastEventID)
//	checker, err := checker.Check(event)
//	err = checker.CheckEnd(framed, contentType, unproven)
package streamchecker

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// ErrUnproven means that a response has ended in a way that does not show that the stream is
// complete.
var ErrUnproven = errors.New("the response ended without an event")

// Reason is the error of a response that is not the stream, or does not continue it.
type Reason string

// The reasons for which a response is refused.
const (
	ErrNotAnEvent Reason = "the server sent text that is not an event"
	ErrFailed     Reason = "the server sent an error as an event"
	ErrUnplaced   Reason = "the continuation begins with an event without identifier"
	ErrOutOfOrder Reason = "the identifier of an event does not follow the one before it"
)

// Error describes the reason.
func (r Reason) Error() string { return string(r) }

// byteOrderMark may begin a stream.
const byteOrderMark = "\ufeff"

// Checker checks the events of one attempt. It is immutable.
type Checker struct {
	// lastID is the identifier of the last event; empty for none. placed reports whether the next
	// event without identifier belongs to the stream.
	lastID string
	placed bool
	// continues reports whether the stream began at another attempt, and began whether this one has
	// had an event.
	continues bool
	began     bool
	// unplaced reports whether the last event had no identifier.
	unplaced bool
}

// New returns the Checker of a stream that continues after the event with the identifier; empty for
// a stream from its beginning.
func New(lastID string) Checker {
	return Checker{lastID: lastID, placed: lastID == "", continues: lastID != ""}
}

// Check checks the next event, which ends with an empty line and may have comments before it. It
// returns the Checker of the events after it. The error is a Reason.
func (c Checker) Check(event []byte) (Checker, error) {
	fields, ok := parse(event)
	switch {
	case !ok:
		return c, ErrNotAnEvent
	case fields.id == "" && fields.isError():
		return c, ErrFailed
	case fields.id == "" && !fields.hasData:
		// Clients ignore it.
		return c, nil
	case fields.id == "" && !c.placed:
		return c, ErrUnplaced
	case fields.id == "":
		c.began, c.unplaced = true, true
		return c, nil
	case !follows(c.lastID, fields.id):
		return c, ErrOutOfOrder
	}
	c.lastID, c.placed, c.began, c.unplaced = fields.id, true, true, false
	return c, nil
}

// Began reports whether the attempt has had an event that clients don't ignore.
func (c Checker) Began() bool { return c.began }

// LastID returns the identifier of the last event; empty for none.
func (c Checker) LastID() string { return c.lastID }

// Unplaced reports whether the last event had no identifier: no other server can continue after it.
func (c Checker) Unplaced() bool { return c.unplaced }

// CheckEnd checks the end of the response, which is framed if it has a length or chunks. The end of
// one that is not looks like a crash of the server, unless events came before it. Nothing may be
// left of a stream that is continued: a stream without events says so, or a second server with an
// end like that of the first; unproven is the number of those before.
func (c Checker) CheckEnd(framed bool, contentType string, unproven int) error {
	mediaType, _, _ := strings.Cut(contentType, ";")
	isStream := contentType == "" || strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream")
	switch {
	case c.began, framed && (isStream || !c.continues), c.continues && isStream && unproven > 0:
		return nil
	}
	return ErrUnproven
}

// follows reports whether an event may come after the one with the identifier last.
func follows(last, id string) bool {
	before, err := strconv.ParseUint(last, 10, 64)
	number, idErr := strconv.ParseUint(id, 10, 64)
	if err != nil || idErr != nil {
		return id != last
	}
	return number > before
}

// fields are those of an event.
type fields struct {
	id        string
	eventType string
	data      string
	hasData   bool
}

// parse parses an event. It reports false if a line is no field, or all names are unknown.
func parse(event []byte) (fields, bool) {
	var parsed fields
	known := false
	for line := range strings.SplitSeq(strings.TrimPrefix(string(event), byteOrderMark), "\n") {
		line = strings.TrimSuffix(line, "\r")
		if len(line) == 0 || line[0] == ':' {
			continue
		}
		name, value, hasValue := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch name {
		case "id":
			parsed.id = strings.TrimSpace(value)
		case "event":
			parsed.eventType = value
		case "data":
			parsed.data, parsed.hasData = parsed.data+value, true
		case "retry":
		default:
			if !hasValue || !isName(name) {
				return fields{}, false
			}
			continue
		}
		known = true
	}
	return parsed, known
}

// isName reports whether the text may be the name of a field that is not known here. Names of
// header fields and words of a text have capitals or spaces.
func isName(name string) bool {
	for _, char := range name {
		if char != '-' && (char < '0' || char > '9') && (char < 'a' || char > 'z') {
			return false
		}
	}
	return len(name) > 0
}

// isError reports whether the event says that the server has failed.
func (f fields) isError() bool {
	if f.eventType == "error" {
		return true
	}
	var object struct {
		Error json.RawMessage `json:"error"`
	}
	return json.Unmarshal([]byte(f.data), &object) == nil && len(object.Error) > 0 && string(object.Error) != "null"
}
