package forwarder

import (
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/journal"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// moveStreamsAfter is how long an engine that shall load weights may take to end its
	// streams: the usual ones end by then, a few long ones would hold it up for seconds.
	moveStreamsAfter = 800 * clock.Millisecond
	// moveCheckInterval is the time between two looks for streams to move.
	moveCheckInterval = 50 * clock.Millisecond
)

// moveStreams moves the streams that can go on elsewhere away from engines that only
// wait for them to load new weights.
func (f *Forwarder) moveStreams() {
	if f.now < f.nextMoveCheck {
		return
	}
	f.nextMoveCheck = f.now.Add(moveCheckInterval)
	updating := f.loadingEngines()
	maps.DeleteFunc(f.loadingSince, func(id string, _ clock.Millis) bool { return !updating[id] })
	held := map[string]bool{}
	for id := range updating {
		since, known := f.loadingSince[id]
		if !known {
			f.loadingSince[id] = f.now
		}
		held[id] = known && f.now.Since(since) >= moveStreamsAfter
	}
	for _, id := range slices.Sorted(maps.Keys(f.flights)) {
		fl := f.flights[id]
		if held[fl.server] && fl.movable() && f.canRetry(fl) && len(f.candidates(fl)) > 0 && f.retryBudget.Take(f.now, fl.service, f.instanceCount()) {
			f.log(journal.New(journal.StreamMoved, fl.id()).With("server", fl.server).With("after", f.now.Since(fl.arrivedAt)))
			f.cancelAttempt(fl)
			f.scheduler.End(fl.id())
			f.assignServer(fl)
		}
	}
}

// movable reports whether the request is a stream under way that can go on after the
// last event that was passed.
func (fl *flight) movable() bool {
	return fl.attemptActive && fl.streamStarted && fl.route.Resumable && !fl.callerGone
}
