// Package depthcutter removes what is nested too deeply from JSON, so that a decoder which limits
// the depth can read the rest of it.
//
// # Usage
//
//	var list []depthcutter.Item[server]
//	err := json.Unmarshal(depthcutter.Cut(text, depthcutter.MaxDepth), &list)
package depthcutter

import (
	"encoding/json"
	"strings"

	"github.com/go-faster/errors"
)

const (
	// MaxDepth is the depth up to which encoding/json decodes.
	MaxDepth = 10_000
	// Mark stands for each value that was removed. It is a number that fits no type.
	Mark = "1e777777777777"
)

// Cut returns the text with each array and object that is nested deeper than maxDepth replaced by
// Mark, and the text itself if there is none. What it returns is invalid if the text is, except for
// what was removed.
func Cut(text []byte, maxDepth int) []byte {
	var cut []byte
	depth, kept, inString := 0, 0, false
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '[' || c == '{':
			if depth == maxDepth {
				cut = append(append(cut, text[kept:i]...), Mark...)
				kept = len(text) // kept stays there if the value has no end.
			}
			depth++
		case c == ']' || c == '}':
			if depth == maxDepth+1 {
				kept = i + 1
			}
			depth--
		}
	}
	if cut == nil {
		return text
	}
	return append(cut, text[kept:]...)
}

// Item is an element of a list that is decoded by itself.
type Item[T any] struct {
	// Value is as much of the element as can be read.
	Value T
	// Err says why the element can't be read; nil if it can.
	Err error
}

// UnmarshalJSON decodes the element. It returns no error.
func (i *Item[T]) UnmarshalJSON(text []byte) error {
	i.Err = json.Unmarshal(text, &i.Value)
	if strings.Contains(string(text), Mark) {
		i.Err = errTooDeep
	}
	return nil
}

var errTooDeep = errors.New("it is nested too deeply")
