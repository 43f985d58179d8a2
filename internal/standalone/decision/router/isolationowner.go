package router

import (
	"cmp"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/quarantine"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/isolator"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/tracker"
)

// handleIsolationRequest queues a suspect's request for an isolated run. If an
// isolated run of another request at the crashed server explains the crash, the
// request does not become a suspect and is dispatched as usual.
func (r *Router) handleIsolationRequest(from string, request *peerv1.IsolationAsk) {
	fingerprint := request.GetFingerprint()
	state := r.quarantine.State(r.now, fingerprint)
	if state == quarantine.Clear && request.GetCrashed() != "" && r.isolator.ExplainsCrash(r.now, request.GetCrashed()) {
		r.sendIsolationGrant(from, &peerv1.IsolationGrant{Request: request.GetRequest()})
		return
	}
	if request.GetCrashed() != "" {
		r.broadcastQuarantineState(&peerv1.Blame{Fingerprint: fingerprint, State: peerv1.Blame_SUSPECT, Domain: r.settings.Domain, Server: request.GetCrashed()})
	}
	r.isolator.Enqueue(isolator.RunRequest{RequestID: request.GetRequest(), Instance: from, Model: request.GetModel(), Fingerprint: fingerprint, RequestedAt: r.now})
	r.scheduleAfter(crashReportDelay, isolationGrantTimer{})
}

// mayRun reports whether this domain may run the suspect in isolation now: reports
// of other crashes have had time to arrive, and no earlier domain of the
// configuration has reported the same suspect within domainDeferral. Blocked
// requests are not delayed, since they are refused.
func (r *Router) mayRun(suspect isolator.RunRequest) bool {
	if r.quarantine.State(r.now, suspect.Fingerprint) == quarantine.Blocked {
		return true
	}
	localIndex := slices.Index(r.configuration.Domains, r.settings.Domain)
	for _, crash := range r.quarantine.Crashes(suspect.Fingerprint) {
		earlier := slices.Index(r.configuration.Domains, crash.ReporterDomain) < localIndex
		if r.now.Since(crash.At) < crashReportDelay || (earlier && r.now.Since(crash.At) < domainDeferral) {
			return false
		}
	}
	return true
}

// grantIsolatedRuns grants the isolated runs that are possible now, and refuses
// blocked requests.
func (r *Router) grantIsolatedRuns() {
	for _, grant := range r.isolator.GrantReady(r.now, r.mayRun, r.enginesForSuspect) {
		reply := &peerv1.IsolationGrant{Request: grant.RequestID, Server: grant.Server, Alone: true}
		if r.quarantine.State(r.now, grant.Fingerprint) == quarantine.Blocked {
			r.isolator.EndRun(r.now, grant.RequestID)
			reply = &peerv1.IsolationGrant{Request: grant.RequestID, Convicted: true}
		}
		r.sendIsolationGrant(grant.Instance, reply)
	}
}

// enginesForSuspect returns the engines that may run the suspect, ordered by the
// number of crashes that it caused in their failure domains. Among equal ones, the
// engines of the local domain come first.
func (r *Router) enginesForSuspect(suspect isolator.RunRequest) []string {
	crashes := map[string]int{}
	for _, crash := range r.quarantine.Crashes(suspect.Fingerprint) {
		crashes[crash.Domain]++
	}
	servers := slices.DeleteFunc(r.view.Engines(suspect.Model), func(s tracker.Server) bool { return s.Suspect(r.now) })
	slices.SortStableFunc(servers, func(a, b tracker.Server) int {
		return cmp.Or(cmp.Compare(crashes[a.Domain], crashes[b.Domain]), cmp.Compare(r.distance(a), r.distance(b)))
	})
	names := make([]string, len(servers))
	for i, server := range servers {
		names[i] = server.Name
	}
	return names
}

// distance returns 0 for a server of the local failure domain, else 1.
func (r *Router) distance(server tracker.Server) int {
	if r.view.InOtherDomain(server) {
		return 1
	}
	return 0
}
