package router

import (
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/config"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/eventids"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/recorder"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/tracker"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// stage is the processing stage of a request.
type stage int

const (
	stageAcquiringTokens stage = iota
	stageRecording
	stageRunning
	stageSettling
	stageIsolating
	stageAwaitingInstances
	stageAwaitingChoice
)

// String returns the stage's name.
func (s stage) String() string {
	return [...]string{"drawing", "recording", "running", "settling", "isolating", "listing", "choosing"}[s]
}

// flight is the state of one in-flight request.
type flight struct {
	request event.RequestArrived
	team    config.Team
	route   config.Route
	class   config.Class
	stage   stage
	arrived clock.Millis
	// callerDisconnected reports whether the caller has disconnected.
	callerDisconnected bool

	acquisitions acquisitions

	recorder recorder.Recorder
	// response is the response to the caller; the response of a call that may not be
	// repeated is recorded before it is sent.
	response recorder.Response

	attemptID string
	server    string
	attempts  int
	tried     map[string]bool
	// sentAt is the time at which the current attempt was dispatched, progressAt the time at which
	// progressEvents events of it were known; 0 before the first one.
	sentAt         clock.Millis
	progressAt     clock.Millis
	progressEvents int
	// possiblySent reports whether an attempt may have reached its server.
	possiblySent bool
	// resumed reports whether the current attempt was resumed after a broken connection.
	resumed bool
	// partiallyDelivered reports whether the caller has received part of the stream.
	partiallyDelivered bool
	prefill            prefill
	// owner is the cell's owner that selects the current attempt's server; empty if this
	// instance selects it.
	owner     tracker.Peer
	isolation isolation
	// resumeFrom is the position from which the caller resumes a broken stream; nil
	// for a new request.
	resumeFrom *eventids.Position
}

// id returns the request's identifier.
func (f *flight) id() string {
	return f.request.Request
}

func (f *flight) isModel() bool {
	return f.route.Kind == config.KindModel
}

// cost returns the most tokens that the request may use. A resumed stream costs
// nothing, since its tokens were acquired when it started.
func (f *flight) cost() int64 {
	if f.resumeFrom != nil {
		return 0
	}
	if f.isModel() {
		return f.request.PromptTokens + f.request.MaxTokens
	}
	return f.route.Cost
}

// refuse refuses the request and removes the flight.
func (r *Router) refuse(f *flight, refusal action.Refusal) {
	r.refuseRequest(f.id(), refusal)
	r.removeFlight(f)
}

func (r *Router) removeFlight(f *flight) {
	delete(r.flights, f.id())
}
