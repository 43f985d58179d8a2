package forwarder

import (
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// moveStreamsAfter is the time that streams have to end at an engine that must load
	// weights: the usual ones end by then, a few long ones would delay the load by
	// seconds.
	moveStreamsAfter = 800 * clock.Millisecond
	// moveCheckInterval is the time between two checks for streams to move.
	moveCheckInterval = 50 * clock.Millisecond
)

// moveStreams moves resumable streams away from engines that delay loading new weights
// only because of them, and from those that leave.
func (f *Forwarder) moveStreams() {
	if f.now < f.nextMoveCheck {
		return
	}
	f.nextMoveCheck = f.now.Add(moveCheckInterval)
	f.recordSurvivals()
	loading := f.loadingEngines()
	maps.DeleteFunc(f.loadingSince, func(id string, _ clock.Millis) bool { return !loading[id] })
	overdue := map[string]bool{}
	for id := range loading {
		since, known := f.loadingSince[id]
		if !known {
			f.loadingSince[id] = f.now
		}
		overdue[id] = known && f.now.Since(since) >= moveStreamsAfter
	}
	leaving := f.leavingInTime()
	for _, id := range slices.Sorted(maps.Keys(f.flights)) {
		fl := f.flights[id]
		switch {
		case !fl.movable():
		case overdue[fl.server]:
			f.moveStream(fl, moveForWeights)
		case leaving[fl.server]:
			f.moveStream(fl, moveForLeaving)
		}
	}
}

// movable reports whether the request is a running stream that can be resumed elsewhere
// after the last event delivered.
func (fl *flight) movable() bool {
	return fl.attemptActive && fl.streamStarted && fl.route.Resumable && !fl.callerDisconnected
}
