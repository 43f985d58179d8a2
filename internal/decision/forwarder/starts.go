package forwarder

import (
	"maps"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/registry"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/rollout"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// startReportInterval is the time after which a report on an engine's start is asked for again.
	startReportInterval = 500 * clock.Millisecond
	// startDoubtHeartbeats is the time, in heartbeats of the servers, after which an engine that
	// sends no reports would be listed with another start.
	startDoubtHeartbeats = 3
)

// startDoubt is the doubt whether an engine still has the start that is listed. It may have started again, with other software, before it writes that into its entry.
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

// doubtOf returns the doubt about the start of a server. It reports false if there is none.
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
	return doubt, true
}

// startsClearly reports whether the software of the server is known, as a stream that may go on at another
// server needs it. If it is not, the engine is asked for its start.
func (f *Forwarder) startsClearly(fl *flight, server registry.Server) bool {
	if !fl.resumable() {
		return true
	}
	doubt, doubtful := f.doubtOf(server)
	if !doubtful {
		return true
	}
	if !doubt.replaced && !f.paths.Blocked(server.ID) && (doubt.askedAt == 0 || f.now.Since(doubt.askedAt) >= startReportInterval) {
		doubt.askedAt = f.now
		f.startDoubts[server.ID] = doubt
		f.emit(CallEngine{Step: rollout.RequestReport{Server: server.ID, Address: server.Address, StartedAt: server.StartedAt}})
	}
	return false
}

// awaitsStart reports whether the request may soon run at a server whose start is in doubt: after its report or
// its new entry.
func (f *Forwarder) awaitsStart(fl *flight, server registry.Server) bool {
	_, doubtful := f.doubtOf(server)
	return doubtful && fl.resumable()
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
