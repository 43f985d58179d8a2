package forwarder

import (
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/blamer"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/budgeter"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/desired"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/journal"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/site"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// lapseWindow is how long after the store's return an entry that went may only have
	// lapsed: entries of living servers are back within two seconds.
	lapseWindow = 2200 * clock.Millisecond
	// minLapseHeartbeats is how many heartbeats of the servers an outage must last for entries
	// to lapse: they do after three.
	minLapseHeartbeats = 2
	// interruptionTTL is how long a cut is remembered until it is known whether its server
	// crashed.
	interruptionTTL = 2 * clock.Second
	// maxInterruptions bounds the cuts remembered of a server.
	maxInterruptions = 64
)

// interruption is a request that was interruption off at a server.
type interruption struct {
	fingerprint string
	at          clock.Millis
}

// handleStateRead puts a newer desired state in force; an older one never comes back.
func (f *Forwarder) handleStateRead(read StateRead) {
	if read.State.Version < f.desired.Version {
		return
	}
	f.desiredConfirmedAt = max(f.desiredConfirmedAt, read.At)
	if read.State.Version == f.desired.Version {
		return
	}
	f.desired = read.State
	f.log(journal.New(journal.ConfigInForce, "").With("revision", f.desired.Version).With("routes", len(f.desired.Routes)).With("keys", len(f.desired.Keys)))
	f.limiter.Forget(func(team string) bool { _, ok := f.desired.Teams[team]; return ok })
	for _, name := range slices.Sorted(maps.Keys(f.desired.Teams)) {
		if team := f.desired.Teams[name]; team.Rate > 0 {
			f.limiter.Limit(f.now, name, team.Rate, team.Burst, f.initialTokens(team))
		}
	}
	f.scheduler.SetStore(f.cacheStore().CacheTokens)
	f.emit(SetLimits{Limits: f.desired.Limits})
}

// assumedRestarts is how many assumedRestarts of the whole fleet within one window the first tokens
// of a started instance allow for.
const assumedRestarts = 2

// initialTokens returns what the team's bucket has when this instance first knows the
// team. At the first start nothing has been used; later it is a part of the excess
// that the bounds allow.
func (f *Forwarder) initialTokens(team desired.Team) int64 {
	if f.settings.FirstStart {
		return team.Burst
	}
	window := float64(team.Rate)*float64(f.settings.Bounds.LimitWindow)/float64(clock.Second) + float64(team.Burst)
	return min(team.Burst, int64(window*f.settings.Bounds.LimitExcess/assumedRestarts))
}

// lapseDeadline returns until when entries that go may only have lapsed: for a moment
// after an outage that was long enough for that.
func (f *Forwarder) lapseDeadline() clock.Millis {
	if f.storeRecoveredAt.Since(f.storeFailedAt) < minLapseHeartbeats*f.settings.Bounds.Heartbeat {
		return 0
	}
	return f.storeRecoveredAt.Add(lapseWindow)
}

func (f *Forwarder) handleStoreFailed(failed StoreFailed) {
	if f.storeDown {
		return
	}
	f.storeDown = true
	f.storeFailedAt = f.now
	f.log(journal.New(journal.PlatformFailed, "").With("detail", failed.Detail).With("stateAge", f.now.Since(f.desiredConfirmedAt)))
}

func (f *Forwarder) handleStoreResponded() {
	if f.storeDown {
		f.storeDown = false
		f.storeRecoveredAt = f.now
		f.log(journal.New(journal.PlatformRecovered, "").With("after", f.now.Since(f.storeFailedAt)))
	}
}

func (f *Forwarder) handleServersListed(listed ServersListed) {
	f.haveServers = true
	for _, entry := range listed.Entries {
		f.handleServerChanged(ServerChanged{Entry: entry})
	}
	f.servers.Replace(f.now, listed.Entries, f.lapseDeadline())
}

func (f *Forwarder) handleServerChanged(changed ServerChanged) {
	if changed.Removed {
		f.log(journal.New(journal.ServerListed, "").With("server", changed.Entry.ID).With("state", "removed").With("lapsed", f.now < f.lapseDeadline()))
		f.servers.Remove(f.now, changed.Entry.ID, f.lapseDeadline())
		return
	}
	before, known := f.servers.Put(changed.Entry)
	if known && before.Born != changed.Entry.Born {
		f.handleServerCrash(changed.Entry.ID)
	}
	if !known || before.Draining != changed.Entry.Draining || before.Born != changed.Entry.Born {
		state := "ready"
		if changed.Entry.Draining {
			state = "draining"
		}
		f.log(journal.New(journal.ServerListed, "").With("server", changed.Entry.ID).With("state", state).With("service", changed.Entry.Service))
	}
}

// handleServerCrash takes in that a server has crashed: its cache is gone, and the requests
// that were cut off there lately are blamed.
func (f *Forwarder) handleServerCrash(id string) {
	f.scheduler.Forget(id)
	f.caches.Forget(id)
	delete(f.reportedWeights, id)
	f.log(journal.New(journal.ServerSuspected, "").With("server", id))
	for _, ended := range f.interruptions[id] {
		if f.now.Since(ended.at) <= interruptionTTL {
			f.recordCrash(ended.fingerprint, id)
		}
	}
	delete(f.interruptions, id)
}

func (f *Forwarder) recordInterruption(fl *flight) {
	recent := append(f.interruptions[fl.server], interruption{fingerprint: fl.request.Fingerprint, at: f.now})
	f.interruptions[fl.server] = recent[max(0, len(recent)-maxInterruptions):]
	if server, ok := f.servers.Server(fl.server); ok && server.Down() {
		f.recordCrash(fl.request.Fingerprint, fl.server)
	}
}

// recordCrash notes that a server crashed while the request ran there.
func (f *Forwarder) recordCrash(fingerprint, server string) {
	before := f.quarantine.State(f.now, fingerprint)
	if !f.quarantine.Suspect(f.now, fingerprint, blamer.Crash{Server: server, Domain: server}) {
		return
	}
	f.crashedServers[fingerprint] = append(f.crashedServers[fingerprint], server)
	if len(f.crashedServers) > maxSuspects {
		clear(f.crashedServers)
	}
	if before != blamer.Convicted && f.quarantine.State(f.now, fingerprint) == blamer.Convicted {
		f.log(journal.New(journal.RequestConvicted, "").With("fingerprint", fingerprint))
	}
}

func (f *Forwarder) checkDownServers() {
	for _, server := range f.servers.Due(f.now) {
		f.emitHealthCheck(server)
	}
}

func (f *Forwarder) handleHealthChecked(checked ServerChecked) {
	if checked.Healthy {
		server, ok := f.servers.Server(checked.Server)
		if ok && server.Down() {
			f.servers.Result(f.now, checked.Server, false)
			f.log(journal.New(journal.ServerRecovered, "").With("server", checked.Server))
		}
		return
	}
	if checked.Refused && f.servers.Unreachable(f.now, checked.Server) {
		f.handleServerCrash(checked.Server)
	}
}

// handleSettingsReloaded takes in changed settings. The bounds take effect at once; what a process
// is bound to at its start is logged and needs a restart.
func (f *Forwarder) handleSettingsReloaded(place site.Site) {
	fixed := place.Name == f.settings.Name && place.Callers == f.settings.Callers && place.Readiness == f.settings.Readiness && place.Peers == f.settings.Peers && place.Store == f.settings.Store
	f.log(journal.New(journal.SettingsRead, "").With("needsRestart", !fixed))
	if place.Bounds != f.settings.Bounds {
		f.retryBudget = budgeter.New(place.Bounds.RetryRatio, place.Bounds.RetryExtra, place.Bounds.RetryWindow)
	}
	f.settings.Bounds = place.Bounds
}
