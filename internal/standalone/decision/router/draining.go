package router

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
)

// startDrain starts the shutdown: it notifies the peers and releases the leases.
// In-flight requests are completed, and requests that still arrive are served.
func (r *Router) startDrain() {
	if r.draining {
		return
	}
	r.draining = true
	r.log(eventlog.New(eventlog.InstanceDraining, "").With("inFlight", len(r.flights)))
	r.broadcastHeartbeat()
	r.advanceLeases()
}

// stopWhenDrained stops the instance when no request, call record or lease is left.
func (r *Router) stopWhenDrained() {
	if !r.draining || r.stopped || len(r.flights) > 0 || len(r.settling) > 0 || r.holdsAnyLease() {
		return
	}
	r.stopped = true
	r.log(eventlog.New(eventlog.InstanceStopped, ""))
	r.emit(action.Stop{})
}

func (r *Router) holdsAnyLease() bool {
	for shard := range r.leases {
		if r.leases[shard].Held(r.now) {
			return true
		}
	}
	return false
}
