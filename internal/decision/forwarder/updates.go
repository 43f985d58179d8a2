package forwarder

import (
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/cachesalter"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/desired"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/digest"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/instancesettings"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/partquarantine"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/quarantine"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/relayer"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/retrybudget"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/scheduler"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// expiryWindow is the time after the store's recovery in which a vanished entry may
	// have merely expired: the entries of live servers are back within two seconds.
	expiryWindow = 2200 * clock.Millisecond
	// minOutageHeartbeats is the shortest outage, in heartbeats of the servers, in
	// which entries may expire: an entry expires three heartbeats after its last one,
	// which may have come up to one heartbeat before the outage.
	minOutageHeartbeats = 2
	// interruptionTTL is the time for which an interruption is kept, until it is known
	// whether its server crashed.
	interruptionTTL = 2 * clock.Second
	// maxServerNames limits the identifiers of servers that are kept, also of removed
	// ones.
	maxServerNames = 8192
	// maxInterruptions limits the interruptions kept for a server.
	maxInterruptions = 64
)

// interruption is a request whose response was interrupted at a server.
type interruption struct {
	fingerprint string
	at          clock.Millis
	// hasHead reports whether the head of a successful response had arrived, and answering
	// whether events had.
	hasHead   bool
	answering bool
	// answeringSince is the time of the first event, and parts has the parts of the prompt.
	answeringSince clock.Millis
	parts          partquarantine.Request
}

// handleStateRead applies a newer desired state and ignores older ones.
func (f *Forwarder) handleStateRead(read StateRead) {
	if read.State.Version < f.desired.Version {
		return
	}
	f.confirmState(read.ConfirmedAt)
	if read.State.Version == f.desired.Version {
		return
	}
	f.desired, f.salter = read.State, cachesalter.New(read.State.Teams)
	f.updateStreamRoutes()
	entry := eventlog.New(eventlog.ConfigInForce, "").With("revision", f.desired.Version).With("routes", len(f.desired.Routes)).With("keys", len(f.desired.Keys))
	f.log(entry.With("cacheScope", f.salter.Common()))
	f.setPriorities()
	f.limiter.Retain(func(team string) bool { _, ok := f.desired.Teams[team]; return ok })
	for _, name := range slices.Sorted(maps.Keys(f.desired.Teams)) {
		if team := f.desired.Teams[name]; team.Rate > 0 {
			f.limiter.SetLimit(f.now, name, team.Rate, team.Burst, f.initialTokens(team))
		}
	}
	f.teamNames = make(map[uint32]string, len(f.desired.Teams))
	for name := range f.desired.Teams {
		f.teamNames[digest.ID(name)] = name
	}
	f.resetServerNames()
	f.scheduler.SetStoreCapacity(f.cacheStore().CacheTokens)
	f.emit(SetLimits{Limits: f.desired.Limits})
}

// assumedRestarts is the number of restarts of the whole cluster within one limit window
// that the initial tokens of a started instance allow for.
const assumedRestarts = 2

// initialTokens returns the initial level of a team's bucket at this instance. At the
// cluster's first start nothing has been used yet, so it is the burst; later it is a part
// of the excess that the bounds allow.
func (f *Forwarder) initialTokens(team desired.Team) int64 {
	if f.settings.FirstStart {
		return team.Burst
	}
	windowTokens := float64(team.Rate)*float64(f.settings.Bounds.LimitWindow)/float64(clock.Second) + float64(team.Burst)
	return min(team.Burst, int64(windowTokens*f.settings.Bounds.LimitExcess/assumedRestarts))
}

// expiryWindowEnd returns the time until which vanished entries may have merely expired
// in an outage of the store; 0 if the outage was too short for that.
func (f *Forwarder) expiryWindowEnd() clock.Millis {
	if f.storeRecoveredAt.Since(f.storeFailedAt) < minOutageHeartbeats*f.settings.Bounds.HeartbeatInterval {
		return 0
	}
	return f.storeRecoveredAt.Add(expiryWindow)
}

func (f *Forwarder) handleStoreFailed(failed StoreFailed) {
	f.replicas.StoreFailed(f.now)
	if f.storeDown {
		return
	}
	f.storeDown = true
	f.storeFailedAt = f.now
	f.log(eventlog.New(eventlog.PlatformFailed, "").With("detail", failed.Detail).With("stateAge", f.now.Since(f.desiredConfirmedAt)))
}

func (f *Forwarder) handleStoreResponded() {
	f.replicas.StoreResponded()
	if f.storeDown {
		f.storeDown = false
		f.storeRecoveredAt = f.now
		f.log(eventlog.New(eventlog.PlatformRecovered, "").With("after", f.now.Since(f.storeFailedAt)))
	}
}

func (f *Forwarder) handleServersListed(listed ServersListed) {
	for _, entry := range listed.Entries {
		f.handleServerChanged(ServerChanged{Entry: entry})
	}
	if !f.haveServers {
		f.haveServers, f.haveServersSince = true, f.now
	}
	f.servers.Replace(f.now, listed.Entries, max(f.expiryWindowEnd(), f.eras.EntriesSettledAt()))
	f.updateSoleVersions()
	f.forgetRemoved()
}

// forgetRemoved drops the caches of servers that were removed, so that nothing is fetched
// from there.
func (f *Forwarder) forgetRemoved() {
	f.scheduler.Retain(func(id string) bool {
		_, known := f.servers.Server(id)
		return known || id == scheduler.StoreID
	})
	maps.DeleteFunc(f.startsSeen, func(id string, _ clock.Millis) bool {
		_, known := f.servers.Server(id)
		return !known
	})
	f.forgetStarts()
	f.paths.Retain(func(id string) bool {
		_, known := f.servers.Server(id)
		return known
	})
}

func (f *Forwarder) handleServerChanged(changed ServerChanged) {
	if changed.Removed {
		f.keepers = nil
		f.log(eventlog.New(eventlog.ServerListed, "").With("server", changed.Entry.ID).With("state", "removed").With("lapsed", f.now < f.expiryWindowEnd()))
		f.servers.Remove(f.now, changed.Entry.ID, f.expiryWindowEnd())
		f.updateSoleVersions()
		f.forgetRemoved()
		return
	}
	if len(f.serverNames) >= maxServerNames {
		f.resetServerNames()
	}
	f.serverNames[digest.ID(changed.Entry.ID)] = changed.Entry.ID
	previous, known := f.servers.Put(changed.Entry)
	if !known {
		f.keepers = nil
	}
	if !known || previous.SoftwareVersion != changed.Entry.SoftwareVersion || previous.Service != changed.Entry.Service {
		f.updateSoleVersions()
	}
	if f.haveServers && (!known || previous.StartedAt != changed.Entry.StartedAt) {
		f.startsSeen[changed.Entry.ID] = f.now
	}
	if known && previous.StartedAt != changed.Entry.StartedAt {
		f.paths.Forget(changed.Entry.ID)
		delete(f.suspicions, changed.Entry.ID)
		f.handleServerCrash(changed.Entry.ID)
	}
	if !known || previous.Draining != changed.Entry.Draining || previous.StartedAt != changed.Entry.StartedAt {
		state := "ready"
		if changed.Entry.Draining {
			state = "draining"
		}
		f.log(eventlog.New(eventlog.ServerListed, "").With("server", changed.Entry.ID).With("state", state).With("service", changed.Entry.Service))
	}
}

// suspectServer logs that a server is avoided, and tells the peers.
func (f *Forwarder) suspectServer(id string, gone bool) {
	f.unreachableNotices.Add(f.now, id, relayer.Own)
	f.log(eventlog.New(eventlog.ServerSuspected, "").With("server", id).With("gone", gone).With("from", ownObservation))
}

// ownObservation is the source, as it is logged, of what this instance has observed itself.
const ownObservation = "own"

// handleServerCrash handles a crashed server: its cache is lost, and the requests that
// were recently interrupted there become suspects.
func (f *Forwarder) handleServerCrash(id string) {
	f.scheduler.Forget(id)
	f.caches.Forget(id)
	f.keeper.Forget(id)
	f.suspectServer(id, true)
	interrupted := slices.DeleteFunc(f.interruptions[id], func(i interruption) bool { return f.now.Since(i.at) > interruptionTTL })
	delete(f.interruptions, id)
	if len(interrupted) > 0 {
		f.logInterrupted(id, interrupted)
	}
	f.accuse(id, interrupted)
	f.endCrashChecks(id, true)
}

// logInterrupted logs how far the responses were that a crash interrupted.
func (f *Forwarder) logInterrupted(id string, interrupted []interruption) {
	answering, begun := 0, 0
	for _, request := range interrupted {
		switch {
		case request.answering:
			answering++
		case request.hasHead:
			begun++
		}
	}
	entry := eventlog.New(eventlog.RequestsInterrupted, "").With("server", id).With("answering", answering).With("begun", begun)
	f.log(entry.With("waiting", len(interrupted)-answering-begun))
}

// recordInterruption keeps the request until it is known whether the server crashed.
func (f *Forwarder) recordInterruption(fl *flight, event AttemptEnded, id string) {
	answering := fl.streamStarted && event.Attempt == fl.attempt
	latest := interruption{
		fingerprint: fl.request.Fingerprint, at: f.now, hasHead: event.Status == statusOK, answering: answering, answeringSince: fl.answeringSince,
		parts: partquarantine.Request{Parts: fl.partKeys, Generations: fl.partGenerations, Begun: event.Status == statusOK && !answering},
	}
	if server, ok := f.servers.Server(id); ok && server.Down() {
		f.accuse(id, []interruption{latest})
		return
	}
	// It may be back already when it is next connected to.
	f.doubtStart(id)
	recent := append(f.interruptions[id], latest)
	f.interruptions[id] = recent[max(0, len(recent)-maxInterruptions):]
}

// recordRequestCrash records that a server crashed while the request ran there.
func (f *Forwarder) recordRequestCrash(fingerprint, server string) {
	stateBefore := f.quarantine.State(f.now, fingerprint)
	// The server counts as a failure domain of its own, so that only the limit on the
	// total of crashed servers applies.
	if !f.quarantine.RecordCrash(f.now, fingerprint, quarantine.Crash{Server: server, Domain: server}) {
		return
	}
	f.crashedServers[fingerprint] = append(f.crashedServers[fingerprint], server)
	f.broadcastFull = true
	if len(f.crashedServers) > maxSuspects {
		clear(f.crashedServers)
	}
	if stateBefore != quarantine.Blocked && f.quarantine.State(f.now, fingerprint) == quarantine.Blocked {
		f.log(eventlog.New(eventlog.RequestConvicted, "").With("fingerprint", fingerprint))
	}
}

// checkDownServers sends the health checks that are due.
func (f *Forwarder) checkDownServers() {
	for _, server := range f.servers.DueHealthChecks(f.now) {
		f.checkDownServer(server)
	}
}

func (f *Forwarder) handleHealthChecked(checked HealthChecked) {
	if checked.BeganAt == 0 {
		checked.BeganAt = f.now
	}
	if !checked.Unreachable {
		f.recordConnect(checked.Server, checked.BeganAt, true)
	}
	if !checked.Gone {
		f.endCrashChecks(checked.Server, false)
	}
	if checked.Healthy {
		server, ok := f.servers.Server(checked.Server)
		if ok && server.Down() {
			f.recordReached(server)
		}
		return
	}
	if checked.Unreachable {
		f.recordUnreachable(checked.Server, checked.Gone, checked.BeganAt)
	}
}

func (f *Forwarder) logRecovered(id, source string) {
	f.log(eventlog.New(eventlog.ServerRecovered, "").With("server", id).With("from", source))
}

// handleSettingsReloaded applies changed settings. New bounds take effect at once;
// changes of the name and the addresses need a restart and are only logged.
func (f *Forwarder) handleSettingsReloaded(settings instancesettings.Settings) {
	sameBindings := settings.Name == f.settings.Name && settings.CallerAddress == f.settings.CallerAddress && settings.ReadinessAddress == f.settings.ReadinessAddress && settings.PeerAddress == f.settings.PeerAddress && settings.StoreAddress == f.settings.StoreAddress
	f.log(eventlog.New(eventlog.SettingsRead, "").With("needsRestart", !sameBindings))
	if settings.Bounds != f.settings.Bounds {
		f.retryBudget = retrybudget.New(settings.Bounds.RetryRatio, settings.Bounds.RetryExtra, settings.Bounds.RetryWindow)
	}
	f.settings.Bounds = settings.Bounds
	// The age limit of weights may have changed.
	f.nextWithdrawal = f.now
}
