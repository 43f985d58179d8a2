// Package leaser implements a lease that is stored as one object in the
// platform's object API. It decides when to read, acquire, renew and release it.
//
// Only a conditional update of the object changes the lease's holder. The holder
// counts the lease's TTL from before it sent the update; a candidate counts from
// after it read the object, and waits longer than the TTL. Each uses its own
// monotonic clock, so the clocks need not be synchronized. The holder checks the
// expiry right before each use, so a process that resumes after a pause does not
// act on an expired lease.
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

// Intervals and timeouts of a lease.
const (
	// TTL is the lease's time to live, counted from the start of the last update.
	TTL = 3 * clock.Second
	// renewInterval is the time between two updates by the holder.
	renewInterval = TTL / 3
	// takeoverDelay is the time for which a candidate must observe the object
	// unchanged before it acquires the lease. It exceeds TTL, so that the holder's
	// lease has expired.
	takeoverDelay = TTL + 250*clock.Millisecond
	// readInterval is the time between two reads by an instance that wants or watches
	// the lease.
	readInterval = clock.Second
	// maxReadGap is the longest time between two reads that still counts as
	// continuous observation of the object.
	maxReadGap = 2 * readInterval
	// writeRetryDelay is the time between a failed update and the next one.
	writeRetryDelay = 250 * clock.Millisecond
)

// Record is the value of the lease object.
type Record struct {
	// Holder is the holder's identity; empty after the lease was released.
	Holder string `json:"holder"`
	// Term increases with each change of the holder.
	Term int64 `json:"term"`
}

// Lease is one instance's view of one lease. Values are immutable.
type Lease struct {
	name string
	self string

	callPending bool // callPending is set while a call to the platform is in progress.
	wanted      bool
	watched     bool
	recordKnown bool
	record      Record
	version     int64
	lastReadAt  clock.Millis // lastReadAt is the time of the object's last read.
	// unchangedSince is the start of the continuous observation of this version.
	unchangedSince clock.Millis

	// nextReadAt and nextWriteAt are the earliest times of the next read and write.
	nextReadAt  clock.Millis
	nextWriteAt clock.Millis

	heldUntil clock.Millis
}

// New returns the Lease of the named object for the instance with the identity
// self, which is NAME@ADDRESS#INCARNATION. Two processes never run under one
// NAME@ADDRESS at the same time.
func New(name, self string) Lease {
	return Lease{name: name, self: self}
}

// Name returns the name of the lease's object.
func (l Lease) Name() string { return l.name }

// Term returns the term that was last read or written.
func (l Lease) Term() int64 { return l.record.Term }

// Holder returns the holder that was last read or written; empty when none is known.
func (l Lease) Holder() string { return l.record.Holder }

// Held reports whether self holds the lease at the time now.
func (l Lease) Held(now clock.Millis) bool {
	return now < l.heldUntil
}

// HeldUntil returns the time at which the lease expires unless it is renewed.
func (l Lease) HeldUntil() clock.Millis { return l.heldUntil }

// WithWanted returns the lease with wanted set: whether the instance acquires the
// lease and keeps it. A lease that is held and no longer wanted is released.
func (l Lease) WithWanted(wanted bool) Lease {
	l.wanted = wanted
	return l
}

// WithWatched returns the lease with watched set. A watched lease is read
// regularly, so it can be acquired sooner once it becomes free.
func (l Lease) WithWatched(watched bool) Lease {
	l.watched = watched
	return l
}

// Step is the next step of the lease protocol.
type Step interface{ isStep() }

// Read requests a read of the object; pass the response to WithRead.
type Read struct{}

// Write requests a write of the record on the condition that the object has the
// version IfVersion; pass the response to WithWritten.
type Write struct {
	Record    Record
	IfVersion int64
}

// Wait requests that Next is called again at Until.
type Wait struct{ Until clock.Millis }

func (Read) isStep()  {}
func (Write) isStep() {}
func (Wait) isStep()  {}

// Next returns the step to take at the time now.
func (l Lease) Next(now clock.Millis) Step {
	if l.callPending {
		return Wait{Until: now.Add(readInterval)}
	}
	if l.Held(now) {
		return l.nextAsHolder(now)
	}
	if !l.wanted && l.watched {
		return l.readOrWait(now)
	}
	if !l.wanted {
		return Wait{Until: now.Add(readInterval)}
	}
	return l.nextAsCandidate(now)
}

func (l Lease) nextAsHolder(now clock.Millis) Step {
	if !l.recordKnown {
		return l.readOrWait(now)
	}
	if now < l.nextWriteAt {
		return Wait{Until: l.nextWriteAt}
	}
	if !l.wanted {
		return Write{Record: Record{Term: l.record.Term}, IfVersion: l.version}
	}
	return Write{Record: l.record, IfVersion: l.version}
}

func (l Lease) nextAsCandidate(now clock.Millis) Step {
	if !l.recordKnown || now >= l.nextReadAt {
		return l.readOrWait(now)
	}
	free := l.version == objectstore.IfAbsent || l.record.Holder == "" || withoutIncarnation(l.record.Holder) == withoutIncarnation(l.self)
	due := l.unchangedSince.Add(takeoverDelay)
	if free {
		due = l.unchangedSince
	}
	due = max(due, l.nextWriteAt)
	if now < due {
		return Wait{Until: min(l.nextReadAt, due)}
	}
	return Write{Record: l.acquiredRecord(), IfVersion: l.version}
}

// withoutIncarnation returns the identity's NAME@ADDRESS. Two incarnations of one
// instance follow each other, so the later one need not wait for the expiry of
// the earlier one's lease.
func withoutIncarnation(identity string) string {
	nameAndAddress, _, _ := strings.Cut(identity, "#")
	return nameAndAddress
}

// acquiredRecord returns the record that acquires the lease. An expired lease
// that no other instance has acquired continues under the same term.
func (l Lease) acquiredRecord() Record {
	if l.record.Holder == l.self {
		return l.record
	}
	return Record{Holder: l.self, Term: l.record.Term + 1}
}

func (l Lease) readOrWait(now clock.Millis) Step {
	if now < l.nextReadAt {
		return Wait{Until: l.nextReadAt}
	}
	return Read{}
}

// WithPendingCall returns the lease while the call of a step is in progress.
func (l Lease) WithPendingCall() Lease {
	l.callPending = true
	return l
}

// WithRead returns the lease after the response to a Read arrived at the time now.
func (l Lease) WithRead(now clock.Millis, response objectstore.Response) Lease {
	l.callPending = false
	l.nextReadAt = now.Add(readInterval)
	if response.Failed() {
		l.recordKnown = false
		return l
	}
	if now.Since(l.lastReadAt) > maxReadGap {
		l.recordKnown = false
	}
	l.lastReadAt = now
	if response.Outcome == objectstore.NotFound {
		return l.withObserved(now, objectstore.IfAbsent, Record{})
	}
	l = l.withObserved(now, response.Version, decode(response.Value))
	if l.record.Holder != l.self {
		l.heldUntil = 0
	}
	return l
}

// WithWritten returns the lease after the response to a Write that was sent at
// requestedAt. After any outcome but Done the object is read again.
func (l Lease) WithWritten(requestedAt, now clock.Millis, write Write, response objectstore.Response) Lease {
	l.callPending = false
	if response.Outcome != objectstore.Done {
		return l.withFailedWrite(now, response)
	}
	l = l.withObserved(now, response.Version, write.Record)
	l.nextReadAt = now.Add(readInterval)
	l.heldUntil = 0
	if write.Record.Holder == l.self {
		l.heldUntil = requestedAt.Add(TTL)
		l.nextWriteAt = requestedAt.Add(renewInterval)
	}
	return l
}

func (l Lease) withFailedWrite(now clock.Millis, response objectstore.Response) Lease {
	l.recordKnown = false
	l.nextReadAt = now
	l.nextWriteAt = now.Add(writeRetryDelay)
	if response.Outcome == objectstore.Conflict {
		l.heldUntil = 0
	}
	return l
}

func (l Lease) withObserved(now clock.Millis, version int64, record Record) Lease {
	if !l.recordKnown || version != l.version {
		l.unchangedSince = now
	}
	l.recordKnown = true
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

// decode reads a record. One that can't be decoded counts as held by an unknown
// holder, so that it is acquired only after takeoverDelay.
func decode(value []byte) Record {
	var record Record
	if json.Unmarshal(value, &record) != nil {
		return Record{Holder: "unreadable"}
	}
	return record
}
