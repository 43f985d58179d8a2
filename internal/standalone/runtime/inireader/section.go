package inireader

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Section is one section of a Document. Reading a key marks it as known.
type Section struct {
	document *Document
	name     string
	values   map[string]string
	used     map[string]bool
	known    bool
}

// Name returns the name of a section "kind NAME" without its kind.
func (s *Section) Name() string {
	_, name, _ := strings.Cut(s.name, " ")
	return strings.TrimSpace(name)
}

// Text returns the value of key, or fallback when it is absent.
func (s *Section) Text(key, fallback string) string {
	s.used[key] = true
	if value, ok := s.values[key]; ok {
		return value
	}
	return fallback
}

// Required returns the value of key and reports an absent or empty one.
func (s *Section) Required(key, cure string) string {
	value := s.Text(key, "")
	if value == "" {
		s.report(key, "is missing", cure)
	}
	return value
}

// List returns the parts of a value that commas separate, without empty ones.
func (s *Section) List(key string) []string {
	var parts []string
	for _, part := range strings.Split(s.Text(key, ""), ",") {
		if part = strings.TrimSpace(part); part != "" {
			parts = append(parts, part)
		}
	}
	return parts
}

// Int returns the whole number at key, or fallback when it is absent.
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

// Positive returns the number of 1 or more at key, or fallback when it is absent or
// reported.
func (s *Section) Positive(key string, fallback int64) int64 {
	value := s.Int(key, fallback)
	if value <= 0 {
		s.report(key, "is not a positive number", "give a number of 1 or more")
		return fallback
	}
	return value
}

// Span returns the time at key, or fallback when it is absent.
func (s *Section) Span(key string, fallback clock.Millis) clock.Millis {
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

// Bool returns the yes or no at key, or fallback when it is absent.
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

// Report adds a finding about key.
func (s *Section) Report(key, what, cure string) {
	s.report(key, what, cure)
}

func (s *Section) report(key, what, cure string) {
	s.document.findings.Add(s.document.Place(s.name, key), what, cure)
}

func (s *Section) reportUnknown() {
	for _, key := range slices.Sorted(maps.Keys(s.values)) {
		if !s.used[key] {
			s.report(key, "is an unknown key", "remove it, or correct its name")
		}
	}
}
