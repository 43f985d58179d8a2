package forwarder

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/desired"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/originkeeper"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// flight is the state of one in-flight request.
type flight struct {
	request Request
	route   desired.Route
	service string
	// team is the name of the team that held the caller's key on arrival; empty for none. What the state
	// says of the team may change while the request waits.
	team string
	// priority is the request's priority at an engine on arrival: the team's, or else the route's.
	priority int
	// acquired is the number of tokens acquired from the team's limit.
	acquired int64

	arrivedAt clock.Millis
	// deadline is the time by which the request must have its final response.
	deadline clock.Millis
	// checkAt is the time of the flight's next check for timeouts.
	checkAt clock.Millis

	// attempt is the number of the current attempt, from 1; attempts is the number of all.
	// possibleRuns counts those in which the request may have run.
	attempt  int
	attempts int
	// supersededRuns counts those of them that were cancelled before their first event.
	possibleRuns int
	// unsent counts the attempts of which nothing was sent, and ways has the ways of those that
	// have not ended, by number.
	unsent         int
	ways           map[int]way
	supersededRuns int
	// answered is the attempt whose complete response reports a failure, while the request
	// is retried; 0 for none. answeredStatus is the response's status.
	answered       int
	answeredStatus int
	// alternative is an attempt beside the current one; nil for none. From nextMoveAt on, the stream
	// may move again.
	alternative *alternative
	nextMoveAt  clock.Millis
	// waiting reports whether the request waits for a server; at waitDeadline it is
	// refused if none is available.
	waiting       bool
	waitDeadline  clock.Millis
	server        string
	attemptActive bool
	// query is the choice of an engine in progress; nil for none.
	query *query
	// expectedStartMs is the expected time until the response starts, in milliseconds.
	expectedStartMs float64
	// weights are those at the current attempt's server.
	weights      boundWeights
	triedServers map[string]bool
	// leftServers are the tried servers that a stream has left although they had not failed.
	leftServers []string
	// partDelivered reports whether the caller has received a part of the stream;
	// lastEventID is the identifier of its last event.
	partDelivered bool
	lastEventID   string
	// unplaced reports whether the caller has received an event without identifier.
	unplaced bool
	// attemptOrigin is that of the current attempt's server. From the first event that
	// the caller receives, origin limits the servers at which the stream may go on.
	attemptOrigin originkeeper.Origin
	origin        originkeeper.Origin
	hasOrigin     bool
	// lookup is the lookup of the origin in progress; nil for none.
	lookup *originLookup
	// streamStarted reports whether the current attempt has delivered an event.
	streamStarted      bool
	callerDisconnected bool
	// completed reports whether the caller gets a whole response.
	completed bool
	// partKeys are the keys of the prompt's parts that other requests may share, and
	// partGenerations their generations when the request was last sent.
	partKeys        []uint64
	partGenerations []uint32
	// answeringSince is the time of the current attempt's first event; survived reports
	// whether it was recorded that the server did not crash.
	answeringSince clock.Millis
	survived       bool
	// progressAt is the time at which progressEvents events of the current attempt were known.
	progressAt     clock.Millis
	progressEvents int
	// confirms reports whether the request confirms the conviction of one of its parts.
	confirms bool
	// draw is the choice of a version while the service's software is rolled out, and
	// targetAttempts the number of attempts at the new one.
	draw           exposureDraw
	targetAttempts int
	// crashCheck is the server of which the request waits to learn whether it has crashed;
	// empty for none.
	crashCheck string
}

// resumable reports whether a caller may resume the stream.
func (fl *flight) resumable() bool {
	return fl.route.Kind == desired.Stream && fl.route.Resumable
}

// begun reports whether the request goes on with a stream that has begun at its origin. Before
// that, the origin only follows from the assignment of streams.
func (fl *flight) begun() bool { return fl.hasOrigin && (fl.partDelivered || fl.resumes()) }

// resumes reports whether the request resumes a stream.
func (fl *flight) resumes() bool {
	return fl.request.ResumedRequest != "" || fl.request.LastEventID != ""
}

func (fl *flight) id() string { return fl.request.ID }

// returnToLeftServers allows attempts at the servers that were left, for want of others.
func (fl *flight) returnToLeftServers() {
	for _, server := range fl.leftServers {
		delete(fl.triedServers, server)
	}
	fl.leftServers = nil
}

// hasPrompt reports whether the size of a prompt is known. A request without one may run on weights too.
func (fl *flight) hasPrompt() bool { return fl.request.PromptTokens != 0 }

// remaining returns the time until the deadline.
func (fl *flight) remaining(now clock.Millis) clock.Millis {
	return fl.deadline.Since(now)
}
