package partquarantine

import "github.com/hyssopdoor/hyssopdoor/pkg/clock"

const (
	// survivorDelay is the time from the conviction of a part that had survived before until
	// it may run again, and strangerDelay the same for other parts. confirmedDelay is the
	// time from the latest crash of a part that has crashed an engine after its conviction.
	survivorDelay  = 1500 * clock.Millisecond
	strangerDelay  = 30 * clock.Second
	confirmedDelay = 10 * clock.Minute
	// rankDelay is the time from one instance to the next: in it, a request ends and its
	// outcome reaches all instances.
	rankDelay = clock.Second
	// confirmationTime is the time for which an instance waits for the outcome.
	confirmationTime = 3 * clock.Second
)

// ConfirmationDue reports whether a request whose only suspicious part is the given one may
// run to find out whether the conviction is right. rank returns the rank of this instance for
// the part, from 0; it is called only if it matters.
func (q *Quarantine) ConfirmationDue(now clock.Millis, part uint64, rank func() int) bool {
	found := q.records[part]
	delay := strangerDelay
	switch _, survivor := q.survived.at(part); {
	case found.confirmed():
		delay = confirmedDelay
	case survivor:
		delay = survivorDelay
	}
	elapsed := now.Since(found.raisedAt)
	if elapsed < delay || (found.confirms != 0 && now.Since(found.confirms) < confirmationTime) {
		return false
	}
	return elapsed >= delay+clock.Millis(rank())*rankDelay
}

// BeginConfirmation records that a request with the convicted part is sent.
func (q *Quarantine) BeginConfirmation(now clock.Millis, part uint64) {
	found := q.records[part]
	found.confirms = now
	q.records[part] = found
}
