// Package replicator decides from where an instance gets its copies of the store's
// objects: from a neighbor that has newer ones, or from the store itself.
//
// Load pattern: hundreds of instances need the same objects, each call to the store has a
// price, and the store is unreachable at times, from all instances or from some. They start
// at the same time, and the store comes back for all at the same time.
//
// Copies are compared by their era of the store and by revision within it. A copy of an
// earlier era neither confirms one of a later era nor shows that its source watches the
// store as it is now.
//
// One instance watches the store. Each digest states up to which revision its sender has
// the objects and when they were last known to be current. An instance that learns of a
// newer revision fetches the changes from that neighbor. If the copy of the desired state
// has not been confirmed for some time, the instances begin to watch one after another, by
// rank, until a confirmation arrives. Of two that watch, the one of the worse rank stops.
//
// A confirmation is a time in the past at which the copy was current. It is computed from
// the instance's own clock: from the time at which it sent the digest that the neighbor
// had received before it stated the age of its copy. A delayed message, or a suspended
// instance, therefore makes a copy look older, but never newer.
//
// # Usage
//
//	copies := replicator.New(now, self, replicator.NewTiming(configApply, keyWithdrawal))
//	copies.Offer(now, offer)
//	copies.Updated(now, replicator.State, revision, confirmedAt)
//	next := copies.Next(now, rank, tops)
package replicator

import (
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/storeposition"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Kind is a kind of the store's objects.
type Kind int

// The kinds. They are sent between instances.
const (
	// State is the desired state.
	State Kind = iota + 1
	// Servers are the entries of the backend servers.
	Servers
	// Weights are the published versions of weights.
	Weights
	// Members are the entries of the instances.
	Members
	// Rollouts are the orders to move services to other software.
	Rollouts
)

// Kinds are all kinds.
var Kinds = []Kind{State, Servers, Weights, Members, Rollouts}

// Optional reports whether some instances do not copy the kind: those of an earlier build,
// and those whose settings do not need it.
func (k Kind) Optional() bool { return k > Members }

const (
	// startDelay is the time from the start of an instance until it may watch the store:
	// neighbors usually send the objects before that.
	startDelay = 400 * clock.Millisecond
	// unlistedDelay is the same for an instance that is not listed among the instances
	// yet, and therefore has no rank. All of them may be starting. Each waits for a
	// different time, up to unlistedSpread longer.
	unlistedDelay  = 2500 * clock.Millisecond
	unlistedSpread = 4 * clock.Second
	// lowerStep replaces the step for instances that are not at the top level. There are
	// many of them, and all fail if the store is down.
	lowerStep = 250 * clock.Millisecond
	// fetchTimeout is the time after which a fetch without a result is abandoned.
	fetchTimeout = 1500 * clock.Millisecond
	// fetchBackoff is the pause after a failed fetch.
	fetchBackoff = 200 * clock.Millisecond
	// duplicateWindow is the time for which a confirmation shows that its source watches
	// the store.
	duplicateWindow = clock.Second
	// maxStoreFailure is the time after which an instance stops watching a store that
	// does not respond to it, if the store responds to another one or many try.
	maxStoreFailure = 1200 * clock.Millisecond
	// retryDelay is the time until such an instance may watch again.
	retryDelay = 5 * clock.Second
	// persistentRanks is the number of instances, by rank, that go on watching a store
	// that responds to none.
	persistentRanks = 3
)

// Timing has the times that follow from the settings.
type Timing struct {
	// Wait is the longest time for which a watch of the desired state waits for a change.
	Wait clock.Millis
	// Takeover is the age of the desired state from which the instance of rank 0 watches
	// the store; each further rank waits for one more Step.
	Takeover clock.Millis
	Step     clock.Millis
}

// The times in hundredths of the shortest bound on the age of the desired state. In normal
// operation an age is at most the wait and the time of some digests; the last instance at
// the top level takes over early enough for the others to get what has changed.
const (
	waitHundredths     = 25
	takeoverHundredths = 55
	stepHundredths     = 2
	// keyAgeHundredths is the part of the bound for withdrawn keys that counts as a bound
	// on the age: their requests still take some time to reach a server.
	keyAgeHundredths = 70
	hundred          = 100
)

// NewTiming returns the times for the bounds: configApply is the time within which a new
// desired state must be in use, and keyWithdrawal that for the withdrawal of a key.
func NewTiming(configApply, keyWithdrawal clock.Millis) Timing {
	bound := max(1, min(configApply, keyWithdrawal*keyAgeHundredths/hundred))
	return Timing{Wait: max(1, bound*waitHundredths/hundred), Takeover: bound * takeoverHundredths / hundred, Step: bound * stepHundredths / hundred}
}

// Copy is the state of the instance's copy of one kind.
type Copy struct {
	// Revision is the revision of the store up to which the copy has all changes. There
	// were none from there to Through. Both hold in the Era.
	Era      int64
	Revision int64
	Through  int64
	// ConfirmedAt is the latest time at which the copy was known to be current; 0 for
	// never. Source is the instance that learned it from the store.
	ConfirmedAt clock.Millis
	Source      uint32
}

// Position returns the position up to which the copy has all changes.
func (c Copy) Position() storeposition.Position {
	return storeposition.Position{Era: c.Era, Revision: c.Revision}
}

// Offer is a neighbor's copy of one kind. ConfirmedAt is 0 if its age is unknown.
type Offer struct {
	Kind     Kind
	Neighbor string
	Copy     Copy
	// SourceRank is the rank of the copy's source.
	SourceRank int
}

// Next is what to do now.
type Next struct {
	// Watch reports whether the instance shall watch the store.
	Watch bool
	// FetchFrom is the neighbor from which to fetch the changes; empty for none.
	FetchFrom string
}

// Replicator is the state of one instance's copies. It is not safe for concurrent use.
type Replicator struct {
	timing    Timing
	self      uint32
	startedAt clock.Millis
	copies    map[Kind]Copy
	watching  bool
	// watchingSince is the start of the watch; storeFailingSince the time since which
	// the store has not responded to this instance, 0 if it responds.
	watchingSince     clock.Millis
	storeFailingSince clock.Millis
	watchAllowedAt    clock.Millis
	// betterSourceAt is the time of the latest confirmation by another instance that
	// watches the store and has a better rank, and otherSourceAt that by any other.
	betterSourceAt clock.Millis
	otherSourceAt  clock.Millis
	// newer is the neighbor with the newest known revision of each kind that is newer
	// than the copy.
	newer        map[Kind]Offer
	fetchingFrom string
	fetchEndsBy  clock.Millis
	fetchAfter   clock.Millis
}

// New returns a Replicator without copies, of the instance with the identifier self.
func New(now clock.Millis, self uint32, timing Timing) *Replicator {
	return &Replicator{timing: timing, self: self, startedAt: now, copies: map[Kind]Copy{}, newer: map[Kind]Offer{}}
}

// Copy returns the state of the copy of the kind.
func (r *Replicator) Copy(kind Kind) Copy { return r.copies[kind] }

// Watching reports whether the instance watches the store.
func (r *Replicator) Watching() bool { return r.watching }

// Updated records that the objects of a kind were read, from the store or from a neighbor.
// A copy of an older position is not recorded.
func (r *Replicator) Updated(kind Kind, read Copy) {
	known := r.copies[kind]
	if read.Position().Before(known.Position()) {
		return
	}
	if read.Era > known.Era {
		known.Through = 0
	}
	if read.ConfirmedAt < known.ConfirmedAt {
		read.ConfirmedAt, read.Source = known.ConfirmedAt, known.Source
	}
	read.Through = max(read.Through, known.Through, read.Revision)
	r.copies[kind] = read
	if newer, ok := r.newer[kind]; ok && !newer.Copy.Position().After(read.Position()) {
		delete(r.newer, kind)
	}
}

// Offer records a neighbor's copy. It reports whether that confirms this instance's copy
// as of a later time than before: the neighbor has no newer revision, and states a time at
// which its copy was current.
func (r *Replicator) Offer(now clock.Millis, offer Offer, ownRank int) bool {
	known, ok := r.copies[offer.Kind]
	if offer.Copy.Era < known.Era {
		return false
	}
	if offer.Kind == State && offer.Copy.ConfirmedAt > 0 && offer.Copy.Source != r.self && now.Since(offer.Copy.ConfirmedAt) < r.timing.Takeover {
		r.otherSourceAt = now
		if offer.SourceRank < ownRank {
			r.betterSourceAt = now
		}
	}
	if !ok || offer.Copy.Position().After(known.Position()) {
		newer := r.newer[offer.Kind].Copy
		if offer.Copy.Position().After(newer.Position()) || (offer.Copy.Era == newer.Era && offer.Copy.ConfirmedAt > newer.ConfirmedAt) {
			r.newer[offer.Kind] = offer
		}
		return false
	}
	if offer.Copy.ConfirmedAt <= known.ConfirmedAt {
		return false
	}
	known.ConfirmedAt, known.Source = offer.Copy.ConfirmedAt, offer.Copy.Source
	if offer.Copy.Revision == known.Revision {
		known.Through = max(known.Through, offer.Copy.Through)
	}
	r.copies[offer.Kind] = known
	return true
}

// StoreResponded and StoreFailed record the result of a call of the watch.
func (r *Replicator) StoreResponded() { r.storeFailingSince = 0 }

// StoreFailed records that the store did not respond.
func (r *Replicator) StoreFailed(now clock.Millis) {
	if r.storeFailingSince == 0 {
		r.storeFailingSince = now
	}
}

// FetchEnded records the end of a fetch.
func (r *Replicator) FetchEnded(now clock.Millis, failed bool) {
	r.fetchingFrom = ""
	if failed {
		r.fetchAfter = now.Add(fetchBackoff)
		// The neighbor may be gone; others offer their copies again.
		clear(r.newer)
	}
}

// Unlisted is the rank of an instance that is not listed among the instances.
const Unlisted = -1

// Next returns what to do now. Rank is the instance's rank among all, and tops the number
// of instances at the top level, whose ranks come first.
func (r *Replicator) Next(now clock.Millis, rank, tops int) Next {
	r.updateWatching(now, rank, tops)
	return Next{Watch: r.watching, FetchFrom: r.nextFetch(now)}
}

func (r *Replicator) updateWatching(now clock.Millis, rank, tops int) {
	if !r.watching {
		if now >= r.watchAllowedAt && now >= r.takeoverAt(rank, tops) {
			r.watching, r.watchingSince, r.storeFailingSince = true, now, 0
		}
		return
	}
	if now.Since(r.watchingSince) < duplicateWindow {
		return
	}
	failing := r.storeFailingSince > 0 && now.Since(r.storeFailingSince) > maxStoreFailure
	otherWatches := r.otherSourceAt > 0 && now.Since(r.otherSourceAt) < duplicateWindow
	betterWatches := r.betterSourceAt > 0 && now.Since(r.betterSourceAt) < duplicateWindow
	switch {
	case betterWatches:
		r.watching = false
	case failing && (otherWatches || rank >= persistentRanks || rank == Unlisted):
		r.watching = false
		r.watchAllowedAt = now.Add(retryDelay)
	}
}

// takeoverAt returns the time from which an instance of the rank watches the store, unless
// the desired state is confirmed before.
func (r *Replicator) takeoverAt(rank, tops int) clock.Millis {
	if rank == Unlisted {
		spread := clock.Millis(int64(r.self) % int64(unlistedSpread))
		return max(r.startedAt, r.copies[State].ConfirmedAt).Add(unlistedDelay + spread)
	}
	delay := r.timing.Step * clock.Millis(min(rank, tops))
	if rank > tops {
		delay += lowerStep * clock.Millis(rank-tops)
	}
	if r.copies[State].ConfirmedAt == 0 {
		return r.startedAt.Add(startDelay + delay)
	}
	return r.copies[State].ConfirmedAt.Add(r.timing.Takeover + delay)
}

// nextFetch returns the neighbor to fetch from, and records that the fetch has begun. An
// instance whose watch works gets the changes from the store.
func (r *Replicator) nextFetch(now clock.Millis) string {
	if r.fetchingFrom != "" && now < r.fetchEndsBy {
		return ""
	}
	if len(r.newer) == 0 || now < r.fetchAfter || (r.watching && r.storeFailingSince == 0 && r.hasAll()) {
		return ""
	}
	for _, kind := range Kinds {
		if newer, ok := r.newer[kind]; ok {
			r.fetchingFrom, r.fetchEndsBy = newer.Neighbor, now.Add(fetchTimeout)
			return r.fetchingFrom
		}
	}
	return ""
}

// hasAll reports whether there is a copy of each kind that all instances copy.
func (r *Replicator) hasAll() bool {
	return !slices.ContainsFunc(Kinds, func(kind Kind) bool { return !kind.Optional() && r.copies[kind].ConfirmedAt == 0 })
}
