package router

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/journal"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
)

// drain begins to stop: the peers are told and the leases given up, and what is
// in flight is finished. Requests that still arrive are served.
func (r *Router) drain() {
	if r.draining {
		return
	}
	r.draining = true
	r.log(journal.New(journal.InstanceDraining, "").With("inFlight", len(r.flights)))
	r.beat()
	r.leaseSteps()
}

// stopWhenDrained ends the instance when nothing is left to finish.
func (r *Router) stopWhenDrained() {
	if !r.draining || r.stopped || len(r.flights) > 0 || len(r.settling) > 0 || r.holdsAny() {
		return
	}
	r.stopped = true
	r.log(journal.New(journal.InstanceStopped, ""))
	r.emit(action.Stop{})
}

func (r *Router) holdsAny() bool {
	for shard := range r.leases {
		if r.leases[shard].Held(r.now) {
			return true
		}
	}
	return false
}
