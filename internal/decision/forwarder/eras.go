package forwarder

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/eratracker"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/rollout"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// storeName is the source of an era in the log if the store itself named it.
const storeName = "store"

// handleStoreEraSeen records the era of an answer.
func (f *Forwarder) handleStoreEraSeen(seen StoreEraSeen) {
	switch {
	case seen.Invalid, seen.From == "" && f.eras.Doubts(seen.Era):
		if f.eras.SeeInvalid(f.now) {
			f.log(eventlog.New(eventlog.StoreEraInvalid, "").With("era", f.eras.Era()).With("named", seen.Era))
		}
	case seen.From != "":
		f.seePeerEra(seen.Era, 0, seen.From)
	default:
		f.seeEra(seen.Era, f.now, storeName)
	}
}

// seePeerEra records the era that an instance knows, and the time since it has begun there.
// An instance that knows no era states 0.
func (f *Forwarder) seePeerEra(era int64, age clock.Millis, from string) {
	if era > 0 {
		f.seeEra(era, f.now.Add(-age), from)
	}
}

// seeEra records an era that the store or an instance has named, and a time at which it had
// begun. After a change, an instance that watches the store lists everything again; the
// others get the copies from their neighbors. No instance holds the lease of orders in a new era.
func (f *Forwarder) seeEra(era int64, begunAt clock.Millis, from string) {
	before := f.eras.Era()
	verdict := f.eras.See(begunAt, era)
	if verdict == eratracker.Outdated {
		return
	}
	heldBefore, lease := f.rollout.HoldsLease(f.now), f.rollout.Observation()
	f.rollout.SeeEra(f.now, era)
	if heldBefore && !f.rollout.HoldsLease(f.now) {
		f.log(eventlog.New(eventlog.LeaseLost, "").With("lease", rollout.LeaseName).With("term", lease.Revision))
	}
	if verdict == eratracker.Current {
		return
	}
	f.log(eventlog.New(eventlog.StoreEraChanged, "").With("before", before).With("era", era).With("from", from))
	if f.replicas.Watching() {
		f.emit(WatchStore{On: true, Era: era})
	}
	f.expediteRelay()
}

// confirmState records that the desired state was known to be current at a time. After the
// store has come back from an older copy, that is not known until what was lost is written
// again.
func (f *Forwarder) confirmState(at clock.Millis) {
	if at >= f.eras.StateSettledAt() {
		f.desiredConfirmedAt = max(f.desiredConfirmedAt, at)
	}
}

// StoreEra returns the highest era of the store that this instance knows; 0 for none.
func (f *Forwarder) StoreEra() int64 { return f.eras.Era() }
