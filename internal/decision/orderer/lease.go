package orderer

import (
	"encoding/json"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Times of the lease.
const (
	// holdFor is how long a holder may give orders after it asked for its last
	// update. It is short, as a successor waits for it, and long enough for some
	// tries of a slow store.
	holdFor = 900 * clock.Millisecond
	// renewEvery is the time between the updates of a holder that has work.
	renewEvery = 400 * clock.Millisecond
	// wishAfter is how long the store may take to answer before a peer is asked for the
	// same update: some usual answers, and in time for the holding to go on.
	wishAfter = 150 * clock.Millisecond
	// takeSlack covers an order that is on its way when the holding ends.
	takeSlack = 200 * clock.Millisecond
	// readEvery is the time between reads while the lease is unknown.
	readEvery = 500 * clock.Millisecond
	// retryWrite is the time from a failed update to the next.
	retryWrite = 150 * clock.Millisecond
)

// LeaseName is the name of the lease's object in the store.
const LeaseName = "leases/weights"

// Record is the lease's value in the store.
type Record struct {
	// Holder is the instance's name and address: two processes never run at one
	// place, so a holder that starts again goes on at once.
	Holder string `json:"holder"`
	// Writes counts the updates, so that each changes the object's revision.
	Writes int64 `json:"writes"`
}

// Encode returns the record as it is stored.
func (r Record) Encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic("orderer.Record.Encode: " + err.Error())
	}
	return value
}

// DecodeRecord reads a record; one that can't be read counts as held by nobody
// known, so that it is taken only after its time.
func DecodeRecord(value []byte) Record {
	var record Record
	if json.Unmarshal(value, &record) != nil {
		return Record{Holder: "unreadable"}
	}
	return record
}

// Sight is one sight of the lease's object.
type Sight struct {
	Revision int64  `json:"revision"`
	Holder   string `json:"holder"`
	Writes   int64  `json:"writes"`
}

// Update is an update of the lease on condition of its revision. The zero Update is
// none.
type Update struct {
	Record     Record `json:"record"`
	IfRevision int64  `json:"ifRevision"`
}

// lease is what the instance knows of the lease. Only a conditional update of the
// object moves it. The holder counts from before it asked; a taker counts from its
// first sight of the revision, and waits longer than the holder may order, plus the
// least time between two holders.
type lease struct {
	self string
	turn clock.Millis // turn is the least time between the orders of two holders.

	known  bool
	sight  Sight
	seenAt clock.Millis

	busy     bool
	readDue  clock.Millis
	writeDue clock.Millis

	heldUntil clock.Millis
	// pending is the update that is under way, and pendingAt when it was first asked.
	pending   Update
	pendingAt clock.Millis
	// fence is the revision by which the lease was taken; it grows with each taking.
	fence int64
}

// saw takes in a sight of the object, older ones are passed over.
func (l *lease) saw(now clock.Millis, sight Sight) {
	if l.known && sight.Revision <= l.sight.Revision {
		return
	}
	l.known = true
	l.sight = sight
	l.seenAt = now
	switch {
	case sight.Holder != l.self:
		l.heldUntil = 0
	case sight.Writes == l.pending.Record.Writes:
		l.hold(now, l.pendingAt)
	}
}

// hold takes in that an update that was asked at the instant has been made.
func (l *lease) hold(now, asked clock.Millis) {
	if !l.held(now) {
		l.fence = l.sight.Revision
	}
	l.heldUntil = asked.Add(holdFor)
	l.writeDue = asked.Add(renewEvery)
	l.pending = Update{}
	// An answer of the store that is still awaited tells nothing new.
	l.busy = false
}

func (l *lease) held(now clock.Millis) bool { return now < l.heldUntil }

// freeAt returns when the lease may be taken.
func (l *lease) freeAt() clock.Millis {
	if l.sight.Holder == "" || l.sight.Holder == l.self {
		return l.seenAt
	}
	return l.seenAt.Add(holdFor + l.turn + takeSlack)
}

// read takes in the answer to a read.
func (l *lease) read(now clock.Millis, answer objectstore.Response) {
	l.busy = false
	l.readDue = now.Add(readEvery)
	switch answer.Outcome {
	case objectstore.NotFound:
		if !l.known {
			l.known = true
			l.seenAt = now
		}
	case objectstore.Done:
		l.saw(now, sightOf(answer))
	}
}

// update returns the update to ask for: the one under way again, unless it is too old
// to be of use or its condition can't hold any more.
func (l *lease) update(now clock.Millis) Update {
	if l.pending == (Update{}) || l.pending.IfRevision != l.sight.Revision || now.Since(l.pendingAt) > renewEvery {
		l.pending = Update{Record: Record{Holder: l.self, Writes: max(l.sight.Writes, l.pending.Record.Writes) + 1}, IfRevision: l.sight.Revision}
		l.pendingAt = now
	}
	return l.pending
}

// written takes in the answer to an update. A conflict may tell that the same update
// took effect before, of which the answer was lost.
func (l *lease) written(now clock.Millis, record Record, answer objectstore.Response) {
	if answer.Failed() && record != l.pending.Record {
		return
	}
	l.busy = false
	switch answer.Outcome {
	case objectstore.Done:
		l.saw(now, Sight{Revision: answer.Version, Holder: record.Holder, Writes: record.Writes})
	case objectstore.Conflict:
		l.saw(now, sightOf(answer))
		l.writeDue = now.Add(retryWrite)
	default:
		l.writeDue = now.Add(retryWrite)
	}
}

func sightOf(answer objectstore.Response) Sight {
	record := DecodeRecord(answer.Value)
	return Sight{Revision: answer.Version, Holder: record.Holder, Writes: record.Writes}
}
