// Package eratracker decides what a new era of the platform's store invalidates.
//
// The store may come back from a copy that is some seconds old. It has then lost the
// writes since, gives out their revisions again, and names a higher era in its answers.
// What operators and backend servers wrote is written again soon afterwards; what this
// system wrote is not. An instance learns of the era from the store or from another
// instance.
//
// An instance that starts in an era after the first does not know when it began. Until
// another one tells how long ago that was, it may have begun just now.
//
// An era rises by one each time, so that an answer which names a much higher one is either
// wrong or the first after several changes. It is not used until another answer names the
// same era: a single wrong one would make all later answers look outdated.
//
// What holds in a new era:
//
//   - An answer of an earlier era says nothing about the store, also not that a write stands.
//   - A copy of an earlier era stays in use until a complete one of the new era replaces it.
//   - For a time, the desired state in the store may be older than one that was in force;
//     a copy of it is no evidence that no key has been withdrawn since.
//   - For a time, the entry of a server that is in use may be missing in a list.
//   - A lease that was written in an earlier era may be unknown to the store while its
//     holder relies on it.
//
// # Usage
//
//	tracker := eratracker.New()
//	if tracker.See(now, era) == eratracker.Changed { ... }
//	if confirmedAt >= tracker.StateSettledAt() { ... }
package eratracker

import "github.com/hyssopdoor/hyssopdoor/pkg/clock"

const (
	// stateSettling is the time after a change of the era within which the operator's
	// desired state is written again, and entrySettling that for the servers' entries.
	stateSettling = clock.Second
	entrySettling = 2200 * clock.Millisecond
	// invalidLogInterval is the shortest time between two log entries about answers
	// without a valid era.
	invalidLogInterval = 10 * clock.Second
)

// Verdict is what an era that was seen means.
type Verdict int

// The verdicts.
const (
	// Current means that it is the known era, or the first one that is seen.
	Current Verdict = iota + 1
	// Changed means that the store has come back from an older copy.
	Changed
	// Outdated means that the store has since come back from an older copy.
	Outdated
)

// Tracker has the era of the store, as far as one instance knows it. It is not safe for
// concurrent use.
type Tracker struct {
	era int64
	// begun is set once an era was seen, or an answer of the store that named none.
	begun bool
	// changedAt is the earliest known time at which the era had begun; 0 in the first era.
	changedAt clock.Millis
	// doubted is the latest era that was not used because it is too high.
	doubted int64
	// invalidLoggedAt is the time of the latest log entry about an invalid era.
	invalidLoggedAt clock.Millis
}

// firstEra is the era of a store that has never come back from an older copy.
const firstEra = 1

// New returns a Tracker that has seen no era.
func New() *Tracker { return &Tracker{} }

// Era returns the highest era that was seen; 0 for none.
func (t *Tracker) Era() int64 { return t.era }

// Doubts reports whether an answer of the store names an era that is more than one above the
// known one, and that no answer has named before. It must not be used then.
func (t *Tracker) Doubts(era int64) bool {
	if !t.begun || era <= t.era+1 || era == t.doubted {
		return false
	}
	t.doubted = era
	return true
}

// See records an era that the store or another instance has named, and a time at which it
// had begun.
func (t *Tracker) See(begunAt clock.Millis, era int64) Verdict {
	begun := t.begun
	t.begun = true
	switch {
	case era < t.era:
		return Outdated
	case era == t.era:
		t.changedAt = min(t.changedAt, begunAt)
		return Current
	}
	t.era = era
	if !begun && era <= firstEra {
		return Current
	}
	t.changedAt = begunAt
	if !begun {
		return Current
	}
	return Changed
}

// Age returns the time since the era is known to have begun; 0 in the first era.
func (t *Tracker) Age(now clock.Millis) clock.Millis {
	if t.changedAt == 0 {
		return 0
	}
	return now.Since(t.changedAt)
}

// SeeInvalid records an answer of the store without a valid era. It counts as one of the
// known era. It reports whether to log that.
func (t *Tracker) SeeInvalid(now clock.Millis) bool {
	t.begun = true
	if t.invalidLoggedAt != 0 && now.Since(t.invalidLoggedAt) < invalidLogInterval {
		return false
	}
	t.invalidLoggedAt = now
	return true
}

// StateSettledAt returns the time from which a copy of the desired state shows again that
// there is no newer one; 0 in the first era.
func (t *Tracker) StateSettledAt() clock.Millis { return t.settledAt(stateSettling) }

// EntriesSettledAt returns the time until which an entry that is missing in a list may be
// written again; 0 in the first era.
func (t *Tracker) EntriesSettledAt() clock.Millis { return t.settledAt(entrySettling) }

func (t *Tracker) settledAt(settling clock.Millis) clock.Millis {
	if t.changedAt == 0 {
		return 0
	}
	return t.changedAt.Add(settling)
}
