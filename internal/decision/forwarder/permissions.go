package forwarder

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/desired"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/tokenbucket"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// sendWindow is the time from a decision to the last moment at which its request may be
	// sent: a connect through another instance takes up to 850 ms. With the half of the drain
	// time in which a leaving server still gets requests, it is within that time.
	sendWindow = clock.Second
	// tunnelSendMargin is added for a tunnel: the request was decided elsewhere, before.
	tunnelSendMargin = 250 * clock.Millisecond
)

// sendBefore returns the time from which an attempt that is decided now must not be sent.
func (f *Forwarder) sendBefore(fl *flight) clock.Millis {
	until := min(fl.deadline, f.now.Add(sendWindow))
	if f.checksKey(fl) && f.settings.Bounds.StrictKeys {
		until = min(until, f.desiredConfirmedAt.Add(f.maxKeyAge()+1))
	}
	return until
}

// dependsOnKey reports whether a key decides if the request is served, or for which team. On an open route
// a request needs no key, but one that brings a team's key is served for that team.
func (f *Forwarder) dependsOnKey(request Request, route desired.Route) bool {
	return f.desired.RequiresKeys() && (!route.Open || !request.Key.IsEmpty())
}

// checksKey reports whether a send of the request depends on the caller's key. A stream of which
// the caller has a part goes on.
func (f *Forwarder) checksKey(fl *flight) bool {
	return !fl.partDelivered && (fl.team != "" || f.dependsOnKey(fl.request, fl.route))
}

// keyRefusal returns why the request must not be sent any more although it was admitted: its key
// was withdrawn or given to another team meanwhile, or may have been; empty if it may be sent.
func (f *Forwarder) keyRefusal(fl *flight) Reason {
	if !f.checksKey(fl) {
		return ""
	}
	team, known := f.desired.TeamForKey(fl.request.Key)
	if team.Name != fl.team || !known && !fl.route.Open {
		return ReasonInvalidKey
	}
	if f.keysStale() {
		return ReasonStaleState
	}
	return ""
}

// detectPause notices that this process has made no step for longer than peers wait for each
// other. What it knows of them is out of date then: it counts as unreachable by them, and takes no
// more than its own share of the limits until it receives digests of them again.
func (f *Forwarder) detectPause() {
	before := f.lastStepAt
	f.lastStepAt = f.now
	if f.now.Since(before) >= maxStall {
		f.weightsAges.stalledAt = f.now
	}
	if before == 0 || f.now.Since(before) < tokenbucket.PeerTimeout {
		return
	}
	f.resumedAt = f.now
	clear(f.holders)
	f.updateInstanceCounts()
	f.log(eventlog.New(eventlog.InstanceResumed, "").With("after", f.now.Since(before)))
}

// awakeSince returns the time since which this process runs without a pause.
func (f *Forwarder) awakeSince() clock.Millis { return max(f.startedAt, f.resumedAt) }
