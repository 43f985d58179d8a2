package forwarder

import (
	"cmp"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/balancer"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/limitsharer"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/registry"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// startOf identifies the server as it has started.
func startOf(server registry.Server) limitsharer.Start {
	return limitsharer.Start{Server: server.ID, StartedAt: server.StartedAt}
}

// handleLimit handles the limit of requests that a server names, or no longer names.
func (f *Forwarder) handleLimit(notice ServerNotice) {
	start := limitsharer.Start{Server: notice.Server, StartedAt: notice.StartedAt}
	if notice.InvalidLimit != "" {
		f.log(eventlog.New(eventlog.ServerLimitInvalid, "").With("server", notice.Server).With("value", notice.InvalidLimit))
	}
	switch {
	case notice.HasLimit && f.limits.SetLimit(f.now, start, notice.Limit):
		f.logLimit(limitsharer.Notice{Start: start, Limit: notice.Limit}, "response")
		f.expediteRelay()
	case notice.NamesNoLimit && f.limits.Lift(f.now, start):
		f.logLimit(limitsharer.Notice{Start: start, Limit: limitsharer.None}, "response")
		f.expediteRelay()
	}
}

// mergeLimits takes over the limits that a neighbor knows.
func (f *Forwarder) mergeLimits(notices []limitsharer.Notice) {
	for _, changed := range f.limits.Merge(f.now, notices) {
		f.logLimit(changed, "peer")
		f.expediteRelay()
	}
}

func (f *Forwarder) logLimit(notice limitsharer.Notice, source string) {
	entry := eventlog.New(eventlog.ServerLimited, "").With("server", notice.Server).With("startedAt", notice.StartedAt)
	if notice.Limit == limitsharer.None {
		f.log(entry.With("limit", "none").With("from", source))
		return
	}
	f.log(entry.With("limit", float64(notice.Limit)/1000).With("from", source))
}

// limitWait returns the time until this instance may send another request to the server, and
// false if it is not one of the instances that may send to it at all. It is 0 for a server
// without a limit.
func (f *Forwarder) limitWait(server registry.Server) (clock.Millis, bool) {
	start := startOf(server)
	if !f.limits.Limited(start) {
		return 0, true
	}
	holders, holds := f.limitHolders(server)
	if !holds {
		return 0, false
	}
	return f.limits.WaitTime(f.now, start, holders), true
}

// holdersLifetime is the time for which the holders of a limit are not computed again.
const holdersLifetime = 200 * clock.Millisecond

// limitHolders are the instances that may send to a limited server.
type limitHolders struct {
	count      int
	holds      bool // holds reports whether this instance is one of them.
	computedAt clock.Millis
}

// limitHolders returns the number of instances that may send to a limited server, and whether
// this one does.
func (f *Forwarder) limitHolders(server registry.Server) (int, bool) {
	start := startOf(server)
	found, ok := f.holders[start]
	if !ok || f.now.Since(found.computedAt) >= holdersLifetime {
		if len(f.holders) > maxServerNames {
			clear(f.holders)
		}
		computed := f.computeHolders(server)
		if computed.holds && !found.holds {
			f.limits.Empty(f.now, start)
		}
		found = computed
		f.holders[start] = found
	}
	return found.count, found.holds
}

// computeHolders computes the holders of a limit. Listed instances that are known to be
// unreachable are left out.
func (f *Forwarder) computeHolders(server registry.Server) limitHolders {
	justStarted := f.now.Since(f.awakeSince()) < bucketWarmup
	score := func(name string) uint64 { return balancer.Rendezvous(uint64(server.StartedAt), name+"\x00"+server.ID) }
	own, better, listed := score(f.settings.Name), 0, 1
	for _, p := range f.peers {
		if !justStarted && (f.arrangement.Flat() || p.Domain == f.settings.Domain) && !p.alive(f.now) {
			continue
		}
		listed++
		if score(p.name) > own {
			better++
		}
	}
	count := min(f.limits.Holders(startOf(server)), listed)
	return limitHolders{count: count, holds: better < count, computedAt: f.now}
}

// takeLimit counts a request that is sent to the server.
func (f *Forwarder) takeLimit(server registry.Server) {
	if start := startOf(server); f.limits.Limited(start) {
		holders, _ := f.limitHolders(server)
		f.limits.Take(f.now, start, holders)
	}
}

// limitedInTime reports whether a limited server takes the request before its wait ends,
// although the requests that wait already go first, unless theirs are less urgent.
func (f *Forwarder) limitedInTime(fl *flight, servers []registry.Server) bool {
	deadline := fl.waitDeadline
	if deadline == 0 {
		deadline = f.waitLimit(fl)
	}
	room := 0
	for _, server := range servers {
		if server.Down() || fl.triedServers[server.ID] || !fl.mayRunAt(server) || !f.limits.Limited(startOf(server)) {
			continue
		}
		holders, holds := f.limitHolders(server)
		if !holds {
			continue
		}
		room += f.limits.Within(f.now, startOf(server), holders, deadline.Since(f.now))
	}
	for _, other := range f.flights {
		if room > 0 && other != fl && other.waiting && other.service == fl.service && other.query == nil && !fl.before(other) {
			room--
		}
	}
	return room > 0
}

// before reports whether the flight goes before another one that waits as well.
func (fl *flight) before(other *flight) bool { return compareUrgency(fl, other) < 0 }

// compareUrgency orders flights by their priority, and then by their arrival.
func compareUrgency(a, b *flight) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.arrivedAt, b.arrivedAt), cmp.Compare(a.id(), b.id()))
}
