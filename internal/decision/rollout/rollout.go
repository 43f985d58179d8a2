// Package rollout rolls out new model weights: it decides which engines are ordered to
// load them, when, and which instance may send the orders.
//
// Load pattern: new weights are published while all engines are busy. An engine that
// loads weights serves no requests and starts again with an empty cache, so few
// engines load at a time, the least busy first, while the others serve the requests.
// Versions that are superseded before they are loaded are skipped.
//
// One instance sends orders at a time. It holds a lease in the platform's store; the
// revision at which it acquired the lease is the fencing token of its orders. Nobody
// renews the lease while there is nothing to order.
//
// # Usage
//
//	controller := rollout.New("edge-1@10.0.0.1", minHandover)
//	controller.AddVersion(now, "model", 2, now, true)
//	for _, step := range controller.Next(now, view) { ... }
//	controller.HandleLeaseRead(now, response)
//	controller.HandleReport(now, server, report)
package rollout

import (
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/registry"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// maxConcurrentLoads limits how many engines load at a time, because concurrent
	// loads slow each other down. In small clusters it is one in enginesPerLoad
	// engines, but at least one.
	maxConcurrentLoads = 2
	enginesPerLoad     = 3
	// rolloutTenths is the part of the age limit of weights, in tenths, in which all
	// engines shall have loaded new ones. Where that takes more than maxConcurrentLoads
	// at a time, up to one in enginesPerLargeLoad engines load.
	rolloutTenths       = 6
	enginesPerLargeLoad = 5
	// assumedLoadTime is the time from an order until the engine has loaded, until one
	// was observed; loadTimeWeight is the weight of the latest observation.
	assumedLoadTime = 700.0
	loadTimeWeight  = 0.2
	// acquireDelayPerRank delays the acquisition of the lease, for each instance of a
	// lower rank.
	acquireDelayPerRank = 300 * clock.Millisecond
	// peerHolderTimeout is the time for which a peer that reported itself as the holder
	// keeps this instance from acquiring the lease.
	peerHolderTimeout = clock.Second
	// minLoadTime is the shortest load time of the platform's engines.
	minLoadTime = 300 * clock.Millisecond
	// pollInterval is the time between reports of an engine that loads.
	pollInterval = 120 * clock.Millisecond
	// reportTimeout limits the wait for a report.
	reportTimeout = 600 * clock.Millisecond
	// orderTimeout limits the wait for the response to an order. Engines respond at
	// once, so it covers many round trips. The engine may be idle meanwhile.
	orderTimeout = 250 * clock.Millisecond
	// maxReportAge is the age that the data in a report may have: some hundred
	// milliseconds.
	maxReportAge = 250 * clock.Millisecond
	// jobTimeout ends a job whose engine has not loaded its weights in this time since
	// the job's start or its latest order; the engine gets a new job.
	jobTimeout = 6 * clock.Second
	// misdirectedDelay is the time without new jobs for an engine after an order to
	// its address did not reach it.
	misdirectedDelay = 500 * clock.Millisecond
)

// Engine is the state of an engine that the decisions depend on.
type Engine struct {
	registry.Entry
	Down bool
	// Requests is the number of requests in flight at the engine.
	Requests int
	// TooOld is set if the engine's weights are too old to serve. Its load takes no
	// capacity from the requests, so it need not wait for the limit on concurrent
	// loads.
	TooOld bool
}

// View is the input of Next.
type View struct {
	// Engines are all engines that are not leaving.
	Engines []Engine
	// Rank is the instance's position among the live instances, from 0.
	Rank int
	// StoreReachable reports whether the store can be reached.
	StoreReachable bool
	// NeedsLease reports whether the instance needs the lease for something other than
	// orders to engines.
	NeedsLease bool
	// MaxWeightsAge is the time within which all engines must have loaded new weights.
	MaxWeightsAge clock.Millis
}

// Controller is one instance's state of the rollout. It is not safe for concurrent use.
type Controller struct {
	lease          lease
	versions       map[string]versionHistory // versions is keyed by model.
	jobs           map[string]job            // jobs is keyed by engine ID.
	pausedUntil    map[string]clock.Millis   // pausedUntil is the earliest time of an engine's next job, keyed by engine ID.
	peerHoldsUntil clock.Millis              // peerHoldsUntil is the time up to which a peer counts as the holder.
	outdatedSince  clock.Millis              // outdatedSince is the time since which there are outdated engines or jobs; 0 for none.
	lastRelayed    Update                    // lastRelayed is the latest update that a peer requested.
	loadTime       float64                   // loadTime is the moving average of the time of a load, in milliseconds.
}

// New returns the Controller of the instance self. MinHandover is the minimum time
// between the orders of two holders.
func New(self string, minHandover clock.Millis) *Controller {
	return &Controller{lease: lease{self: self, minHandover: minHandover}, versions: map[string]versionHistory{}, jobs: map[string]job{}, pausedUntil: map[string]clock.Millis{}, loadTime: assumedLoadTime}
}

// LoadingEngines returns the engines that this instance is updating, without those that
// have not responded to an order and may still serve requests.
func (c *Controller) LoadingEngines() []string {
	var updating []string
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		if job := c.jobs[id]; job.accepted || !job.unanswered {
			updating = append(updating, id)
		}
	}
	return updating
}

// Observation returns the latest observation of the lease, for peers.
func (c *Controller) Observation() Observation { return c.lease.observed }

// SeeEra records the era of the store, before anything of that era is handled. In a new
// era the instance holds no lease, whatever it held before. Those of an earlier era and of
// a peer that knows none are ignored.
func (c *Controller) SeeEra(now clock.Millis, era int64) {
	if era > c.lease.observed.Era {
		c.lease.enterEra(now, era)
		c.lastRelayed = Update{}
	}
}

// HandlePeerState handles a peer's observation of the lease. IsHolder reports whether the
// peer holds the lease.
func (c *Controller) HandlePeerState(now clock.Millis, observed Observation, isHolder bool) {
	if observed.Revision > 0 {
		c.lease.observe(now, observed)
	}
	if isHolder {
		c.peerHoldsUntil = now.Add(peerHolderTimeout)
	}
}

// HoldsLease reports whether the instance holds the lease and may send orders.
func (c *Controller) HoldsLease(now clock.Millis) bool { return c.lease.isHeld(now) }

// HandleLeaseRead handles the response to a ReadLease.
func (c *Controller) HandleLeaseRead(now clock.Millis, response objectstore.Response) {
	c.lease.handleRead(now, response)
}

// HandleLeaseWritten handles the response to a WriteLease, for this instance or for a peer.
func (c *Controller) HandleLeaseWritten(now clock.Millis, record Record, response objectstore.Response) {
	if record.Holder == c.lease.self {
		c.lease.handleWrite(now, record, response)
		return
	}
	if response.Outcome == objectstore.Done {
		c.lease.observe(now, Observation{Era: response.Era, Revision: response.Version, Holder: record.Holder, Writes: record.Writes})
	}
}

// Next returns the steps to take at now.
func (c *Controller) Next(now clock.Millis, view View) []Step {
	outdated := c.outdatedEngines(view)
	c.removeJobs(now, view)
	if len(outdated) == 0 && len(c.jobs) == 0 && !view.NeedsLease {
		c.outdatedSince = 0
		return c.readLease(now, view)
	}
	if c.outdatedSince == 0 {
		c.outdatedSince = now
	}
	if !c.lease.isHeld(now) {
		clear(c.jobs)
		return c.acquireLease(now, view)
	}
	var steps []Step
	if now >= c.lease.nextWriteAt && !c.lease.callInFlight {
		steps = append(steps, c.writeLease(now))
	}
	return append(steps, c.advanceJobs(now, outdated, c.loadLimit(view))...)
}

// readLease reads the lease once, also without work, so that the time since its last
// change is known when work arrives.
func (c *Controller) readLease(now clock.Millis, view View) []Step {
	if c.lease.known || c.lease.callInFlight || !view.StoreReachable || now < c.lease.nextReadAt {
		return nil
	}
	if c.lease.eraChanged && view.Rank > 0 && (c.outdatedSince == 0 || now < c.acquireFrom(view)) {
		// The others learn from their peers what the first one reads.
		return nil
	}
	c.lease.callInFlight = true
	c.lease.nextReadAt = now.Add(readInterval)
	return []Step{ReadLease{}}
}

func (c *Controller) acquireLease(now clock.Millis, view View) []Step {
	if !c.lease.known {
		return c.readLease(now, view)
	}
	earliest := c.outdatedSince
	if c.lease.observed.Holder != c.lease.self {
		earliest = c.acquireFrom(view)
		if now < c.peerHoldsUntil {
			return nil
		}
	}
	if c.lease.callInFlight || now < c.lease.nextWriteAt || now < c.lease.availableAt() || now < earliest {
		return nil
	}
	return []Step{c.writeLease(now)}
}

// acquireFrom returns the time from which an instance of the rank may acquire the lease of
// another one.
func (c *Controller) acquireFrom(view View) clock.Millis {
	return c.outdatedSince.Add(acquireDelayPerRank * clock.Millis(view.Rank))
}

func (c *Controller) writeLease(now clock.Millis) Step {
	c.lease.callInFlight = true
	return WriteLease{Update: c.lease.nextUpdate(now)}
}

// RelayRequest returns the update of the lease that the holder requests a peer to write as
// well, because the store does not respond here. It returns the zero Update if there is
// none.
func (c *Controller) RelayRequest(now clock.Millis) Update {
	if !c.lease.isHeld(now) || c.lease.pending == (Update{}) || now.Since(c.lease.pendingSince) < relayDelay {
		return Update{}
	}
	return c.lease.pending
}

// Relay returns the step that writes the update that a peer requested. A repeated
// request, or one of another era of the store, returns no step.
func (c *Controller) Relay(requested Update) []Step {
	if requested == (Update{}) || requested == c.lastRelayed || requested.Era != c.lease.observed.Era {
		return nil
	}
	c.lastRelayed = requested
	return []Step{WriteLease{Update: requested}}
}
