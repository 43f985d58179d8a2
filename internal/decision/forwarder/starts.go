package forwarder

import (
	"maps"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/registry"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/rollout"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/scheduler"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// startReportInterval is the time after which a report on an engine's start is asked for again.
	startReportInterval = 500 * clock.Millisecond
	// startDoubtHeartbeats is the time, in heartbeats of the servers, after which an engine that
	// sends no reports would be listed with another start.
	startDoubtHeartbeats = 3
)

// startDoubt is the doubt whether an engine still has the start that is listed. It may have started again, with
// other software, before it writes that into its entry.
type startDoubt struct {
	// startedAt is the listed start, and since the time at which the engine last gave cause for the doubt.
	startedAt int64
	since     clock.Millis
	// askedAt is the time of the latest request for a report; 0 for none.
	askedAt clock.Millis
	// replaced reports whether the engine has reported another start.
	replaced bool
}

// doubtStart records that an engine can't be reached, or has broken off a response. Other servers send no
// reports.
func (f *Forwarder) doubtStart(id string) {
	server, ok := f.servers.Server(id)
	if !ok || len(server.Entry.WeightVersions) == 0 || server.StartedAt == 0 {
		return
	}
	doubt := f.startDoubts[id]
	if doubt.startedAt != server.StartedAt {
		doubt = startDoubt{startedAt: server.StartedAt}
	}
	doubt.since = f.now
	f.startDoubts[id] = doubt
}

// doubtOf returns the doubt about the start of a server. It reports false if there is none, or if this instance
// has no way to ask: it would otherwise cut all its streams that break while it is cut off from the servers.
func (f *Forwarder) doubtOf(server registry.Server) (startDoubt, bool) {
	doubt, ok := f.startDoubts[server.ID]
	if !ok {
		return startDoubt{}, false
	}
	settled := doubt.startedAt != server.StartedAt
	overdue := !doubt.replaced && f.now.Since(doubt.since) >= startDoubtHeartbeats*f.settings.Bounds.HeartbeatInterval
	if settled || overdue {
		delete(f.startDoubts, server.ID)
		return startDoubt{}, false
	}
	return doubt, doubt.replaced || !f.paths.Blocked(server.ID)
}

// withCertainStarts returns the candidates that have the listed start, and with it the listed software, as a
// stream that may go on at another server needs it. A stream that has not begun runs at any of the candidates if
// the starts of all are in doubt.
func (f *Forwarder) withCertainStarts(fl *flight, candidates []scheduler.Candidate) []scheduler.Candidate {
	if !fl.resumable() || len(f.startDoubts) == 0 {
		return candidates
	}
	var certain []scheduler.Candidate
	for _, candidate := range candidates {
		server, _ := f.servers.Server(candidate.Server)
		if doubt, doubtful := f.doubtOf(server); doubtful {
			f.askStart(server, doubt)
			continue
		}
		certain = append(certain, candidate)
	}
	if len(certain) == 0 && !fl.begun() {
		return candidates
	}
	return certain
}

// askStart asks an engine for a report, unless it was asked recently or has reported another start.
func (f *Forwarder) askStart(server registry.Server, doubt startDoubt) {
	if doubt.replaced || doubt.askedAt != 0 && f.now.Since(doubt.askedAt) < startReportInterval {
		return
	}
	doubt.askedAt = f.now
	f.startDoubts[server.ID] = doubt
	f.emit(CallEngine{Step: rollout.RequestReport{Server: server.ID, Address: server.Address, StartedAt: server.StartedAt}})
}

// awaitsStart reports whether a stream that has begun may soon go on at a server whose start is in doubt: after
// its report or its new entry.
func (f *Forwarder) awaitsStart(fl *flight, server registry.Server) bool {
	_, doubtful := f.doubtOf(server)
	return doubtful && fl.resumable() && fl.begun()
}

// recordStart records the start that an engine has reported.
func (f *Forwarder) recordStart(id string, report rollout.Report) {
	doubt, ok := f.startDoubts[id]
	if !ok || report.Failed || report.StartedAt == 0 {
		return
	}
	if report.StartedAt == doubt.startedAt {
		delete(f.startDoubts, id)
		return
	}
	if !doubt.replaced {
		doubt.replaced = true
		f.startDoubts[id] = doubt
		f.log(eventlog.New(eventlog.StartNotListed, "").With("server", id).With("listed", doubt.startedAt).With("reported", report.StartedAt))
	}
}

// isReplaced reports whether a server has reported another start than the listed one.
func (f *Forwarder) isReplaced(id string) bool {
	server, _ := f.servers.Server(id)
	doubt, _ := f.doubtOf(server)
	return doubt.replaced
}

// forgetStarts drops the doubts about servers that are not listed any more.
func (f *Forwarder) forgetStarts() {
	maps.DeleteFunc(f.startDoubts, func(id string, _ startDoubt) bool {
		_, known := f.servers.Server(id)
		return !known
	})
}
