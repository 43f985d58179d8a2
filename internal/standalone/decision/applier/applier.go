// Package applier decides the steps that write a configuration change to the
// platform: read the manifest and its shards, write the new shards, and update the
// manifest on the condition of its version. If a response is lost, it reads the
// manifest back to find out whether the change took effect.
//
// # Usage
//
//	operation := applier.New(change, writeID, salt, knownShards, deadline)
//	step := operation.Begin()
//	step = operation.HandleResponse(now, response) // for each CallPlatform
package applier

import (
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/config"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/sharder"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// retryDelay is the time between two calls to a platform that fails.
const retryDelay = 100 * clock.Millisecond

type phase int

const (
	phaseReadManifest phase = iota
	phaseReadShards
	phaseWriteShards
	phaseWriteManifest
)

// Applier is the state of one change. It is not safe for concurrent use.
type Applier struct {
	change   Change
	writeID  string
	salt     string
	deadline clock.Millis

	phase phase
	// baseRevision is the configuration revision that a Replace is based on.
	baseRevision      int64
	baseRevisionKnown bool
	currentManifest   sharder.Manifest
	manifestVersion   int64
	nextManifest      sharder.Manifest
	// shardValues are encoded shards by digest, as passed to New, read or to be written.
	shardValues map[string][]byte
	// pendingDigests are the digests of the shards still to be read or written.
	pendingDigests []string
	// manifestWriteSent is set once a write of the manifest was sent.
	manifestWriteSent bool
}

// New returns an Applier for the change. The salt is used only if there is no
// configuration yet; knownShards are values by digest that need not be read.
func New(change Change, writeID, salt string, knownShards map[string][]byte, deadline clock.Millis) *Applier {
	operation := &Applier{change: change, writeID: writeID, salt: salt, deadline: deadline, shardValues: maps.Clone(knownShards)}
	if operation.shardValues == nil {
		operation.shardValues = map[string][]byte{}
	}
	if replace, ok := change.(Replace); ok {
		operation.baseRevision = replace.BaseRevision
		operation.baseRevisionKnown = replace.BaseRevision > 0
	}
	return operation
}

// Begin returns the first step.
func (a *Applier) Begin() Step {
	a.phase = phaseReadManifest
	return a.nextCall()
}

// Resume returns the step after a Pause.
func (a *Applier) Resume(clock.Millis) Step {
	return a.nextCall()
}

// HandleResponse returns the step after the response to a CallPlatform.
func (a *Applier) HandleResponse(now clock.Millis, response objectstore.Response) Step {
	switch a.phase {
	case phaseReadManifest:
		return a.handleManifestRead(now, response)
	case phaseReadShards:
		return a.handleShardRead(now, response)
	case phaseWriteShards:
		return a.handleShardWrite(now, response)
	default:
		return a.handleManifestWrite(now, response)
	}
}

func (a *Applier) nextCall() Step {
	switch a.phase {
	case phaseReadManifest:
		return CallPlatform{Op: objectstore.Get{Name: sharder.ManifestName}}
	case phaseReadShards:
		return CallPlatform{Op: objectstore.Get{Name: sharder.ShardObjectName(a.pendingDigests[0])}}
	case phaseWriteShards:
		digest := a.pendingDigests[0]
		return CallPlatform{Op: objectstore.Put{Name: sharder.ShardObjectName(digest), Value: a.shardValues[digest], IfVersion: objectstore.IfAbsent}}
	default:
		a.manifestWriteSent = true
		return CallPlatform{Op: objectstore.Put{Name: sharder.ManifestName, Value: a.nextManifest.Encode(), IfVersion: a.manifestVersion}}
	}
}

func (a *Applier) handleManifestRead(now clock.Millis, response objectstore.Response) Step {
	if response.Failed() {
		return a.pauseOrTimeOut(now)
	}
	if response.Outcome == objectstore.NotFound {
		a.currentManifest = sharder.Manifest{Salt: a.salt}
		a.manifestVersion = objectstore.IfAbsent
		return a.checkBase()
	}
	manifest, err := sharder.DecodeManifest(response.Value)
	if err != nil {
		return Rejected{Message: "the configuration in the platform can't be read: " + err.Error()}
	}
	a.currentManifest = manifest
	a.manifestVersion = response.Version
	if manifest.HasWrite(a.writeID) {
		return Accepted{Manifest: manifest, Values: a.shardValues}
	}
	return a.checkBase()
}

// checkBase ends a Replace with a conflict when its base revision is not in force.
func (a *Applier) checkBase() Step {
	if _, ok := a.change.(Replace); ok {
		if !a.baseRevisionKnown {
			a.baseRevision = a.currentManifest.ConfigRevision
			a.baseRevisionKnown = true
		}
		if a.baseRevision != a.currentManifest.ConfigRevision {
			return Conflict{Revision: a.currentManifest.ConfigRevision}
		}
	}
	return a.readShards()
}

func (a *Applier) readShards() Step {
	a.phase = phaseReadShards
	a.pendingDigests = slices.DeleteFunc(a.currentManifest.Digests(), func(digest string) bool {
		_, ok := a.shardValues[digest]
		return ok
	})
	if len(a.pendingDigests) > 0 {
		return a.nextCall()
	}
	return a.applyChange()
}

func (a *Applier) handleShardRead(now clock.Millis, response objectstore.Response) Step {
	if response.Failed() {
		return a.pauseOrTimeOut(now)
	}
	if response.Outcome == objectstore.NotFound {
		// The manifest was replaced and its old shards were deleted.
		a.phase = phaseReadManifest
		return a.pauseOrTimeOut(now)
	}
	a.shardValues[a.pendingDigests[0]] = response.Value
	return a.readShards()
}

// applyChange applies the change to the configuration that was read and starts to
// write the result.
func (a *Applier) applyChange() Step {
	current := config.Defaults()
	if a.manifestVersion != objectstore.IfAbsent {
		joined, err := sharder.Join(a.currentManifest, a.shardValues)
		if err != nil {
			return Rejected{Message: "the configuration in the platform can't be read: " + err.Error()}
		}
		current = joined
	}
	changed, rejected := changedConfig(a.change, current, a.currentManifest.Salt)
	if rejected != nil {
		return Rejected{NotFound: rejected.notFound, Message: rejected.message}
	}
	shards, err := sharder.Split(changed)
	if err != nil {
		return Rejected{Message: err.Error()}
	}
	return a.prepareWrite(shards)
}

func (a *Applier) prepareWrite(shards sharder.Shards) Step {
	a.nextManifest = a.currentManifest.WithWrite(a.writeID, shards)
	if _, ok := a.change.(Replace); ok {
		a.nextManifest = a.nextManifest.WithConfigChanged()
	}
	maps.Copy(a.shardValues, shards.ByDigest())
	stored := a.currentManifest.Digests()
	a.pendingDigests = slices.DeleteFunc(a.nextManifest.Digests(), func(digest string) bool {
		return slices.Contains(stored, digest)
	})
	return a.writeNext()
}

// GiveUp returns the outcome of a change that is not continued.
func (a *Applier) GiveUp() TimedOut {
	return TimedOut{MayTakeEffect: a.manifestWriteSent}
}

func (a *Applier) writeNext() Step {
	a.phase = phaseWriteShards
	if len(a.pendingDigests) == 0 {
		a.phase = phaseWriteManifest
	}
	return a.nextCall()
}

// handleShardWrite treats a conflict as success: a shard's name is the digest of
// its content.
func (a *Applier) handleShardWrite(now clock.Millis, response objectstore.Response) Step {
	if response.Failed() {
		return a.pauseOrTimeOut(now)
	}
	a.pendingDigests = a.pendingDigests[1:]
	return a.writeNext()
}

func (a *Applier) handleManifestWrite(now clock.Millis, response objectstore.Response) Step {
	switch response.Outcome {
	case objectstore.Done:
		return Accepted{Manifest: a.nextManifest, Values: a.shardValues}
	case objectstore.Refused:
		return a.pauseOrTimeOut(now)
	default:
		a.phase = phaseReadManifest
		return a.nextCall()
	}
}

func (a *Applier) pauseOrTimeOut(now clock.Millis) Step {
	if now.Add(retryDelay) >= a.deadline {
		return a.GiveUp()
	}
	return Pause{Until: now.Add(retryDelay)}
}
