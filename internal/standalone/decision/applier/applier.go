// Package applier decides the steps by which a change of the configuration gets
// into the platform: read the manifest and its shards, write the new shards,
// update the manifest on condition of its version, and settle a lost answer by
// reading back.
//
// # Usage
//
//	operation := applier.New(change, writeID, salt, known, deadline)
//	step := operation.Begin()
//	step = operation.Answered(now, answer) // for each Ask
package applier

import (
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/config"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/sharder"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// retryPause is the time between calls to a platform that fails.
const retryPause = 100 * clock.Millisecond

type phase int

const (
	phaseReadManifest phase = iota
	phaseReadShards
	phaseWriteShards
	phaseWriteManifest
)

// Applier is one operation. It is not safe for concurrent use.
type Applier struct {
	change   Change
	writeID  string
	salt     string
	deadline clock.Millis

	phase phase
	// base is the configuration revision that a Replace is for, once known.
	base      int64
	baseKnown bool
	current   sharder.Manifest
	version   int64
	next      sharder.Manifest
	// values are shards by digest: those known at first and those read.
	values map[string][]byte
	// pending are the digests still to read or to write.
	pending []string
	// sent tells that a write of the manifest has no answer yet.
	sent bool
}

// New returns the operation. The salt is for the first configuration ever; the
// known values are shards by digest that need not be read.
func New(change Change, writeID, salt string, known map[string][]byte, deadline clock.Millis) *Applier {
	operation := &Applier{change: change, writeID: writeID, salt: salt, deadline: deadline, values: maps.Clone(known)}
	if operation.values == nil {
		operation.values = map[string][]byte{}
	}
	if replace, ok := change.(Replace); ok {
		operation.base = replace.BaseRevision
		operation.baseKnown = replace.BaseRevision > 0
	}
	return operation
}

// Begin returns the first step.
func (a *Applier) Begin() Step {
	a.phase = phaseReadManifest
	return a.ask()
}

// Resume returns the step after a Pause.
func (a *Applier) Resume(clock.Millis) Step {
	return a.ask()
}

// HandleResponse returns the step after the answer to an Ask.
func (a *Applier) HandleResponse(now clock.Millis, answer objectstore.Response) Step {
	switch a.phase {
	case phaseReadManifest:
		return a.manifestRead(now, answer)
	case phaseReadShards:
		return a.shardRead(now, answer)
	case phaseWriteShards:
		return a.shardWritten(now, answer)
	default:
		return a.manifestWritten(now, answer)
	}
}

func (a *Applier) ask() Step {
	switch a.phase {
	case phaseReadManifest:
		return CallPlatform{Op: objectstore.Get{Name: sharder.ManifestName}}
	case phaseReadShards:
		return CallPlatform{Op: objectstore.Get{Name: sharder.ShardObjectName(a.pending[0])}}
	case phaseWriteShards:
		digest := a.pending[0]
		return CallPlatform{Op: objectstore.Put{Name: sharder.ShardObjectName(digest), Value: a.values[digest], IfVersion: objectstore.IfAbsent}}
	default:
		a.sent = true
		return CallPlatform{Op: objectstore.Put{Name: sharder.ManifestName, Value: a.next.Encode(), IfVersion: a.version}}
	}
}

func (a *Applier) manifestRead(now clock.Millis, answer objectstore.Response) Step {
	if answer.Failed() {
		return a.pause(now)
	}
	if answer.Outcome == objectstore.NotFound {
		a.current = sharder.Manifest{Salt: a.salt}
		a.version = objectstore.IfAbsent
		return a.checkBase()
	}
	manifest, err := sharder.DecodeManifest(answer.Value)
	if err != nil {
		return Rejected{Message: "the configuration in the platform can't be read: " + err.Error()}
	}
	a.current = manifest
	a.version = answer.Version
	if manifest.HasWrite(a.writeID) {
		return Accepted{Manifest: manifest, Values: a.values}
	}
	return a.checkBase()
}

// checkBase ends the operation when the configuration changed under it.
func (a *Applier) checkBase() Step {
	if _, ok := a.change.(Replace); ok {
		if !a.baseKnown {
			a.base = a.current.ConfigRevision
			a.baseKnown = true
		}
		if a.base != a.current.ConfigRevision {
			return Conflict{Revision: a.current.ConfigRevision}
		}
	}
	return a.readShards()
}

func (a *Applier) readShards() Step {
	a.phase = phaseReadShards
	a.pending = slices.DeleteFunc(a.current.Digests(), func(digest string) bool {
		_, ok := a.values[digest]
		return ok
	})
	if len(a.pending) > 0 {
		return a.ask()
	}
	return a.writeShards()
}

func (a *Applier) shardRead(now clock.Millis, answer objectstore.Response) Step {
	if answer.Failed() {
		return a.pause(now)
	}
	if answer.Outcome == objectstore.NotFound {
		// The manifest has moved on and its old shards are gone.
		a.phase = phaseReadManifest
		return a.pause(now)
	}
	a.values[a.pending[0]] = answer.Value
	return a.readShards()
}

func (a *Applier) writeShards() Step {
	current := config.Defaults()
	if a.version != objectstore.IfAbsent {
		joined, err := sharder.Join(a.current, a.values)
		if err != nil {
			return Rejected{Message: "the configuration in the platform can't be read: " + err.Error()}
		}
		current = joined
	}
	changed, rejected := apply(a.change, current, a.current.Salt)
	if rejected != nil {
		return Rejected{NotFound: rejected.notFound, Message: rejected.message}
	}
	shards, err := sharder.Split(changed)
	if err != nil {
		return Rejected{Message: err.Error()}
	}
	return a.prepare(shards)
}

func (a *Applier) prepare(shards sharder.Shards) Step {
	a.next = a.current.WithWrite(a.writeID, shards)
	if _, ok := a.change.(Replace); ok {
		a.next = a.next.WithConfigChanged()
	}
	maps.Copy(a.values, shards.ByDigest())
	stored := a.current.Digests()
	a.pending = slices.DeleteFunc(a.next.Digests(), func(digest string) bool {
		return slices.Contains(stored, digest)
	})
	return a.writeNext()
}

func (a *Applier) writeNext() Step {
	a.phase = phaseWriteShards
	if len(a.pending) == 0 {
		a.phase = phaseWriteManifest
	}
	return a.ask()
}

// shardWritten takes a conflict for success: a shard's name is the digest of
// its content.
func (a *Applier) shardWritten(now clock.Millis, answer objectstore.Response) Step {
	if answer.Failed() {
		return a.pause(now)
	}
	a.pending = a.pending[1:]
	return a.writeNext()
}

func (a *Applier) manifestWritten(now clock.Millis, answer objectstore.Response) Step {
	switch answer.Outcome {
	case objectstore.Done:
		return Accepted{Manifest: a.next, Values: a.values}
	case objectstore.Refused:
		return a.pause(now)
	default:
		a.phase = phaseReadManifest
		return a.ask()
	}
}

func (a *Applier) pause(now clock.Millis) Step {
	if now.Add(retryPause) >= a.deadline {
		return TimedOut{MayTakeEffect: a.sent}
	}
	return Pause{Until: now.Add(retryPause)}
}
