// Package eventlog defines the numbered events that instances log. docs/EVENTS.md is
// their catalogue; a test keeps the two in sync.
//
// # Usage
//
//	entry := eventlog.New(eventlog.RouteChosen, request).With("server", "engine-1")
package eventlog

import (
	"fmt"
	"strings"
)

// Entry is one logged event. Values are immutable and never contain prompt text or
// keys.
type Entry struct {
	Number Number
	// Request is the request's identifier; empty if the event concerns none.
	Request string
	Fields  []Field
}

// Field is a named value of an Entry.
type Field struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// New returns an Entry about the request, which may be empty.
func New(number Number, request string) Entry {
	return Entry{Number: number, Request: request}
}

// With returns the entry with one more field.
func (e Entry) With(name string, value any) Entry {
	fields := make([]Field, len(e.Fields), len(e.Fields)+1)
	copy(fields, e.Fields)
	e.Fields = append(fields, Field{Name: name, Value: fmt.Sprint(value)})
	return e
}

// String returns the entry as one line.
func (e Entry) String() string {
	text := &strings.Builder{}
	fmt.Fprintf(text, "%d %s", e.Number, e.Number)
	if e.Request != "" {
		fmt.Fprintf(text, " request=%s", e.Request)
	}
	for _, field := range e.Fields {
		fmt.Fprintf(text, " %s=%s", field.Name, field.Value)
	}
	return text.String()
}
