// Package quarantine records which requests were running when a backend server crashed,
// by the request's fingerprint, to find the requests that crash servers.
//
// After its first crash a request is a suspect. It then runs in isolation: no two suspects
// run on one server at a time. If it crashes a server while it is the only suspect there,
// it is blocked and rejected from then on; if it completes, it is cleared.
//
// # Usage
//
//	suspects := quarantine.New(capacity)
//	suspects.RecordCrash(now, fingerprint, quarantine.Crash{Server: "engine-1", Domain: "split-a", ReporterDomain: "split-b"})
//	suspects.Block(now, fingerprint)
//	switch suspects.State(now, fingerprint) { ... }
package quarantine

import (
	"slices"

	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Times after which records expire.
const (
	suspectTTL = 10 * clock.Minute
	blockTTL   = 24 * clock.Hour
)

// State is the state of a fingerprint.
type State int

// The states.
const (
	Clear State = iota
	Suspect
	Blocked
)

// String returns the state's name. The name of Blocked is "convicted", as in the peer
// protocol and the event requestConvicted.
func (s State) String() string {
	return [...]string{"clear", "suspect", "convicted"}[s]
}

// record is the state of one fingerprint with its crashes.
type record struct {
	state     State
	expiresAt clock.Millis
	crashes   []Crash
}

// Crash is a crash during which a request ran.
type Crash struct {
	Server string
	Domain string // Domain is the server's failure domain.
	// ReporterDomain is the failure domain of the instances that detected the crash.
	ReporterDomain string
	At             clock.Millis
}

// The numbers of different servers that crashed, in one failure domain or in total, from
// which a request is blocked even if other requests were running there as well.
const (
	domainCrashLimit = 2
	totalCrashLimit  = 3
)

// Quarantine has the records of a bounded number of fingerprints. It is not safe for
// concurrent use.
type Quarantine struct {
	records        map[string]record
	insertionOrder []string
	capacity       int
}

// New returns a Quarantine for at most capacity fingerprints; the oldest is evicted first.
func New(capacity int) *Quarantine {
	return &Quarantine{records: map[string]record{}, capacity: capacity}
}

// RecordCrash records that the request ran during the crash. A clear fingerprint becomes
// a suspect; one that reaches a crash limit is blocked. It reports whether the crash is
// new.
func (q *Quarantine) RecordCrash(now clock.Millis, fingerprint string, crash Crash) bool {
	updated := record{state: Suspect, expiresAt: now.Add(suspectTTL)}
	switch q.State(now, fingerprint) {
	case Blocked:
		return false
	case Suspect:
		updated.crashes = q.records[fingerprint].crashes
	}
	same := func(c Crash) bool { return c.Server == crash.Server && c.ReporterDomain == crash.ReporterDomain }
	if slices.ContainsFunc(updated.crashes, same) {
		return false
	}
	crash.At = now
	updated.crashes = append(slices.Clone(updated.crashes), crash)
	q.set(fingerprint, updated)
	if reachesCrashLimit(updated.crashes, crash.Domain) {
		q.Block(now, fingerprint)
	}
	return true
}

// reachesCrashLimit reports whether the number of different servers that crashed has
// reached a limit, in the domain or in total.
func reachesCrashLimit(crashes []Crash, domain string) bool {
	inDomain := map[string]bool{}
	total := map[string]bool{}
	for _, crash := range crashes {
		total[crash.Server] = true
		if crash.Domain == domain {
			inDomain[crash.Server] = true
		}
	}
	return len(inDomain) >= domainCrashLimit || len(total) >= totalCrashLimit
}

// Crashes returns the crashes during which the request ran.
func (q *Quarantine) Crashes(fingerprint string) []Crash {
	return q.records[fingerprint].crashes
}

// Block blocks the fingerprint. It reports whether it was not blocked before.
func (q *Quarantine) Block(now clock.Millis, fingerprint string) bool {
	if q.State(now, fingerprint) == Blocked {
		return false
	}
	q.set(fingerprint, record{state: Blocked, expiresAt: now.Add(blockTTL)})
	return true
}

// ClearSuspect clears the fingerprint if it is a suspect.
func (q *Quarantine) ClearSuspect(fingerprint string) {
	if q.records[fingerprint].state == Suspect {
		q.remove(fingerprint)
	}
}

// Clear clears the fingerprint in any state.
func (q *Quarantine) Clear(fingerprint string) {
	q.remove(fingerprint)
}

// State returns the state of the fingerprint at now.
func (q *Quarantine) State(now clock.Millis, fingerprint string) State {
	found, ok := q.records[fingerprint]
	if !ok || now >= found.expiresAt {
		return Clear
	}
	return found.state
}

// BlockedFingerprints returns the blocked fingerprints, the oldest first.
func (q *Quarantine) BlockedFingerprints(now clock.Millis) []string {
	return slices.DeleteFunc(slices.Clone(q.insertionOrder), func(fingerprint string) bool {
		return q.State(now, fingerprint) != Blocked
	})
}

func (q *Quarantine) set(fingerprint string, updated record) {
	if _, ok := q.records[fingerprint]; !ok {
		for len(q.insertionOrder) >= q.capacity {
			q.remove(q.insertionOrder[0])
		}
		q.insertionOrder = append(q.insertionOrder, fingerprint)
	}
	q.records[fingerprint] = updated
}

func (q *Quarantine) remove(fingerprint string) {
	delete(q.records, fingerprint)
	if i := slices.Index(q.insertionOrder, fingerprint); i >= 0 {
		q.insertionOrder = slices.Delete(q.insertionOrder, i, i+1)
	}
}
