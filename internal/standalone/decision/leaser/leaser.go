// Package leaser decides when to read, take, renew and give up a lease that is
// kept as one object in the platform's object API.
//
// Only the platform's conditional update moves a lease. The holder counts its
// time from before it asked for the update; a taker counts from after it saw
// the object, and waits longer than the holder may hold. Both use their own
// monotonic clock, so clocks need not agree. The holder checks its time right
// before each use, so a paused process wakes up harmless.
//
// # Usage
//
//	lease := leaser.New("leases/rights/split-a/0", "split-a-1@10.0.0.1:8082#2f")
//	switch step := lease.Next(now).(type) {
//	case leaser.Read: ...
//	case leaser.Write: ...
//	case leaser.Wait: ...
//	}
package leaser

import (
	"encoding/json"
	"strings"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Times of a lease.
const (
	// TTL is how long a holder may hold after the start of its last update.
	TTL = 3 * clock.Second
	// renewEvery is the time between updates of a holder.
	renewEvery = TTL / 3
	// takeAfter is how long a taker sees the object unchanged before it takes.
	takeAfter = TTL + 250*clock.Millisecond
	// readEvery is the time between reads of an instance that wants the lease.
	readEvery = clock.Second
	// maxReadGap is the longest time between reads that count as seeing the
	// object without a gap.
	maxReadGap = 2 * readEvery
	// retryWrite is the time from a failed update to the next.
	retryWrite = 250 * clock.Millisecond
)

// Record is the lease object's value.
type Record struct {
	// Holder is the holder's identity; empty when the lease was given up.
	Holder string `json:"holder"`
	// Term grows with each change of the holder.
	Term int64 `json:"term"`
}

// Lease is one instance's knowledge of one lease. Values are immutable.
type Lease struct {
	name string
	self string

	busy    bool // busy while a call to the platform is under way.
	wanted  bool
	watched bool
	known   bool
	record  Record
	version int64
	readAt  clock.Millis // readAt is when the object was last read.
	// seenAt is since when this version has been seen without a gap.
	seenAt clock.Millis

	// readDue and writeDue are when the next call of each kind may be made.
	readDue  clock.Millis
	writeDue clock.Millis

	heldUntil clock.Millis
}

// New returns the Lease with the object's name, as seen by the identity self: a
// place, a number sign, and one start of the process at that place. Two processes
// never run at one place at one moment.
func New(name, self string) Lease {
	return Lease{name: name, self: self}
}

// Name returns the name of the lease's object.
func (l Lease) Name() string { return l.name }

// Term returns the term that was last seen or written.
func (l Lease) Term() int64 { return l.record.Term }

// Holder returns the holder that was last seen, empty when none is known.
func (l Lease) Holder() string { return l.record.Holder }

// Held reports whether self holds the lease at now.
func (l Lease) Held(now clock.Millis) bool {
	return now < l.heldUntil
}

// HeldUntil returns when the holding ends without a renewal.
func (l Lease) HeldUntil() clock.Millis { return l.heldUntil }

// WithWanted returns the lease, wanted by self or not. A lease that is held
// and no longer wanted is given up.
func (l Lease) WithWanted(wanted bool) Lease {
	l.wanted = wanted
	return l
}

// WithWatched returns the lease, read regularly by self or not. Who watches a
// lease before it is free can take it sooner.
func (l Lease) WithWatched(watched bool) Lease {
	l.watched = watched
	return l
}

// Step is what to do next.
type Step interface{ isStep() }

// Read asks to read the object.
type Read struct{}

// Write asks to put the record on condition of the version.
type Write struct {
	Record    Record
	IfVersion int64
}

// Wait asks to call Next again at Until.
type Wait struct{ Until clock.Millis }

func (Read) isStep()  {}
func (Write) isStep() {}
func (Wait) isStep()  {}

// Next returns the step to take at now.
func (l Lease) Next(now clock.Millis) Step {
	if l.busy {
		return Wait{Until: now.Add(readEvery)}
	}
	if l.Held(now) {
		return l.nextOfHolder(now)
	}
	if !l.wanted && l.watched {
		return l.readOrWait(now)
	}
	if !l.wanted {
		return Wait{Until: now.Add(readEvery)}
	}
	return l.nextOfTaker(now)
}

func (l Lease) nextOfHolder(now clock.Millis) Step {
	if !l.known {
		return l.readOrWait(now)
	}
	if now < l.writeDue {
		return Wait{Until: l.writeDue}
	}
	if !l.wanted {
		return Write{Record: Record{Term: l.record.Term}, IfVersion: l.version}
	}
	return Write{Record: l.record, IfVersion: l.version}
}

func (l Lease) nextOfTaker(now clock.Millis) Step {
	if !l.known || now >= l.readDue {
		return l.readOrWait(now)
	}
	free := l.version == objectstore.IfAbsent || l.record.Holder == "" || placeOf(l.record.Holder) == placeOf(l.self)
	due := l.seenAt.Add(takeAfter)
	if free {
		due = l.seenAt
	}
	due = max(due, l.writeDue)
	if now < due {
		return Wait{Until: min(l.readDue, due)}
	}
	return Write{Record: l.taken(), IfVersion: l.version}
}

// placeOf returns an identity without its start: two starts of one place follow
// each other, so the later one need not wait for the earlier one's time.
func placeOf(identity string) string {
	place, _, _ := strings.Cut(identity, "#")
	return place
}

// taken returns the record that takes the lease. A lapsed lease that nobody else
// has taken goes on under the same term.
func (l Lease) taken() Record {
	if l.record.Holder == l.self {
		return l.record
	}
	return Record{Holder: l.self, Term: l.record.Term + 1}
}

func (l Lease) readOrWait(now clock.Millis) Step {
	if now < l.readDue {
		return Wait{Until: l.readDue}
	}
	return Read{}
}

// WithPendingCall returns the lease while a step's call is under way.
func (l Lease) WithPendingCall() Lease {
	l.busy = true
	return l
}

// WithRead returns the lease after the answer to a Read that came at now.
func (l Lease) WithRead(now clock.Millis, answer objectstore.Response) Lease {
	l.busy = false
	l.readDue = now.Add(readEvery)
	if answer.Failed() {
		l.known = false
		return l
	}
	if now.Since(l.readAt) > maxReadGap {
		l.known = false
	}
	l.readAt = now
	if answer.Outcome == objectstore.NotFound {
		return l.withSeen(now, objectstore.IfAbsent, Record{})
	}
	l = l.withSeen(now, answer.Version, decode(answer.Value))
	if l.record.Holder != l.self {
		l.heldUntil = 0
	}
	return l
}

// WithWritten returns the lease after the answer to the Write that was asked
// at the instant asked. After an unclear answer the object is read again.
func (l Lease) WithWritten(asked, now clock.Millis, write Write, answer objectstore.Response) Lease {
	l.busy = false
	if answer.Outcome != objectstore.Done {
		return l.withFailedWrite(now, answer)
	}
	l = l.withSeen(now, answer.Version, write.Record)
	l.readDue = now.Add(readEvery)
	l.heldUntil = 0
	if write.Record.Holder == l.self {
		l.heldUntil = asked.Add(TTL)
		l.writeDue = asked.Add(renewEvery)
	}
	return l
}

func (l Lease) withFailedWrite(now clock.Millis, answer objectstore.Response) Lease {
	l.known = false
	l.readDue = now
	l.writeDue = now.Add(retryWrite)
	if answer.Outcome == objectstore.Conflict {
		l.heldUntil = 0
	}
	return l
}

func (l Lease) withSeen(now clock.Millis, version int64, record Record) Lease {
	if !l.known || version != l.version {
		l.seenAt = now
	}
	l.known = true
	l.version = version
	l.record = record
	return l
}

// Encode returns the record as it is stored.
func (r Record) Encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic("leaser.Record.Encode: " + err.Error())
	}
	return value
}

// decode reads a record; one that can't be read counts as held by nobody known,
// so that it is taken only after its time.
func decode(value []byte) Record {
	var record Record
	if json.Unmarshal(value, &record) != nil {
		return Record{Holder: "unreadable"}
	}
	return record
}
