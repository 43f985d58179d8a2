// Package router is the state machine of one instance: events in, actions out.
// It has no I/O, no goroutine, no clock and no global random source, so that an
// instance's whole behaviour runs in a test, or in a bench, step by step; equal
// seeds and equal events give equal actions.
//
// A request goes through these steps: received, key checked, tokens taken, call
// recorded (only one that may not be repeated), choice made, dispatched, first
// token, last token, answer recorded, tokens returned.
//
// # Usage
//
//	machine := router.New(settings)
//	for _, next := range machine.Step(now, event.Started{}) {
//		perform(next)
//	}
//	wake, ok := machine.NextWake()
//
// All state is bounded: by Settings.MaxInFlight for requests, by constants for
// the rest, and by the configuration and the instance list, which the platform
// bounds.
package router

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/blamer"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/chooser"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/journal"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/secret"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/config"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/divider"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/explainer"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/indexer"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/isolator"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/leaser"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/limiter"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/randomizer"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/sharder"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/tracker"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Bounds of a Router's state.
const (
	maxDraws      = 4096 // maxDraws bounds the outstanding draws of one shard.
	maxExplained  = 2000 // maxExplained bounds the requests that are explained.
	maxSettling   = 1024 // maxSettling bounds the call records being settled.
	maxHoldings   = 1024 // maxHoldings bounds the holders known, of all domains.
	maxBlamed     = 4096 // maxBlamed bounds the fingerprints that are blamed.
	maxIsolated   = 1024 // maxIsolated bounds the suspects that wait to run.
	maxGuests     = 8192 // maxGuests bounds the requests of others, chosen for here.
	maxOperations = 64   // maxOperations bounds the operators' operations.
)

// Settings are the fixed properties of one instance.
type Settings struct {
	Name        string
	Domain      string
	Address     string // Address is where peers reach the instance.
	Incarnation string // Incarnation differs for each start.
	// Credential is the fleet's; it signs the identifiers of streams' events.
	Credential secret.Secret
	// Seeds are addresses of peers to ask at the start.
	Seeds []string
	// MaxInFlight bounds the requests at one time.
	MaxInFlight int
	// AnswerTimeout bounds the wait for a backend server's first token or answer.
	AnswerTimeout clock.Millis
	// RecordTimeout bounds the recording of a call before its dispatch.
	RecordTimeout clock.Millis
	// Policy is how backend servers are chosen; empty for the system's own way.
	Policy chooser.Policy
	// Seed is the seed of the random identifiers.
	Seed [32]byte
}

// Router is one instance's state. It is not safe for concurrent use.
type Router struct {
	settings Settings
	ids      *randomizer.Randomizer
	now      clock.Millis
	out      []action.Action

	known  *tracker.Tracker
	rights *limiter.Limiter
	parts  *divider.Divider
	// loaded tells of which shards the divisions have been read since they are
	// held; dividing has the teams whose division is being changed.
	loaded   [limiter.Shards]bool
	dividing map[string]bool
	leases   [limiter.Shards]leaser.Lease
	// leaseTurns count the steps of the leases.
	leaseTurns [limiter.Shards]uint64
	heldTerms  [limiter.Shards]int64
	holdings   map[holdingKey]*peerv1.Holding
	explained  *explainer.Explainer
	index      *indexer.Indexer
	queued     map[string]int64 // queued are the prompt tokens not yet processed, by server.
	blame      *blamer.Blamer
	isolation  *isolator.Isolator

	manifest      sharder.Manifest
	configuration config.Config
	joiner        *sharder.Joiner
	values        map[string][]byte // values are the shards in force, by digest.
	pending       *pendingConfig
	// seenVersion is the version of the manifest's object that was last read.
	seenVersion int64

	flights    map[string]*flight
	drawers    map[string]string // drawers are requests by their open draw.
	settling   map[string]*settling
	guests     map[string]*flight // guests are other instances' requests, chosen for here.
	operations map[string]*operation

	calls        map[uint64]pendingCall
	lastCall     uint64
	timers       timerQueue
	platformDown bool
	// outageSeenAt is when the whole domain was last seen without the platform.
	outageSeenAt clock.Millis
	// paused tells that the process was paused since the last renewal of a lease.
	paused   bool
	lastStep clock.Millis
	// listStale tells that the list has not been read since a pause; relists
	// counts the reads for that.
	listStale bool
	relists   int
	claims    [limiter.Shards]claim
	watching  bool
	beats     int    // beats counts heartbeats, to take turns among far peers.
	turns     uint64 // turns counts choices, for the baselines of experiments.
	draining  bool
	stopped   bool
}

// New returns the state of an instance that has not started.
func New(settings Settings) *Router {
	r := &Router{
		settings:   settings,
		ids:        randomizer.New(settings.Seed),
		known:      tracker.New(settings.Name, settings.Domain),
		rights:     limiter.New(maxDraws),
		parts:      divider.New(settings.Domain),
		dividing:   map[string]bool{},
		holdings:   map[holdingKey]*peerv1.Holding{},
		explained:  explainer.New(maxExplained),
		index:      indexer.New(),
		queued:     map[string]int64{},
		blame:      blamer.New(maxBlamed),
		isolation:  isolator.New(maxIsolated),
		values:     map[string][]byte{},
		joiner:     sharder.NewJoiner(),
		flights:    map[string]*flight{},
		guests:     map[string]*flight{},
		drawers:    map[string]string{},
		settling:   map[string]*settling{},
		operations: map[string]*operation{},
		calls:      map[uint64]pendingCall{},
	}
	for shard := range r.leases {
		r.leases[shard] = leaser.New(leaseName(settings.Domain, shard), leaseIdentity(settings))
	}
	return r
}

// Step takes in what happened at now and returns what to do, in order. Instants
// never decrease from one step to the next.
func (r *Router) Step(now clock.Millis, happened event.Event) []action.Action {
	r.now = now
	r.out = nil
	r.noteStep()
	r.handle(happened)
	r.runTimers()
	r.stopWhenDrained()
	return r.out
}

// NextWake returns when the next Tick is due. It reports false when none is.
func (r *Router) NextWake() (clock.Millis, bool) {
	return r.timers.next()
}

func (r *Router) handle(happened event.Event) {
	switch happened := happened.(type) {
	case event.Started:
		r.start()
	case event.Tick:
	case event.RequestArrived:
		r.arrive(happened)
	case event.RequestAbandoned:
		r.abandon(happened)
	case event.FirstToken:
		r.firstToken(happened)
	case event.AttemptFailed:
		r.attemptFailed(happened)
	case event.AttemptAnswered:
		r.attemptAnswered(happened)
	case event.PlatformAnswered:
		r.platformAnswered(happened)
	case event.PeerMessage:
		r.peerMessage(happened)
	case event.ConfigSubmitted, event.KeyIssued, event.KeyWithdrawn, event.CallsListed, event.CallResolved, event.ExplanationAsked:
		r.operate(happened)
	case event.DrainAsked:
		r.drain()
	}
}

func (r *Router) start() {
	r.log(journal.New(journal.InstanceStarted, "").With("instance", r.settings.Name).With("domain", r.settings.Domain))
	r.readManifest()
	r.listInstances()
	r.after(0, heartbeatDue{})
	r.leaseSteps()
	r.after(divisionPeriod, periodDue{})
}

func (r *Router) identity() string {
	return tracker.Identity(r.settings.Name, r.settings.Incarnation)
}

func (r *Router) emit(next action.Action) {
	r.out = append(r.out, next)
}

func (r *Router) log(entry journal.Entry) {
	r.explained.Add(entry)
	r.emit(action.Log{Entry: entry})
}

// ready reports whether a configuration is in force.
func (r *Router) ready() bool {
	return r.manifest.Revision > 0
}

// Ready reports whether a balancer should send requests here: a configuration
// is in force, the holders of the own domain's rights are known, and the
// instance is not stopping. Requests are served while it stops as well.
func (r *Router) Ready() bool {
	return !r.draining && r.ready() && len(r.ownHoldings()) == limiter.Shards
}
