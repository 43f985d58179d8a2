// Package outbox remembers what an instance has recently sent to its neighbors. A neighbor
// returns sums that contain the sender's own share, together with the number of the digest
// from which it took that share (the echo). The outbox gives the share to subtract, and the
// time at which it was sent.
//
// # Usage
//
//	sent := outbox.New(incarnation)
//	sequence := sent.Add(outbox.Sums{SentAt: now, Members: 3})
//	sums, ok := sent.Find(now, echo)
package outbox

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/digest"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/scheduler"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// capacity is the number of digests remembered: more than are sent within maxAge.
	capacity = 64
	// maxAge is the age from which an echo is too old: the digest that contains it was
	// delayed, or this instance was suspended, and its contents are out of date.
	maxAge = 1200 * clock.Millisecond
)

// Sums are the sums over an instance and those below it, as they were sent.
type Sums struct {
	SentAt  clock.Millis
	Members int
	// Admitted is the number of admitted tokens by team.
	Admitted map[string]int64
	// Loads is keyed by server.
	Loads map[string]scheduler.Load
	// Exposures is keyed by the order.
	Exposures map[uint32]digest.ExposureSums
}

// Outbox has the latest sums. It is not safe for concurrent use.
type Outbox struct {
	incarnation uint32
	sequence    uint64
	sums        [capacity]Sums
}

// New returns an Outbox for the incarnation of the instance.
func New(incarnation uint32) *Outbox { return &Outbox{incarnation: incarnation} }

// Add records the sums of the next digest and returns its sequence number.
func (o *Outbox) Add(sums Sums) uint64 {
	o.sequence++
	o.sums[o.sequence%capacity] = sums
	return o.sequence
}

// Sequence returns the sequence number of the latest digest; 0 if there is none.
func (o *Outbox) Sequence() uint64 { return o.sequence }

// Find returns the sums that were sent in the digest of the echo. It reports false for a
// digest that this incarnation has not sent, or that was sent too long ago.
func (o *Outbox) Find(now clock.Millis, echo digest.Echo) (Sums, bool) {
	if echo.Incarnation != o.incarnation || echo.Sequence == 0 || echo.Sequence > o.sequence || o.sequence-echo.Sequence >= capacity {
		return Sums{}, false
	}
	sums := o.sums[echo.Sequence%capacity]
	return sums, now.Since(sums.SentAt) <= maxAge
}
