// Package storeposition defines positions in the history of the platform's store. The
// store may come back from an older copy: its revisions go back then and are given out
// again, and its era rises by one. So a revision says nothing without its era.
//
// # Usage
//
//	held := storeposition.Position{Era: 1, Revision: 70}
//	offered := storeposition.Position{Era: 2, Revision: 40}
//	if offered.After(held) { ... }
package storeposition

import "cmp"

// Position is a revision of the store in an era. The era is 0 if the store has named none.
type Position struct {
	Era      int64
	Revision int64
}

// Compare returns -1, 0 or 1 if the position is before, equal to or after the other one.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// After reports whether the position is after the other one.
func (p Position) After(other Position) bool { return p.Compare(other) > 0 }

// Before reports whether the position is before the other one.
func (p Position) Before(other Position) bool { return p.Compare(other) < 0 }

// fenceBits is the number of bits of a fence for the revision within an era.
const fenceBits = 40

// MaxRevision is the greatest revision within an era.
const MaxRevision = 1<<fenceBits - 1

// Fence returns a number that is in the order of the positions, for those who compare
// numbers only. In the first era it is the revision.
func (p Position) Fence() int64 { return max(0, p.Era-1)<<fenceBits + p.Revision }
