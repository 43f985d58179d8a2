// Package orderer decides when engines are ordered to load new weights, and which
// instance may order.
//
// Load pattern: new weights are named while all engines are busy. An engine that
// loads serves nobody and comes back with an empty cache, so few load at a time,
// the least busy first, and the others carry the requests meanwhile; weights that
// are out of date before they are loaded are skipped.
//
// One instance orders at a time, under a lease in the platform's store whose
// revision is the fencing token of its orders. Nobody holds the lease while there
// is nothing to order.
//
// # Usage
//
//	orders := orderer.New("edge-1@10.0.0.1", turn)
//	orders.Named("model", 2, now, true)
//	for _, step := range orders.Next(now, view) { ... }
//	orders.LeaseRead(now, answer)
//	orders.Reported(now, server, report)
package orderer

import (
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/roster"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// atOnce is how many engines load at a time at most: loads take longer while more
	// do. Of a few engines, one in atOncePart loads, but at least one.
	atOnce     = 2
	atOncePart = 3
	// rankDelay is how long an instance leaves the orders to each one before it.
	rankDelay = 300 * clock.Millisecond
	// peerOrders is how long a peer that said that it gives orders is believed.
	peerOrders = clock.Second
	// loadTime is the shortest time that a load takes at the users' engines.
	loadTime = 300 * clock.Millisecond
	// pollEvery is the time between reports of an engine that loads.
	pollEvery = 120 * clock.Millisecond
	// answerWait bounds the wait for a report.
	answerWait = 600 * clock.Millisecond
	// orderWait bounds the wait for the answer to an order, which engines give at once:
	// many ways there and back. Meanwhile the engine may be idle.
	orderWait = 250 * clock.Millisecond
	// reportLag is how old what a report says may be: some hundred milliseconds.
	reportLag = 250 * clock.Millisecond
	// giveUpAfter is when an engine that did not come to its weights is begun anew.
	giveUpAfter = 6 * clock.Second
	// retryAfter is how long an engine that refused an order is left alone.
	retryAfter = 500 * clock.Millisecond
)

// Engine is an engine as the orderer needs it.
type Engine struct {
	roster.Entry
	Down bool
	// Requests is how many requests run there.
	Requests int
	// Unused tells that its weights are too old to serve: its load takes nothing from
	// the requests, so that it needs no place among the few that load at a time.
	Unused bool
}

// View is what a step is decided on.
type View struct {
	// Engines are all engines that are not leaving.
	Engines []Engine
	// Rank is the instance's place among those that live; 0 is the first.
	Rank int
	// StoreSteady tells that the store answers.
	StoreSteady bool
}

// Orderer is one instance's part in the orders. It is not safe for concurrent use.
type Orderer struct {
	lease   lease
	named   map[string]namings
	jobs    map[string]job
	paused  map[string]clock.Millis // paused are engines that are left alone until.
	others  clock.Millis            // others is until when a peer is taken to order.
	behind  clock.Millis            // behind is since when engines have old weights; 0 if none has.
	granted Update                  // granted is the last update made for a peer.
}

// New returns the Orderer of the instance; turn is the least time between the
// orders of two holders.
func New(self string, turn clock.Millis) *Orderer {
	return &Orderer{lease: lease{self: self, turn: turn}, named: map[string]namings{}, jobs: map[string]job{}, paused: map[string]clock.Millis{}}
}

// Updating returns the engines that are being updated from here, but for those that
// have not answered an order and may go on serving.
func (o *Orderer) Updating() []string {
	var updating []string
	for _, id := range slices.Sorted(maps.Keys(o.jobs)) {
		if job := o.jobs[id]; job.accepted || !job.unheard {
			updating = append(updating, id)
		}
	}
	return updating
}

// Sight returns the latest sight of the lease, for peers.
func (o *Orderer) Sight() Sight { return o.lease.sight }

// PeerSaw takes in a peer's sight of the lease, and whether it gives orders.
func (o *Orderer) PeerSaw(now clock.Millis, sight Sight, orders bool) {
	if sight.Revision > 0 {
		o.lease.saw(now, sight)
	}
	if orders {
		o.others = now.Add(peerOrders)
	}
}

// Holding reports whether the instance may order at now.
func (o *Orderer) Holding(now clock.Millis) bool { return o.lease.held(now) }

// LeaseRead takes in the answer to a ReadLease.
func (o *Orderer) LeaseRead(now clock.Millis, answer objectstore.Response) {
	o.lease.read(now, answer)
}

// LeaseWritten takes in the answer to a WriteLease, the own or a peer's.
func (o *Orderer) LeaseWritten(now clock.Millis, record Record, answer objectstore.Response) {
	if record.Holder == o.lease.self {
		o.lease.written(now, record, answer)
		return
	}
	if answer.Outcome == objectstore.Done {
		o.lease.saw(now, Sight{Revision: answer.Version, Holder: record.Holder, Writes: record.Writes})
	}
}

// Next returns the steps to take at now.
func (o *Orderer) Next(now clock.Millis, view View) []Step {
	old := o.outdated(view)
	o.dropJobs(now, view)
	if len(old) == 0 && len(o.jobs) == 0 {
		o.behind = 0
		return o.learn(now, view)
	}
	if o.behind == 0 {
		o.behind = now
	}
	if !o.lease.held(now) {
		clear(o.jobs)
		return o.take(now, view)
	}
	var steps []Step
	if now >= o.lease.writeDue && !o.lease.busy {
		steps = append(steps, o.write(now))
	}
	return append(steps, o.work(now, old, placesFor(view))...)
}

// learn reads the lease once, so that it is known how long it has not changed when
// there is something to order.
func (o *Orderer) learn(now clock.Millis, view View) []Step {
	if o.lease.known || o.lease.busy || !view.StoreSteady || now < o.lease.readDue {
		return nil
	}
	o.lease.busy = true
	o.lease.readDue = now.Add(readEvery)
	return []Step{ReadLease{}}
}

func (o *Orderer) take(now clock.Millis, view View) []Step {
	if !o.lease.known {
		return o.learn(now, view)
	}
	wait := o.behind
	if o.lease.sight.Holder != o.lease.self {
		wait = wait.Add(rankDelay * clock.Millis(view.Rank))
		if now < o.others {
			return nil
		}
	}
	if o.lease.busy || now < o.lease.writeDue || now < o.lease.freeAt() || now < wait {
		return nil
	}
	return []Step{o.write(now)}
}

func (o *Orderer) write(now clock.Millis) Step {
	o.lease.busy = true
	return WriteLease{Update: o.lease.update(now)}
}

// Wish returns the update of the lease that the holder asks a peer to make as well,
// because the store does not answer here; the zero Update when there is none.
func (o *Orderer) Wish(now clock.Millis) Update {
	if !o.lease.held(now) || o.lease.pending == (Update{}) || now.Since(o.lease.pendingAt) < wishAfter {
		return Update{}
	}
	return o.lease.pending
}

// Grant returns the step that makes a peer's wished update, once.
func (o *Orderer) Grant(wish Update) []Step {
	if wish == (Update{}) || wish == o.granted {
		return nil
	}
	o.granted = wish
	return []Step{WriteLease{Update: wish}}
}
