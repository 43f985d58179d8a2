package forwarder

import "github.com/hyssopdoor/hyssopdoor/pkg/clock"

// Status is what an operator may ask an instance about its place among the others.
type Status struct {
	// Listed is the number of instances that are listed, and Reachable that of those which
	// this instance can reach, directly or through others; both include this one.
	Listed    int `json:"listed"`
	Reachable int `json:"reachable"`
	// Top reports whether the instance is at the top level. Otherwise Upstream is the
	// instance above it; empty for none. Below is the number of those directly below it.
	Top      bool   `json:"top"`
	Upstream string `json:"upstream"`
	Below    int    `json:"below"`
	// WatchesStore reports whether the instance watches the store, and HoldsLease whether
	// it may order engines to load weights.
	WatchesStore bool `json:"watchesStore"`
	HoldsLease   bool `json:"holdsLease"`
	// WaitingForCapacity is the number of requests that wait for capacity of the servers.
	WaitingForCapacity int `json:"waitingForCapacity"`
	// KnownOrigins is the number of streams of which the instance knows where they began.
	KnownOrigins int `json:"knownOrigins"`
	// StoreEra is the era of the store, which rises when the store comes back from an older
	// copy; 0 if the store has named none.
	StoreEra int64 `json:"storeEra"`
	// StateVersion is the version of the desired state, and StateAge the time in
	// milliseconds since it was last known to be current.
	StateVersion int64        `json:"stateVersion"`
	StateAge     clock.Millis `json:"stateAge"`
	// Rollouts are the roll-outs of software by service.
	Rollouts map[string]RolloutStatus `json:"rollouts,omitempty"`
}

// RolloutStatus is the state of a roll-out of a service's software, as far as the instance
// knows.
type RolloutStatus struct {
	Target  string       `json:"target"`
	Phase   string       `json:"phase"`
	Verdict string       `json:"verdict"`
	Share   float64      `json:"share"`
	Age     clock.Millis `json:"age"`
	// TargetRequests, AllRequests and OldRunning are as in digests. Good and Bad are the
	// target's answers.
	TargetRequests int64 `json:"targetRequests"`
	AllRequests    int64 `json:"allRequests"`
	OldRunning     int64 `json:"oldRunning"`
	Good           int64 `json:"good"`
	Bad            int64 `json:"bad"`
}

func (f *Forwarder) rolloutStatus() map[string]RolloutStatus {
	rollouts := make(map[string]RolloutStatus, len(f.exposures))
	for service, e := range f.exposures {
		state, known := f.exposureSums.orders[e.id]
		if !known {
			continue
		}
		sums := f.allExposure(e)
		status := RolloutStatus{
			Target: e.order.Target, Phase: state.phase.String(), Verdict: e.final.String(), Share: e.decision.Share, Age: f.now.Since(state.seenAt),
			TargetRequests: sums.TargetRequests, AllRequests: sums.AllRequests, OldRunning: sums.OldRunning,
		}
		for _, compared := range sums.Routes {
			status.Good += compared.Target.OK
			status.Bad += compared.Target.Bad()
		}
		rollouts[service] = status
	}
	return rollouts
}

// StatusAt returns the status at now.
func (f *Forwarder) StatusAt(now clock.Millis) Status {
	f.now = max(f.now, now)
	return Status{
		Listed: f.instanceCount(), Reachable: f.reachableCount(),
		Top: f.actsAsTop(), Upstream: f.upstream, Below: len(f.neighborsIn(below)),
		WatchesStore: f.replicas != nil && f.replicas.Watching(), HoldsLease: f.rollout.HoldsLease(f.now),
		WaitingForCapacity: f.admitter.Waiting(), KnownOrigins: f.origins.Len(),
		StoreEra: f.eras.Era(), StateVersion: f.desired.Version, StateAge: f.now.Since(f.desiredConfirmedAt),
		Rollouts: f.rolloutStatus(),
	}
}
