package inireader

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Section is one section of a Document. It records which keys are read, so that the
// others can be reported as unknown.
type Section struct {
	document  *Document
	name      string
	values    map[string]string
	readKeys  map[string]bool
	requested bool
}

// Name returns the name of a section "kind NAME" without its kind.
func (s *Section) Name() string {
	_, name, _ := strings.Cut(s.name, " ")
	return strings.TrimSpace(name)
}

// Text returns the value of key, or fallback if it is absent.
func (s *Section) Text(key, fallback string) string {
	s.readKeys[key] = true
	if value, ok := s.values[key]; ok {
		return value
	}
	return fallback
}

// Required returns the value of key, and reports it if it is absent or empty.
func (s *Section) Required(key, fix string) string {
	value := s.Text(key, "")
	if value == "" {
		s.report(key, "is missing", fix)
	}
	return value
}

// List returns the non-empty elements of a comma-separated value.
func (s *Section) List(key string) []string {
	var elements []string
	for _, element := range strings.Split(s.Text(key, ""), ",") {
		if element = strings.TrimSpace(element); element != "" {
			elements = append(elements, element)
		}
	}
	return elements
}

// Int returns the integer value of key, or fallback if it is absent or invalid.
func (s *Section) Int(key string, fallback int64) int64 {
	text := s.Text(key, "")
	if text == "" {
		return fallback
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		s.report(key, "is not a whole number: "+strconv.Quote(text), "write digits only")
		return fallback
	}
	return value
}

// PositiveInt returns the positive integer value of key, or fallback if it is absent or
// invalid.
func (s *Section) PositiveInt(key string, fallback int64) int64 {
	value := s.Int(key, fallback)
	if value <= 0 {
		s.report(key, "is not a positive number", "give a number of 1 or more")
		return fallback
	}
	return value
}

// Duration returns the duration value of key, or fallback if it is absent or invalid.
func (s *Section) Duration(key string, fallback clock.Millis) clock.Millis {
	text := s.Text(key, "")
	if text == "" {
		return fallback
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		s.report(key, "is not a time: "+strconv.Quote(text), "write a number with its unit, such as 250ms or 2s")
		return fallback
	}
	return clock.FromDuration(value)
}

// Bool returns whether the value of key is yes, or fallback if it is absent or neither yes
// nor no.
func (s *Section) Bool(key string, fallback bool) bool {
	switch text := s.Text(key, ""); text {
	case "":
		return fallback
	case "yes":
		return true
	case "no":
		return false
	default:
		s.report(key, "is neither yes nor no: "+strconv.Quote(text), "write yes or no")
		return fallback
	}
}

// Report adds a finding about key: the problem and its fix.
func (s *Section) Report(key, problem, fix string) {
	s.report(key, problem, fix)
}

func (s *Section) report(key, problem, fix string) {
	s.document.findings.Add(s.document.Position(s.name, key), problem, fix)
}

func (s *Section) reportUnknown() {
	for _, key := range slices.Sorted(maps.Keys(s.values)) {
		if !s.readKeys[key] {
			s.report(key, "is an unknown key", "remove it, or correct its name")
		}
	}
}
