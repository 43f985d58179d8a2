package rollout

import (
	"encoding/json"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/storeposition"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Durations of the lease.
const (
	// leaseDuration is the time for which a holder may send orders, from the sending of
	// its last successful update. It is short because a successor waits for the lease
	// to expire, and long enough for several attempts at a slow store.
	leaseDuration = 900 * clock.Millisecond
	// renewInterval is the time between the updates of a holder that has work.
	renewInterval = 400 * clock.Millisecond
	// relayDelay is the response time of the store after which a peer is requested to
	// write the same update. It covers several usual response times and leaves time to
	// renew the lease before it expires.
	relayDelay = 150 * clock.Millisecond
	// takeoverMargin covers an order that is in transit when the lease expires.
	takeoverMargin = 200 * clock.Millisecond
	// readInterval is the time between reads while the lease is unknown.
	readInterval = 500 * clock.Millisecond
	// writeRetryDelay is the time from a failed update to the next.
	writeRetryDelay = 150 * clock.Millisecond
)

// firstEra is the era of a store that has never come back from an older copy.
const firstEra = 1

// LeaseName is the name of the lease's object in the store.
const LeaseName = "leases/weights"

// Record is the value of the lease in the store.
type Record struct {
	// Holder is the instance's name and address. Two processes never run at one
	// address, so a holder that restarts need not wait for its own lease.
	Holder string `json:"holder"`
	// Writes counts the updates, so that each changes the object's revision.
	Writes int64 `json:"writes"`
}

// Encode returns the record as it is stored.
func (r Record) Encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic("rollout.Record.Encode: " + err.Error())
	}
	return value
}

// DecodeRecord decodes a record. It returns an unknown holder for an invalid record,
// so that the lease can be acquired only after it expired.
func DecodeRecord(value []byte) Record {
	var record Record
	if json.Unmarshal(value, &record) != nil {
		return Record{Holder: "unreadable"}
	}
	return record
}

// Observation is an observed state of the lease's object. The revision holds in the Era of
// the store.
type Observation struct {
	Era      int64
	Revision int64
	Holder   string
	Writes   int64
}

// Update is an update of the lease on condition of its revision in the Era of the store.
// The zero Update means no update.
type Update struct {
	Record     Record
	Era        int64
	IfRevision int64
}

// lease is the instance's view of the lease. Only a conditional update of the object
// changes the holder. The holder counts the duration from before it sent the update.
// Another instance counts from its first observation of the revision, and waits for
// leaseDuration, minHandover and takeoverMargin together.
type lease struct {
	self        string
	minHandover clock.Millis // minHandover is the minimum time between the orders of two holders.

	known      bool // known is set once the object, or its absence, has been observed.
	observed   Observation
	observedAt clock.Millis

	callInFlight bool
	nextReadAt   clock.Millis
	nextWriteAt  clock.Millis

	heldUntil clock.Millis
	// pending is the update in flight, and pendingSince the time of its first sending.
	pending      Update
	pendingSince clock.Millis
	// writes is the number of the latest update. It also grows across eras, so that an
	// update of an earlier era that is carried out late is never taken for a later one.
	writes int64
	// fence is the position at which the lease was acquired; it grows with each
	// acquisition.
	fence int64
	// eraChanged is set if the store may have lost a lease that another instance relies
	// on; no lease is acquired before notBefore then.
	eraChanged bool
	notBefore  clock.Millis
}

// enterEra discards the view of the lease, as the store has come back from an older copy.
// A lease that the store has lost ends before another instance may acquire one: it cannot
// have been renewed after the store went away. A process that starts in a later era does
// not know how long ago that was.
func (l *lease) enterEra(now clock.Millis, era int64) {
	l.eraChanged = l.eraChanged || l.known || era > firstEra
	if l.eraChanged {
		l.notBefore = now.Add(leaseDuration + l.minHandover + takeoverMargin)
	}
	l.known, l.observed, l.observedAt = false, Observation{Era: era}, 0
	l.heldUntil, l.pending, l.pendingSince = 0, Update{}, 0
	l.callInFlight, l.nextReadAt, l.nextWriteAt = false, 0, 0
}

// observe records an observation of the object. It ignores those that are not newer, or
// not of the known era.
func (l *lease) observe(now clock.Millis, observed Observation) {
	if observed.Era != l.observed.Era || (l.known && observed.Revision <= l.observed.Revision) {
		return
	}
	l.known = true
	l.observed = observed
	l.observedAt = now
	switch {
	case observed.Holder != l.self:
		l.heldUntil = 0
	case l.pending != (Update{}) && observed.Writes == l.pending.Record.Writes:
		l.extend(now, l.pendingSince)
	}
}

// extend extends the lease after a successful update that was sent at sentAt.
func (l *lease) extend(now, sentAt clock.Millis) {
	if !l.isHeld(now) {
		l.fence = storeposition.Position{Era: l.observed.Era, Revision: l.observed.Revision}.Fence()
	}
	l.heldUntil = sentAt.Add(leaseDuration)
	l.nextWriteAt = sentAt.Add(renewInterval)
	l.pending = Update{}
	// A response of the store that is still outstanding can't add anything.
	l.callInFlight = false
}

func (l *lease) isHeld(now clock.Millis) bool { return now < l.heldUntil }

// availableAt returns the earliest time at which the lease may be acquired.
func (l *lease) availableAt() clock.Millis {
	if l.observed.Holder == "" || l.observed.Holder == l.self {
		return max(l.observedAt, l.notBefore)
	}
	return max(l.observedAt.Add(leaseDuration+l.minHandover+takeoverMargin), l.notBefore)
}

// handleRead handles the response to a read.
func (l *lease) handleRead(now clock.Millis, response objectstore.Response) {
	l.callInFlight = false
	l.nextReadAt = now.Add(readInterval)
	if response.Era != l.observed.Era {
		return
	}
	switch response.Outcome {
	case objectstore.NotFound:
		if !l.known {
			l.known = true
			l.observedAt = now
		}
	case objectstore.Done:
		l.observe(now, decodeObservation(response))
	}
}

// nextUpdate returns the update to write: the pending one again, unless it is too old
// to be useful or its condition can't be met any more.
func (l *lease) nextUpdate(now clock.Millis) Update {
	if l.pending == (Update{}) || l.pending.IfRevision != l.observed.Revision || now.Since(l.pendingSince) > renewInterval {
		l.writes = max(l.observed.Writes, l.writes) + 1
		l.pending = Update{Record: Record{Holder: l.self, Writes: l.writes}, Era: l.observed.Era, IfRevision: l.observed.Revision}
		l.pendingSince = now
	}
	return l.pending
}

// handleWrite handles the response to an update. A conflict may show that an earlier
// attempt at the same update succeeded and its response was lost. The result of an update
// in an earlier era is unknown.
func (l *lease) handleWrite(now clock.Millis, record Record, response objectstore.Response) {
	if response.Era != l.observed.Era {
		response = objectstore.Response{Outcome: objectstore.Unknown}
	}
	if response.Failed() && record != l.pending.Record {
		return
	}
	l.callInFlight = false
	switch response.Outcome {
	case objectstore.Done:
		l.observe(now, Observation{Era: response.Era, Revision: response.Version, Holder: record.Holder, Writes: record.Writes})
	case objectstore.Conflict:
		l.observe(now, decodeObservation(response))
		l.nextWriteAt = now.Add(writeRetryDelay)
	default:
		l.nextWriteAt = now.Add(writeRetryDelay)
	}
}

func decodeObservation(response objectstore.Response) Observation {
	record := DecodeRecord(response.Value)
	return Observation{Era: response.Era, Revision: response.Version, Holder: record.Holder, Writes: record.Writes}
}
