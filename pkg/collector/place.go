package collector

import "strconv"

// Place is where a finding was made. Empty parts are left out of its text.
type Place struct {
	File    string
	Line    int // Line counts from 1; 0 means unknown.
	Section string
	Key     string
}

// String returns the place as "file:line: section.key".
func (p Place) String() string {
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
