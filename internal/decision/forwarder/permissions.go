package forwarder

import (
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

// checksKey reports whether a send of the request depends on the caller's key. A stream of which
// the caller has a part goes on.
func (f *Forwarder) checksKey(fl *flight) bool {
	return f.desired.RequiresKeys() && !fl.route.Open && !fl.partDelivered
}

// keyRefusal returns why the request must not be sent any more although it was admitted: its key
// was withdrawn meanwhile, or may have been; empty if it may be sent.
func (f *Forwarder) keyRefusal(fl *flight) Reason {
	if !f.checksKey(fl) {
		return ""
	}
	if _, known := f.desired.TeamForKey(fl.request.Key); !known {
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
