// Package revisiondater dates revisions of the platform's store. Each answer of the store names the
// revision that the whole store had then, so that a later revision is not older than the answer.
//
// # Usage
//
//	dater := revisiondater.New()
//	dater.Confirm(sentAt, storeposition.Position{Era: 1, Revision: 70})
//	notBefore, ok := dater.NotBefore(storeposition.Position{Era: 1, Revision: 72})
package revisiondater

import (
	"cmp"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/storeposition"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// capacity limits the marks. Without the oldest ones, a bound is earlier, or missing.
const capacity = 256

// mark is a time at which the store had no later revision.
type mark struct {
	revision int64
	at       clock.Millis
}

// Dater has the marks of the latest era. It is not safe for concurrent use.
type Dater struct {
	era int64
	// marks are in the order of both the revisions and the times.
	marks []mark
}

// New returns a Dater without marks.
func New() *Dater { return &Dater{} }

// Confirm records that the store had no later position at the time.
func (d *Dater) Confirm(at clock.Millis, position storeposition.Position) {
	if at == 0 || position.Era < d.era {
		return
	}
	if position.Era > d.era {
		d.era, d.marks = position.Era, nil
	}
	if known, ok := d.last(position.Revision); ok && known.at >= at {
		return
	}
	d.marks = slices.DeleteFunc(d.marks, func(m mark) bool { return m.revision >= position.Revision && m.at <= at })
	index, _ := d.search(position.Revision)
	d.marks = slices.Insert(d.marks, index, mark{revision: position.Revision, at: at})
	d.marks = d.marks[max(0, len(d.marks)-capacity):]
}

// NotBefore returns the latest known time at which the store did not have the position yet. It reports
// false if none is known.
func (d *Dater) NotBefore(position storeposition.Position) (clock.Millis, bool) {
	if position.Era != d.era {
		return 0, false
	}
	known, ok := d.last(position.Revision - 1)
	return known.at, ok
}

// last returns the mark with the greatest revision up to the given one.
func (d *Dater) last(revision int64) (mark, bool) {
	index, _ := d.search(revision + 1)
	if index == 0 {
		return mark{}, false
	}
	return d.marks[index-1], true
}

// search returns the index of the first mark from the revision on.
func (d *Dater) search(revision int64) (int, bool) {
	return slices.BinarySearchFunc(d.marks, revision, func(m mark, revision int64) int { return cmp.Compare(m.revision, revision) })
}
