package config

import (
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
	"github.com/hyssopdoor/hyssopdoor/pkg/collector"
)

// Class is a class of requests with its latency targets.
type Class struct {
	Name string `json:"name"`
	// FirstTokenTarget is the target for the time to the first token.
	FirstTokenTarget clock.Millis `json:"firstToken"`
	// InterTokenTarget is the target for the time between two tokens.
	InterTokenTarget clock.Millis `json:"betweenTokens"`
}

// Default targets of a Class.
const (
	defaultFirstTokenTarget = 1600 * clock.Millisecond
	defaultInterTokenTarget = 25 * clock.Millisecond
)

// ClassDefaults returns a Class with the default targets.
func ClassDefaults(name string) Class {
	return Class{Name: name, FirstTokenTarget: defaultFirstTokenTarget, InterTokenTarget: defaultInterTokenTarget}
}

func (c Class) validate(locate Locator, findings *collector.Collector) {
	section := "class " + c.Name
	validateName(c.Name, locate(section, ""), findings)
	if c.FirstTokenTarget <= 0 {
		findings.Add(locate(section, "firstToken"), "is not a positive time", "give a time such as 1600ms")
	}
	if c.InterTokenTarget <= 0 {
		findings.Add(locate(section, "betweenTokens"), "is not a positive time", "give a time such as 25ms")
	}
}
