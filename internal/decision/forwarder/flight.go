package forwarder

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/desired"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// flight is one request from its arrival to its end.
type flight struct {
	request  Request
	route    desired.Route
	service  string
	team     desired.Team
	acquired int64 // cost is what was taken of the team's limit.

	arrivedAt clock.Millis
	// deadline is when the request must have its final answer.
	deadline clock.Millis
	// checkAt is when the flight must be looked at next.
	checkAt clock.Millis

	// attempt counts the sendings, ran those after which the request may have run.
	attempt      int
	possibleRuns int
	// waiting tells that no server can take the request yet; waitEnd is when it is
	// refused if none can by then.
	waiting       bool
	waitDeadline  clock.Millis
	server        string
	attemptActive bool
	// expectedStartMs is the time in milliseconds in which the answer should begin.
	expectedStartMs float64
	triedServers    map[string]bool
	// partDelivered tells that the caller has a part of the stream; lastEvent is the
	// identifier of its last event.
	partDelivered bool
	lastEventID   string
	streamStarted bool // answered tells that the current attempt's answer has begun.
	callerGone    bool
}

func (fl *flight) id() string { return fl.request.ID }

func (fl *flight) withoutPrompt() bool { return fl.request.Prompt == 0 }

// remaining returns the time until the final answer is due.
func (fl *flight) remaining(now clock.Millis) clock.Millis {
	return fl.deadline.Since(now)
}

// priority returns the request's priority: the team's, or else the route's.
func (fl *flight) priority() int {
	if fl.team.Ranked {
		return fl.team.Rank
	}
	return fl.route.Rank
}
