package router

import (
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/config"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/recorder"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/stamper"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/tracker"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// stage is where a request is in its life.
type stage int

const (
	stageDrawing stage = iota
	stageRecording
	stageRunning
	stageSettling
	stageIsolating
	stageListing
	stageChoosing
)

// String returns the stage's name.
func (s stage) String() string {
	return [...]string{"drawing", "recording", "running", "settling", "isolating", "listing", "choosing"}[s]
}

// flight is one request from its arrival to its end.
type flight struct {
	request event.RequestArrived
	team    config.Team
	route   config.Route
	class   config.Class
	stage   stage
	arrived clock.Millis
	// abandoned tells that the caller has gone.
	abandoned bool

	draws draws

	call recorder.Recorder
	// answer is a service's answer while it is being recorded.
	answer recorder.Answer

	attempt  string
	server   string
	attempts int
	tried    map[string]bool
	// sent tells that an attempt may have reached its server.
	sent bool
	// resumed tells that the current attempt was gone on with after a cut.
	resumed bool
	// passed tells that the caller has a part of the stream.
	passed bool
	work   work
	// home is the instance that chose the current attempt's server; empty for this
	// one.
	home      tracker.Peer
	isolation isolation
	// from is where a caller's lost stream goes on; nil for a new request.
	from *stamper.Place
}

// id returns the request's identifier.
func (f *flight) id() string {
	return f.request.Request
}

func (f *flight) isModel() bool {
	return f.route.Kind == config.KindModel
}

// cost returns what the request may use, in tokens. A stream that goes on was
// paid for when it began.
func (f *flight) cost() int64 {
	if f.from != nil {
		return 0
	}
	if f.isModel() {
		return f.request.PromptTokens + f.request.MaxTokens
	}
	return f.route.Cost
}

// refuse ends the flight with the refusal.
func (r *Router) refuse(f *flight, refusal action.Refusal) {
	r.refuseRequest(f.id(), refusal)
	r.end(f)
}

// end forgets the flight.
func (r *Router) end(f *flight) {
	delete(r.flights, f.id())
}
