// Package relayer repeats short notices in several digests, because datagrams get lost, and
// passes on the notices of neighbors once.
//
// # Usage
//
//	notices := relayer.New[string](600*clock.Millisecond, 2*clock.Second, 128)
//	isNew := notices.Add(now, "engine-1", relayer.Own)
//	for _, notice := range notices.Recent(now, relayer.Below) { ... }
package relayer

import (
	"slices"

	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Origin is the direction from which a notice came.
type Origin int

// The origins: this instance itself, an instance below it, or any other.
const (
	Own Origin = iota
	Below
	Elsewhere
)

// Relayer has the notices of one kind. It is not safe for concurrent use.
type Relayer[N comparable] struct {
	repeatFor clock.Millis
	remember  clock.Millis
	limit     int
	entries   []entry[N]
	known     map[N]struct{}
}

type entry[N comparable] struct {
	notice  N
	addedAt clock.Millis
	origin  Origin
}

// New returns a Relayer that repeats a notice for the time repeatFor, and ignores it if it
// is added again within the time remember. It keeps at most limit notices; the oldest are
// dropped first.
func New[N comparable](repeatFor, remember clock.Millis, limit int) *Relayer[N] {
	return &Relayer[N]{repeatFor: repeatFor, remember: remember, limit: limit, known: map[N]struct{}{}}
}

// Add adds a notice. It reports false for one that is known already.
func (r *Relayer[N]) Add(now clock.Millis, notice N, origin Origin) bool {
	r.dropOld(now)
	if _, ok := r.known[notice]; ok {
		return false
	}
	if len(r.entries) >= r.limit {
		delete(r.known, r.entries[0].notice)
		r.entries = slices.Delete(r.entries, 0, 1)
	}
	r.known[notice] = struct{}{}
	r.entries = append(r.entries, entry[N]{notice: notice, addedAt: now, origin: origin})
	return true
}

// Recent returns the notices to send now, the oldest first, of the origins up to the given
// one: Below leaves out those from elsewhere.
func (r *Relayer[N]) Recent(now clock.Millis, upTo Origin) []N {
	var recent []N
	for _, entry := range r.entries {
		if entry.origin <= upTo && now.Since(entry.addedAt) <= r.repeatFor {
			recent = append(recent, entry.notice)
		}
	}
	return recent
}

func (r *Relayer[N]) dropOld(now clock.Millis) {
	old := 0
	for old < len(r.entries) && now.Since(r.entries[old].addedAt) > r.remember {
		delete(r.known, r.entries[old].notice)
		old++
	}
	r.entries = slices.Delete(r.entries, 0, old)
}
