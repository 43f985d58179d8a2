package collector

import "strconv"

// Position is the position of a finding in an input. String omits empty parts.
type Position struct {
	File    string
	Line    int // Line is the line number from 1, 0 if unknown.
	Section string
	Key     string
}

// String returns the position as "file:line: section.key".
func (p Position) String() string {
	text := p.File
	if p.Line > 0 {
		text += ":" + strconv.Itoa(p.Line)
	}
	name := p.Section
	if p.Key != "" {
		name += "." + p.Key
	}
	if text != "" && name != "" {
		text += ": "
	}
	return text + name
}
