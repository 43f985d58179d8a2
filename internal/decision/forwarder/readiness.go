package forwarder

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/replicator"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// ReadyAt reports whether a load balancer should send requests to this instance at now.
func (f *Forwarder) ReadyAt(now clock.Millis) bool {
	f.now = now
	return !f.draining && f.desired.Version > 0 && f.haveServers && !f.keysStale() && !f.awaitsAssignments() && !f.awaitsVersions()
}

// maxVersionsWait limits the time for which an instance that knows the servers waits for the versions of
// weights: two calls to the store without an answer, and the pauses after them.
const maxVersionsWait = 3 * clock.Second

// awaitsVersions reports whether servers have weights of which this instance, which has just started, can't tell
// whether they are superseded: it has no copy of the versions, and no peer has named one.
func (f *Forwarder) awaitsVersions() bool {
	if f.now.Since(f.haveServersSince) >= maxVersionsWait || f.replicas.Copy(replicator.Weights).ConfirmedAt > 0 {
		return false
	}
	loaded := false
	for _, server := range f.servers.All() {
		for model := range server.WeightVersions {
			if f.rollout.Newest(model) > 0 {
				return false
			}
			loaded = true
		}
	}
	return loaded
}

// InFlight returns the number of in-flight requests and of tunnels.
func (f *Forwarder) InFlight() int { return len(f.flights) + len(f.tunnels) }

// maxKeyAgeTenths is the age limit of the desired state for keyed requests, in tenths
// of the bound for withdrawn keys; the rest covers clock drift and the network
// delay to the server.
const maxKeyAgeTenths = 9

// keysStale reports whether the desired state is so old that a key may have been
// withdrawn longer ago than the bound allows.
func (f *Forwarder) keysStale() bool {
	return f.settings.Bounds.StrictKeys && f.desired.RequiresKeys() && f.now.Since(f.desiredConfirmedAt) > f.maxKeyAge()
}

// maxKeyAge returns the age of the desired state up to which its keys are used.
func (f *Forwarder) maxKeyAge() clock.Millis {
	return f.settings.Bounds.KeyWithdrawal * maxKeyAgeTenths / 10
}

// desiredFresh reports whether the desired state is recent enough that it can't have
// been replaced for longer than the bound allows.
func (f *Forwarder) desiredFresh() bool {
	return f.now.Since(f.desiredConfirmedAt) <= f.settings.Bounds.ConfigApply
}

// jitter returns a pseudo-random number in [0, limit).
func (f *Forwarder) jitter(limit int64) int64 {
	f.randomState ^= f.randomState << 13
	f.randomState ^= f.randomState >> 7
	f.randomState ^= f.randomState << 17
	return int64(f.randomState % uint64(max(1, limit)))
}
