package router

import (
	"cmp"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/blamer"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/isolator"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/tracker"
)

// isolationAsked queues a suspect's wish. A crash that another suspect explains
// makes no suspect.
func (r *Router) isolationAsked(from string, ask *peerv1.IsolationAsk) {
	fingerprint := ask.GetFingerprint()
	state := r.blame.State(r.now, fingerprint)
	if state == blamer.Clear && ask.GetCrashed() != "" && r.isolation.Explains(r.now, ask.GetCrashed()) {
		r.sendGrant(from, &peerv1.IsolationGrant{Request: ask.GetRequest()})
		return
	}
	if ask.GetCrashed() != "" {
		r.spreadBlame(&peerv1.Blame{Fingerprint: fingerprint, State: peerv1.Blame_SUSPECT, Domain: r.settings.Domain, Server: ask.GetCrashed()})
	}
	r.isolation.Ask(isolator.Ask{Request: ask.GetRequest(), From: from, Model: ask.GetModel(), Fingerprint: fingerprint, At: r.now})
	r.after(collectFor, grantDue{})
}

// mayRun reports whether it is this domain's turn to run the suspect alone: the
// word of other crashes has had time to come, and no earlier domain of the
// configuration has the same suspect.
func (r *Router) mayRun(ask isolator.Ask) bool {
	if r.blame.State(r.now, ask.Fingerprint) == blamer.Convicted {
		return true
	}
	own := slices.Index(r.configuration.Domains, r.settings.Domain)
	for _, crash := range r.blame.Crashes(ask.Fingerprint) {
		earlier := slices.Index(r.configuration.Domains, crash.Reporter) < own
		if r.now.Since(crash.At) < collectFor || (earlier && r.now.Since(crash.At) < deferFor) {
			return false
		}
	}
	return true
}

// grantIsolation lets the suspects run that can.
func (r *Router) grantIsolation() {
	for _, grant := range r.isolation.Grants(r.now, r.mayRun, r.enginesFor) {
		answer := &peerv1.IsolationGrant{Request: grant.Request, Server: grant.Server, Alone: true}
		if r.blame.State(r.now, grant.Fingerprint) == blamer.Convicted {
			r.isolation.End(r.now, grant.Request)
			answer = &peerv1.IsolationGrant{Request: grant.Request, Convicted: true}
		}
		r.sendGrant(grant.From, answer)
	}
}

// enginesFor returns the engines that may run the suspect: first those of the
// failure domains in which the fewest have crashed under it, then the near ones.
func (r *Router) enginesFor(ask isolator.Ask) []string {
	crashes := map[string]int{}
	for _, crash := range r.blame.Crashes(ask.Fingerprint) {
		crashes[crash.Domain]++
	}
	servers := slices.DeleteFunc(r.known.Engines(ask.Model), func(s tracker.Server) bool { return s.Suspect(r.now) })
	slices.SortStableFunc(servers, func(a, b tracker.Server) int {
		return cmp.Or(cmp.Compare(crashes[a.Domain], crashes[b.Domain]), cmp.Compare(r.distance(a), r.distance(b)))
	})
	names := make([]string, len(servers))
	for i, server := range servers {
		names[i] = server.Name
	}
	return names
}

// distance returns 0 for a server of the own failure domain, else 1.
func (r *Router) distance(server tracker.Server) int {
	if r.known.Far(server) {
		return 1
	}
	return 0
}
