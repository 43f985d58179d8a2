// Package inireader reads INI files and records the line of each key, so that every
// finding about a file includes its position.
//
// # Usage
//
//	document := inireader.New("hyssopdoor.ini", data, findings)
//	section := document.Section("instance")
//	name := section.Text("name", "")
//	document.ReportUnknown()
package inireader

import (
	"slices"
	"strings"

	"gopkg.in/ini.v1"

	"github.com/hyssopdoor/hyssopdoor/pkg/collector"
)

// Document is an INI file that is being read.
type Document struct {
	file        string
	lineNumbers map[lineKey]int
	sections    []*Section
	findings    *collector.Collector
}

type lineKey struct{ section, key string }

// New parses data. It adds a finding for each line that it can't parse and for duplicates.
func New(file string, data []byte, findings *collector.Collector) *Document {
	document := &Document{file: file, lineNumbers: map[lineKey]int{}, findings: findings}
	document.indexLines(string(data))
	parsed, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:        true,
		IgnoreInlineComment:       true,
		SkipUnrecognizableLines:   true,
		PreserveSurroundedQuote:   true,
		KeyValueDelimiters:        "=",
		UnescapeValueDoubleQuotes: false,
	}, data)
	if err != nil {
		findings.Add(collector.Position{File: file}, "is not an INI file: "+err.Error(), "write sections of lines key = value")
		return document
	}
	for _, section := range parsed.Sections() {
		if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		document.sections = append(document.sections, &Section{document: document, name: section.Name(), values: section.KeysHash(), readKeys: map[string]bool{}})
	}
	return document
}

// indexLines records the line of each section and key. It reports the errors that the
// library ignores: duplicate names and lines that are neither a section nor a key.
func (d *Document) indexLines(text string) {
	section := ini.DefaultSection
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == ';' || line[0] == '#' {
			continue
		}
		if line[0] == '[' && strings.HasSuffix(line, "]") {
			section = strings.TrimSpace(line[1 : len(line)-1])
			d.recordLine(lineKey{section: section}, i+1)
			continue
		}
		name, _, found := strings.Cut(line, "=")
		if !found {
			d.findings.Add(collector.Position{File: d.file, Line: i + 1, Section: section}, "has a line that is no key = value", "write key = value, or begin a comment with ;")
			continue
		}
		d.recordLine(lineKey{section: section, key: strings.TrimSpace(name)}, i+1)
	}
}

func (d *Document) recordLine(name lineKey, line int) {
	if _, ok := d.lineNumbers[name]; ok {
		d.findings.Add(collector.Position{File: d.file, Line: line, Section: name.section, Key: name.key}, "stands twice", "keep one of them")
	}
	d.lineNumbers[name] = line
}

// Position returns the position of a key, or that of its section if the key is absent.
func (d *Document) Position(section, key string) collector.Position {
	line, ok := d.lineNumbers[lineKey{section, key}]
	if !ok {
		line = d.lineNumbers[lineKey{section: section}]
	}
	return collector.Position{File: d.file, Line: line, Section: section, Key: key}
}

// Section returns the section with the name, and reports it if it is missing.
func (d *Document) Section(name string) *Section {
	if section := d.find(name); section != nil {
		section.requested = true
		return section
	}
	d.findings.Add(collector.Position{File: d.file, Section: name}, "is missing", "add a section ["+name+"]")
	return &Section{document: d, name: name, readKeys: map[string]bool{}}
}

// OptionalSection returns the section with the name, or an empty one if it is missing.
func (d *Document) OptionalSection(name string) *Section {
	if section := d.find(name); section != nil {
		section.requested = true
		return section
	}
	return &Section{document: d, name: name, readKeys: map[string]bool{}}
}

// SectionsOfKind returns the sections named "kind NAME", in the order of the file.
func (d *Document) SectionsOfKind(kind string) []*Section {
	var matching []*Section
	for _, section := range d.sections {
		if strings.HasPrefix(section.name, kind+" ") {
			section.requested = true
			matching = append(matching, section)
		}
	}
	return matching
}

// ReportUnknown reports the sections and keys that were not read as unknown. It must be
// called after all reads.
func (d *Document) ReportUnknown() {
	for _, section := range d.sections {
		if !section.requested {
			d.findings.Add(d.Position(section.name, ""), "is an unknown section", "remove it, or correct its name")
			continue
		}
		section.reportUnknown()
	}
}

func (d *Document) find(name string) *Section {
	i := slices.IndexFunc(d.sections, func(s *Section) bool { return s.name == name })
	if i < 0 {
		return nil
	}
	return d.sections[i]
}
