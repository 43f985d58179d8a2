// Package blamer remembers which requests were running when a backend server
// crashed, by the request's fingerprint.
//
// After a first crash a request is a suspect; it then runs alone, never beside
// another suspect. One that crashes a server while it is the only suspect there
// is convicted and refused from then on; one that ends well is cleared.
//
// # Usage
//
//	blame := blamer.New(limit)
//	blame.Suspect(now, fingerprint, blamer.Crash{Server: "engine-1", Domain: "split-a", Reporter: "split-b"})
//	blame.Convict(now, fingerprint)
//	switch blame.State(now, fingerprint) { ... }
package blamer

import (
	"slices"

	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Times after which blame is forgotten.
const (
	suspectFor = 10 * clock.Minute
	convictFor = 24 * clock.Hour
)

// State is what is held against a fingerprint.
type State int

// The states.
const (
	Clear State = iota
	Suspect
	Blocked
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"clear", "suspect", "convicted"}[s]
}

// entry is what is held against one fingerprint.
type entry struct {
	state   State
	until   clock.Millis
	crashes []Crash
}

// Crash is a crash during which a request ran.
type Crash struct {
	Server string
	Domain string // Domain is the server's failure domain.
	// ReporterDomain is the failure domain whose instances saw the crash.
	ReporterDomain string
	At             clock.Millis
}

// Crashes of different servers after which a request is convicted though it ran
// beside others.
const (
	crashesInDomain = 2
	crashesInAll    = 3
)

// Quarantine is a bounded memory of blame. It is not safe for concurrent use.
type Quarantine struct {
	entries map[string]entry
	order   []string
	limit   int
}

// New returns a Blamer for at most the given number of fingerprints; the oldest
// is forgotten first.
func New(limit int) *Quarantine {
	return &Quarantine{entries: map[string]entry{}, limit: limit}
}

// RecordCrash notes that the request ran during the crash. A clear fingerprint
// becomes a suspect, one with too many crashes is convicted. It reports whether
// the crash is new.
func (b *Quarantine) RecordCrash(now clock.Millis, fingerprint string, crash Crash) bool {
	held := entry{state: Suspect, until: now.Add(suspectFor)}
	switch b.State(now, fingerprint) {
	case Blocked:
		return false
	case Suspect:
		held.crashes = b.entries[fingerprint].crashes
	}
	same := func(c Crash) bool { return c.Server == crash.Server && c.ReporterDomain == crash.ReporterDomain }
	if slices.ContainsFunc(held.crashes, same) {
		return false
	}
	crash.At = now
	held.crashes = append(slices.Clone(held.crashes), crash)
	b.set(fingerprint, held)
	if tooMany(held.crashes, crash.Domain) {
		b.Block(now, fingerprint)
	}
	return true
}

// tooMany reports whether too many different servers crashed, of the domain or
// in all.
func tooMany(crashes []Crash, domain string) bool {
	near := map[string]bool{}
	all := map[string]bool{}
	for _, crash := range crashes {
		all[crash.Server] = true
		if crash.Domain == domain {
			near[crash.Server] = true
		}
	}
	return len(near) >= crashesInDomain || len(all) >= crashesInAll
}

// Crashes returns the crashes during which the request ran.
func (b *Quarantine) Crashes(fingerprint string) []Crash {
	return b.entries[fingerprint].crashes
}

// Block makes the fingerprint refused from now on. It reports whether that is
// new.
func (b *Quarantine) Block(now clock.Millis, fingerprint string) bool {
	if b.State(now, fingerprint) == Blocked {
		return false
	}
	b.set(fingerprint, entry{state: Blocked, until: now.Add(convictFor)})
	return true
}

// ClearSuspect clears a suspect.
func (b *Quarantine) ClearSuspect(fingerprint string) {
	if b.entries[fingerprint].state == Suspect {
		b.forget(fingerprint)
	}
}

// Pardon clears whatever is held against the fingerprint.
func (b *Quarantine) Pardon(fingerprint string) {
	b.forget(fingerprint)
}

// State returns what is held against the fingerprint at now.
func (b *Quarantine) State(now clock.Millis, fingerprint string) State {
	known, ok := b.entries[fingerprint]
	if !ok || now >= known.until {
		return Clear
	}
	return known.state
}

// Convicts returns the convicted fingerprints, the oldest first.
func (b *Quarantine) Convicts(now clock.Millis) []string {
	return slices.DeleteFunc(slices.Clone(b.order), func(fingerprint string) bool {
		return b.State(now, fingerprint) != Blocked
	})
}

func (b *Quarantine) set(fingerprint string, held entry) {
	if _, ok := b.entries[fingerprint]; !ok {
		for len(b.order) >= b.limit {
			b.forget(b.order[0])
		}
		b.order = append(b.order, fingerprint)
	}
	b.entries[fingerprint] = held
}

func (b *Quarantine) forget(fingerprint string) {
	delete(b.entries, fingerprint)
	if i := slices.Index(b.order, fingerprint); i >= 0 {
		b.order = slices.Delete(b.order, i, i+1)
	}
}
