package forwarder

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/desired"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// flight is one request from its arrival to its end.
type flight struct {
	request Request
	route   desired.Route
	service string
	team    desired.Team
	cost    int64 // cost is what was taken of the team's limit.

	arrived clock.Millis
	// end is when the request must have its final answer.
	end clock.Millis
	// due is when the flight must be looked at next.
	due clock.Millis

	// attempt counts the sendings, ran those after which the request may have run.
	attempt int
	ran     int
	// waiting tells that no server can take the request yet; waitEnd is when it is
	// refused if none can by then.
	waiting bool
	waitEnd clock.Millis
	server  string
	sending bool
	// expected is the time in milliseconds in which the answer should begin.
	expected float64
	tried    map[string]bool
	// passed tells that the caller has a part of the stream; lastEvent is the
	// identifier of its last event.
	passed    bool
	lastEvent string
	answered  bool // answered tells that the current attempt's answer has begun.
	abandoned bool
}

func (fl *flight) id() string { return fl.request.ID }

func (fl *flight) plain() bool { return fl.request.Prompt == 0 }

// left returns the time until the final answer is due.
func (fl *flight) left(now clock.Millis) clock.Millis {
	return fl.end.Since(now)
}

// rank returns the request's rank: the team's, or else the route's.
func (fl *flight) rank() int {
	if fl.team.HasPriority {
		return fl.team.Priority
	}
	return fl.route.Priority
}
