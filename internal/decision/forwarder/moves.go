package forwarder

import (
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/journal"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// moveAfter is how long an engine that shall load weights may take to end its
	// streams: the usual ones end by then, a few long ones would hold it up for seconds.
	moveAfter = 800 * clock.Millisecond
	// moveStep is the time between two looks for streams to move.
	moveStep = 50 * clock.Millisecond
)

// moveStreams moves the streams that can go on elsewhere away from engines that only
// wait for them to load new weights.
func (f *Forwarder) moveStreams() {
	if f.now < f.moveDue {
		return
	}
	f.moveDue = f.now.Add(moveStep)
	updating := f.updating()
	maps.DeleteFunc(f.updatingSince, func(id string, _ clock.Millis) bool { return !updating[id] })
	held := map[string]bool{}
	for id := range updating {
		since, known := f.updatingSince[id]
		if !known {
			f.updatingSince[id] = f.now
		}
		held[id] = known && f.now.Since(since) >= moveAfter
	}
	for _, id := range slices.Sorted(maps.Keys(f.flights)) {
		fl := f.flights[id]
		if held[fl.server] && fl.movable() && f.mayRepeat(fl) && len(f.candidates(fl)) > 0 && f.budget.AcquireRetry(f.now, fl.service, f.members()) {
			f.log(journal.New(journal.StreamMoved, fl.id()).With("server", fl.server).With("after", f.now.Since(fl.arrived)))
			f.cancel(fl)
			f.places.End(fl.id())
			f.place(fl)
		}
	}
}

// movable reports whether the request is a stream under way that can go on after the
// last event that was passed.
func (fl *flight) movable() bool {
	return fl.sending && fl.answered && fl.route.Resumable && !fl.abandoned
}
