package forwarder

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/exposurekeeper"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// verdictTimeout is the time within which a decided verdict must be sent: the process may
	// be suspended between the decision and the call.
	verdictTimeout = 300 * clock.Millisecond
	// verdictRetryDelay is the time from a failed write to the next, and conflictDelay that
	// after a conflict: the changed object arrives by the watch.
	verdictRetryDelay = 300 * clock.Millisecond
	conflictDelay     = clock.Second
	// maxVerdictFailures is the number of failed writes after which the lease is left to
	// another instance for verdictBackoff: it may reach the store.
	maxVerdictFailures = 3
	verdictBackoff     = 8 * clock.Second
	// verdictResponseTimeout is the time after which a write without a response is repeated.
	verdictResponseTimeout = 2 * clock.Second
)

// verdictWrite is the state of writing a verdict.
type verdictWrite struct {
	inFlightUntil clock.Millis
	retryAt       clock.Millis
	// leaveLeaseUntil is the time until which this instance does not acquire the lease.
	leaveLeaseUntil clock.Millis
	failures        int
}

// verdictDue reports whether there is a verdict that this instance may write, or will be soon.
func (f *Forwarder) verdictDue(e *exposure) bool {
	moved := e.decision.Phase == exposurekeeper.Move && e.decision.Share >= 1
	if e.final != exposurekeeper.Continue || (e.decision.Verdict == exposurekeeper.Continue && !moved) || (f.draining && !f.mayOrderInStop()) || f.now < e.leaveLeaseUntil {
		return false
	}
	// An instance that is cut off from most others lacks their counts, but bad answers that it
	// knows of suffice to take the version back.
	return e.decision.Phase == exposurekeeper.Stopped || !f.cutOffFromMost()
}

// needsLease reports whether the lease is needed to write a verdict. It is acquired before the
// last requests on old servers end, as that takes seconds if another holder is frozen.
func (f *Forwarder) needsLease() bool {
	for _, e := range f.exposures {
		if !f.storeDown && f.verdictDue(e) {
			return true
		}
	}
	return false
}

// writeVerdict writes a verdict if this instance holds the lease.
func (f *Forwarder) writeVerdict(e *exposure) {
	if e.decision.Verdict == exposurekeeper.Continue || !f.verdictDue(e) || !f.rollout.HoldsLease(f.now) || f.now < e.inFlightUntil || f.now < e.retryAt {
		return
	}
	e.inFlightUntil = f.now.Add(verdictResponseTimeout)
	entry := eventlog.New(eventlog.RolloutVerdict, "").With("service", e.order.Service).With("target", e.order.Target).With("verdict", e.decision.Verdict)
	f.log(entry.With("reason", e.decision.Reason).With("ifRevision", e.revision))
	f.emit(WriteVerdict{Service: e.order.Service, Target: e.order.Target, Verdict: e.decision.Verdict, IfRevision: e.revision, Deadline: f.now.Add(verdictTimeout)})
}

// handleVerdictWritten handles the response to the write of a verdict.
func (f *Forwarder) handleVerdictWritten(written VerdictWritten) {
	e, ok := f.exposures[written.Service]
	if !ok || e.revision != written.Revision {
		return
	}
	e.inFlightUntil = 0
	switch written.Response.Outcome {
	case objectstore.Done:
		e.revision = max(e.revision, written.Response.Version)
		f.setFinal(e, written.Verdict)
	case objectstore.Conflict:
		e.retryAt = f.now.Add(conflictDelay)
	default:
		e.retryAt = f.now.Add(verdictRetryDelay)
		if e.failures++; e.failures >= maxVerdictFailures {
			e.failures, e.leaveLeaseUntil = 0, f.now.Add(verdictBackoff)
		}
	}
}
