// Package router is the state machine of one instance: it maps events to actions.
// It does no I/O, starts no goroutines, and reads neither a clock nor a global
// random source. Tests and benchmarks can therefore drive an instance step by
// step, and equal seeds and events produce equal actions.
//
// A request passes through these stages: received, key checked, tokens acquired,
// call recorded (only if it may not be repeated), server selected, dispatched,
// first token, last token, response recorded, unused tokens refunded.
//
// A failure domain's share of the teams' limits (its quota) is split into shards by
// team. The instance that holds a shard's lease grants the tokens of its teams. The
// configuration is stored in shards too; they are independent of those of the quota.
//
// # Usage
//
//	machine := router.New(settings)
//	for _, next := range machine.Step(now, event.Started{}) {
//		perform(next)
//	}
//	wake, ok := machine.NextWake()
//
// All state is bounded: requests by Settings.MaxInFlight, the rest by constants,
// by the configuration and by the instance list. The platform bounds the last two.
package router

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/balancer"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/paceestimator"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/quarantine"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/secret"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/config"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/divider"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/explainer"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/idgenerator"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/indexer"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/isolator"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/leaser"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/limiter"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/sharder"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/tracker"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Limits of a Router's state.
const (
	maxRefundableAcquisitions  = 4096 // Outstanding acquisitions of one quota shard that can be refunded.
	maxExplained               = 2000 // Requests whose events are kept for explanations.
	maxSettling                = 1024 // Call records being settled in the background.
	maxHolders                 = 1024 // Known holders of quota shards, of all domains.
	maxQuarantinedFingerprints = 4096 // Fingerprints of suspect or blocked requests.
	maxQueuedSuspects          = 1024 // Suspect requests waiting for an isolated run.
	maxDelegatedRequests       = 8192 // Requests of other instances for which this one selected the server.
	maxOperations              = 64   // Concurrent operations of operators.
)

// Settings are the fixed properties of one instance.
type Settings struct {
	Name        string
	Domain      string
	Address     string // Address is the address for peers.
	Incarnation string // Incarnation is unique to each start of the process.
	// Credential is shared by all instances. It signs the event identifiers of streams.
	Credential secret.Secret
	// SeedAddresses are the addresses of peers to contact at startup.
	SeedAddresses []string
	// MaxInFlight is the limit of concurrent requests.
	MaxInFlight int
	// ResponseTimeout limits the wait for a backend server's first token or response.
	ResponseTimeout clock.Millis
	// RecordTimeout limits the recording of a call before its dispatch.
	RecordTimeout clock.Millis
	// Policy selects backend servers; empty means the default policy.
	Policy balancer.Policy
	// Seed seeds the generator of random identifiers.
	Seed [32]byte
}

// Router is one instance's state. It is not safe for concurrent use.
type Router struct {
	settings Settings
	ids      *idgenerator.Generator
	now      clock.Millis
	actions  []action.Action

	view    *tracker.Tracker
	limiter *limiter.Limiter
	divider *divider.Divider
	// divisionsLoaded reports, by quota shard, whether the divisions of its teams'
	// limits were read since this instance became the holder.
	divisionsLoaded [limiter.ShardCount]bool
	// divisionPending has the teams whose division is being changed.
	divisionPending map[string]bool
	leases          [limiter.ShardCount]leaser.Lease
	// leaseGenerations count the steps of each shard's lease, to invalidate older timers.
	leaseGenerations [limiter.ShardCount]uint64
	heldTerms        [limiter.ShardCount]int64
	holders          map[quotaShardKey]*peerv1.Holding
	explainer        *explainer.Explainer
	prefixIndex      *indexer.Indexer
	queuedTokens     map[string]int64 // queuedTokens are the uncached prompt tokens awaiting prefill, by server.
	quarantine       *quarantine.Quarantine
	isolator         *isolator.Isolator

	manifest          sharder.Manifest
	configuration     config.Config
	joiner            *sharder.Joiner
	configShardValues map[string][]byte // configShardValues are the encoded configuration shards in force, by digest.
	pendingConfig     *pendingConfig
	// manifestVersion is the version of the manifest object that was last read.
	manifestVersion int64

	flights              map[string]*flight
	requestByAcquisition map[string]string // requestByAcquisition has the request of each pending acquisition.
	settling             map[string]*settlement
	delegatedRequests    map[string]*flight // delegatedRequests are other instances' requests for which this one selected the server.
	operations           map[string]*operation

	pendingCalls map[uint64]pendingCall
	lastCallID   uint64
	timers       timerQueue
	platformDown bool
	// outageLastSeen is the last time at which no instance of the domain reached the
	// platform.
	outageLastSeen clock.Millis
	// paused reports whether the process was paused since the last lease renewal.
	paused     bool
	lastStepAt clock.Millis
	// instancesStale reports whether the instance list must be read again because the
	// process was paused; refreshCount counts these reads.
	instancesStale bool
	refreshCount   int
	leaseClaims    [limiter.ShardCount]leaseClaim
	watching       bool
	heartbeatCount int    // heartbeatCount numbers the heartbeats and rotates through the peers of other domains.
	choiceCount    uint64 // choiceCount is an input of the baseline policies of experiments.
	draining       bool
	stopped        bool
	// workEnd is the time at which the requests that are left are ended, if draining.
	workEnd     clock.Millis
	interrupted int // interrupted is the number of requests ended at workEnd.
	// callersGone reports whether no connection of a caller is left, if draining.
	callersGone bool
	paces       *paceestimator.Estimator
}

// New returns the state of an instance that has not started.
func New(settings Settings) *Router {
	r := &Router{
		settings:             settings,
		ids:                  idgenerator.New(settings.Seed),
		view:                 tracker.New(settings.Name, settings.Domain),
		limiter:              limiter.New(maxRefundableAcquisitions),
		divider:              divider.New(settings.Domain),
		divisionPending:      map[string]bool{},
		holders:              map[quotaShardKey]*peerv1.Holding{},
		explainer:            explainer.New(maxExplained),
		prefixIndex:          indexer.New(),
		queuedTokens:         map[string]int64{},
		quarantine:           quarantine.New(maxQuarantinedFingerprints),
		isolator:             isolator.New(maxQueuedSuspects),
		configShardValues:    map[string][]byte{},
		joiner:               sharder.NewJoiner(),
		flights:              map[string]*flight{},
		delegatedRequests:    map[string]*flight{},
		requestByAcquisition: map[string]string{},
		settling:             map[string]*settlement{},
		operations:           map[string]*operation{},
		pendingCalls:         map[uint64]pendingCall{},
		paces:                paceestimator.New(),
	}
	for shard := range r.leases {
		r.leases[shard] = leaser.New(leaseName(settings.Domain, shard), leaseIdentity(settings))
	}
	return r
}

// Step processes an event that occurred at now and returns the actions to perform,
// in order. The time must not decrease from one step to the next.
func (r *Router) Step(now clock.Millis, ev event.Event) []action.Action {
	r.now = now
	r.actions = nil
	r.detectPause()
	r.handleEvent(ev)
	r.runTimers()
	r.stopWhenDrained()
	return r.actions
}

// NextWake returns the time of the next Tick. It reports false if no timer is set.
func (r *Router) NextWake() (clock.Millis, bool) {
	return r.timers.next()
}

func (r *Router) handleEvent(ev event.Event) {
	switch ev := ev.(type) {
	case event.Started:
		r.start()
	case event.Tick:
	case event.RequestArrived:
		r.handleArrival(ev)
	case event.CallerDisconnected:
		r.handleCallerDisconnected(ev)
	case event.FirstToken:
		r.handleFirstToken(ev)
	case event.StreamProgressed:
		r.handleStreamProgressed(ev)
	case event.AttemptFailed:
		r.handleAttemptFailed(ev)
	case event.AttemptCompleted:
		r.handleAttemptCompleted(ev)
	case event.PlatformResponded:
		r.handlePlatformResponse(ev)
	case event.PeerMessage:
		r.handlePeerMessage(ev)
	case event.ConfigSubmitted, event.KeyIssueRequested, event.KeyWithdrawalRequested, event.CallListRequested, event.CallResolutionSubmitted, event.ExplanationRequested:
		r.handleOperation(ev)
	case event.DrainRequested:
		r.startDrain(ev.Timeout)
	case event.CallersGone:
		r.callersGone = true
		r.advanceLeases()
	}
}

func (r *Router) start() {
	r.log(eventlog.New(eventlog.InstanceStarted, "").With("instance", r.settings.Name).With("domain", r.settings.Domain))
	r.readManifest()
	r.listInstances()
	r.scheduleAfter(0, heartbeatTimer{})
	r.advanceLeases()
	r.scheduleAfter(rebalanceInterval, rebalanceTimer{})
}

func (r *Router) identity() string {
	return tracker.Identity(r.settings.Name, r.settings.Incarnation)
}

func (r *Router) emit(next action.Action) {
	r.actions = append(r.actions, next)
}

func (r *Router) log(entry eventlog.Entry) {
	r.explainer.Add(entry)
	r.emit(action.Log{Entry: entry})
}

// ready reports whether a configuration is in force.
func (r *Router) ready() bool {
	return r.manifest.Revision > 0
}

// Ready reports whether a load balancer should send requests here: a configuration
// is in force, the holders of all shards of the local domain's quota are known, and
// the instance is not draining. A draining instance still serves requests.
func (r *Router) Ready() bool {
	return !r.draining && r.ready() && len(r.domainHolders()) == limiter.ShardCount
}
