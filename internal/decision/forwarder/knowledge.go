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
	// lapseFor is how long after the store's return an entry that went may only have
	// lapsed: entries of living servers are back within two seconds.
	lapseFor = 2200 * clock.Millisecond
	// lapseBeats is how many heartbeats of the servers an outage must last for entries
	// to lapse: they do after three.
	lapseBeats = 2
	// cutMemory is how long a cut is remembered until it is known whether its server
	// crashed.
	cutMemory = 2 * clock.Second
	// maxCuts bounds the cuts remembered of a server.
	maxCuts = 64
)

// cut is a request that was cut off at a server.
type cut struct {
	fingerprint string
	at          clock.Millis
}

// stateRead puts a newer desired state in force; an older one never comes back.
func (f *Forwarder) stateRead(read StateRead) {
	if read.State.Version < f.state.Version {
		return
	}
	f.stateAt = max(f.stateAt, read.At)
	if read.State.Version == f.state.Version {
		return
	}
	f.state = read.State
	f.log(journal.New(journal.ConfigInForce, "").With("revision", f.state.Version).With("routes", len(f.state.Routes)).With("keys", len(f.state.Keys)))
	f.shares.Forget(func(team string) bool { _, ok := f.state.Teams[team]; return ok })
	for _, name := range slices.Sorted(maps.Keys(f.state.Teams)) {
		if team := f.state.Teams[name]; team.Rate > 0 {
			f.shares.Limit(f.now, name, team.Rate, team.Burst, f.firstTokens(team))
		}
	}
	f.places.SetStore(f.keptCache().CacheTokens)
	f.emit(SetLimits{Limits: f.state.Limits})
}

// restarts is how many restarts of the whole fleet within one window the first tokens
// of a started instance allow for.
const restarts = 2

// firstTokens returns what the team's bucket has when this instance first knows the
// team. At the first start nothing has been used; later it is a part of the excess
// that the bounds allow.
func (f *Forwarder) firstTokens(team desired.Team) int64 {
	if f.site.FirstStart {
		return team.Burst
	}
	window := float64(team.Rate)*float64(f.site.Bounds.LimitWindow)/float64(clock.Second) + float64(team.Burst)
	return min(team.Burst, int64(window*f.site.Bounds.LimitExcess/restarts))
}

// lapsedUntil returns until when entries that go may only have lapsed: for a moment
// after an outage that was long enough for that.
func (f *Forwarder) lapsedUntil() clock.Millis {
	if f.storeBack.Since(f.storeTrouble) < lapseBeats*f.site.Bounds.Heartbeat {
		return 0
	}
	return f.storeBack.Add(lapseFor)
}

func (f *Forwarder) storeFailed(failed StoreFailed) {
	if f.storeDown {
		return
	}
	f.storeDown = true
	f.storeTrouble = f.now
	f.log(journal.New(journal.PlatformFailed, "").With("detail", failed.Detail).With("stateAge", f.now.Since(f.stateAt)))
}

func (f *Forwarder) storeAnswered() {
	if f.storeDown {
		f.storeDown = false
		f.storeBack = f.now
		f.log(journal.New(journal.PlatformRecovered, "").With("after", f.now.Since(f.storeTrouble)))
	}
}

func (f *Forwarder) serversListed(listed ServersListed) {
	f.listed = true
	for _, entry := range listed.Entries {
		f.serverChanged(ServerChanged{Entry: entry})
	}
	f.servers.Replace(f.now, listed.Entries, f.lapsedUntil())
}

func (f *Forwarder) serverChanged(changed ServerChanged) {
	if changed.Removed {
		f.log(journal.New(journal.ServerListed, "").With("server", changed.Entry.ID).With("state", "removed").With("lapsed", f.now < f.lapsedUntil()))
		f.servers.Remove(f.now, changed.Entry.ID, f.lapsedUntil())
		return
	}
	before, known := f.servers.Put(changed.Entry)
	if known && before.Born != changed.Entry.Born {
		f.wentDown(changed.Entry.ID)
	}
	if !known || before.Draining != changed.Entry.Draining || before.Born != changed.Entry.Born {
		state := "ready"
		if changed.Entry.Draining {
			state = "draining"
		}
		f.log(journal.New(journal.ServerListed, "").With("server", changed.Entry.ID).With("state", state).With("service", changed.Entry.Service))
	}
}

// wentDown takes in that a server has crashed: its cache is gone, and the requests
// that were cut off there lately are blamed.
func (f *Forwarder) wentDown(id string) {
	f.places.Forget(id)
	f.caches.Forget(id)
	delete(f.rumours, id)
	f.log(journal.New(journal.ServerSuspected, "").With("server", id))
	for _, ended := range f.cuts[id] {
		if f.now.Since(ended.at) <= cutMemory {
			f.blameFor(ended.fingerprint, id)
		}
	}
	delete(f.cuts, id)
}

func (f *Forwarder) noteCut(fl *flight) {
	recent := append(f.cuts[fl.server], cut{fingerprint: fl.request.Fingerprint, at: f.now})
	f.cuts[fl.server] = recent[max(0, len(recent)-maxCuts):]
	if server, ok := f.servers.Server(fl.server); ok && server.Down() {
		f.blameFor(fl.request.Fingerprint, fl.server)
	}
}

// blameFor notes that a server crashed while the request ran there.
func (f *Forwarder) blameFor(fingerprint, server string) {
	before := f.blame.State(f.now, fingerprint)
	if !f.blame.RecordCrash(f.now, fingerprint, blamer.Crash{Server: server, Domain: server}) {
		return
	}
	f.crashes[fingerprint] = append(f.crashes[fingerprint], server)
	if len(f.crashes) > maxBlamed {
		clear(f.crashes)
	}
	if before != blamer.Blocked && f.blame.State(f.now, fingerprint) == blamer.Blocked {
		f.log(journal.New(journal.RequestConvicted, "").With("fingerprint", fingerprint))
	}
}

func (f *Forwarder) checkServers() {
	for _, server := range f.servers.Due(f.now) {
		f.emitCheck(server)
	}
}

func (f *Forwarder) serverChecked(checked ServerChecked) {
	if checked.Healthy {
		server, ok := f.servers.Server(checked.Server)
		if ok && server.Down() {
			f.servers.Result(f.now, checked.Server, false)
			f.log(journal.New(journal.ServerRecovered, "").With("server", checked.Server))
		}
		return
	}
	if checked.Refused && f.servers.Unreachable(f.now, checked.Server) {
		f.wentDown(checked.Server)
	}
}

// siteRead takes in changed settings. The bounds take effect at once; what a process
// is bound to at its start is logged and needs a restart.
func (f *Forwarder) siteRead(place site.Site) {
	fixed := place.Name == f.site.Name && place.Callers == f.site.Callers && place.Readiness == f.site.Readiness && place.Peers == f.site.Peers && place.Store == f.site.Store
	f.log(journal.New(journal.SettingsRead, "").With("needsRestart", !fixed))
	if place.Bounds != f.site.Bounds {
		f.budget = budgeter.New(place.Bounds.RetryRatio, place.Bounds.RetryExtra, place.Bounds.RetryWindow)
	}
	f.site.Bounds = place.Bounds
}
