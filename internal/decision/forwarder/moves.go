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
	// moveTimeout is the time in which another server must send an event of a stream that could stay: the
	// caller gets none meanwhile, and two servers may work on one request for 400 ms.
	moveTimeout = 350 * clock.Millisecond
	// moveRetryDelay is the time from one attempt to move a stream to the next.
	moveRetryDelay = 500 * clock.Millisecond
	// attemptsAfterMoves are those of a request that are left for failures of its servers.
	attemptsAfterMoves = 1
)

// moveReason is the reason for which a stream leaves a server, as it is logged.
type moveReason string

const (
	moveForWeights moveReason = "weights"
	moveForLeaving moveReason = "leaving"
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

// moveStream asks another server to resume a stream although its own one still sends events. Both can't
// go on: what one of them sends next would not continue the other's. Therefore the events of its own one
// wait, until the other one has sent an event, or has refused the stream or not begun it in time.
func (f *Forwarder) moveStream(fl *flight, reason moveReason) {
	if f.now < fl.nextMoveAt || fl.remaining(f.now) <= moveTimeout || fl.attempts-fl.unsent >= maxAttempts-attemptsAfterMoves {
		return
	}
	choice, ok := f.chooseOther(fl, reason)
	if !ok {
		return
	}
	fl.nextMoveAt = f.now.Add(moveRetryDelay)
	number, plan := f.startAttempt(fl, choice, besideMoving)
	fl.alternative = &alternative{number: number, move: reason, server: choice.Server, startMs: choice.CostMs, origin: f.originOf(choice.Server), weights: plan.weights}
	timeout := moveTimeout
	if reason == moveForLeaving {
		timeout = max(moveTimeout, clock.Millis(choice.CostMs*silenceFactor))
	}
	fl.checkAt = min(fl.deadline, f.now.Add(timeout))
}

// moves reports whether another server is asked to resume the stream instead of its own one.
func (fl *flight) moves() bool { return fl.alternative != nil && fl.alternative.move != "" }

// abandonMove cancels the attempt at the server to which the stream was to move.
func (f *Forwarder) abandonMove(fl *flight) {
	f.logSilence(fl, fl.alternative.server, fl.alternative.number)
	f.dropAlternative(fl)
}
