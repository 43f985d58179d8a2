package forwarder

import (
	"maps"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/digest"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/relayer"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/scheduler"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// leavingNoticeMemory is the time for which a repeated notice of a leaving server is
	// ignored. A server that leaves does not return.
	leavingNoticeMemory = 10 * clock.Second
	// leavingDivisor divides the time for which a leaving server still serves: in the first
	// part it gets requests if there is no other server, and streams can end there; at its
	// end, they are moved.
	leavingDivisor = 2
)

// handleServerNotice handles what a server says of itself.
func (f *Forwarder) handleServerNotice(notice ServerNotice) {
	f.handlePause(notice)
	f.handleLimit(notice)
	f.handleBrittleness(notice)
	if notice.Leaving {
		f.markLeaving(digest.LeavingServer{Server: notice.Server, StartedAt: notice.StartedAt}, relayer.Own)
	}
}

// markLeaving records a server that leaves, and tells the neighbors soon.
func (f *Forwarder) markLeaving(leaving digest.LeavingServer, origin relayer.Origin) {
	if f.leavingNotices.Add(f.now, leaving, origin) {
		f.expediteRelay()
	}
	if !f.servers.MarkLeaving(f.now, leaving.Server, leaving.StartedAt, origin == relayer.Own) {
		return
	}
	from := "peer"
	if origin == relayer.Own {
		from = "response"
	}
	f.log(eventlog.New(eventlog.ServerLeaving, "").With("server", leaving.Server).With("startedAt", leaving.StartedAt).With("from", from))
}

// candidatesOrLeaving returns the candidates. If there are none, it returns the servers that
// leave but will serve for long enough: a response from there is better for the caller than a
// refusal, which it can only answer by coming back to the same servers.
func (f *Forwarder) candidatesOrLeaving(fl *flight) []scheduler.Candidate {
	if candidates := f.candidates(fl); len(candidates) > 0 {
		return candidates
	}
	leaving := f.servers.Leaving(f.now, fl.service, f.settings.Bounds.ServerDrain/leavingDivisor)
	return f.candidatesAmong(fl, f.serversInExposure(fl, leaving))
}

// leavingInTime returns the servers from which streams must move now to be elsewhere before
// the servers stop: those that leave or are no longer listed.
func (f *Forwarder) leavingInTime() map[string]bool {
	leaving, due := map[string]bool{}, map[string]bool{}
	for _, fl := range f.flights {
		if !fl.movable() || leaving[fl.server] {
			continue
		}
		server, listed := f.servers.Server(fl.server)
		if listed && server.AcceptsRequests() {
			continue
		}
		leaving[fl.server] = true
		since, known := f.leavingSince[fl.server]
		if !known {
			since = f.now
			if server.LeavingSince() != 0 {
				since = server.LeavingSince()
			}
			f.leavingSince[fl.server] = since
		}
		if f.now.Since(since) >= f.settings.Bounds.ServerDrain/leavingDivisor {
			due[fl.server] = true
		}
	}
	maps.DeleteFunc(f.leavingSince, func(id string, _ clock.Millis) bool { return !leaving[id] })
	return due
}
