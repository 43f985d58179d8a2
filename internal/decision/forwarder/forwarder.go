// Package forwarder is the state machine of one instance on the users' platform:
// requests by host and path, forwarded unread to the servers of a service. Events
// go in, actions come out; it has no I/O, no goroutine, no clock and no global
// random source.
//
// It composes the packages that decide: desired (which route and team), allotter
// (the team's limit), placer (which server), budgeter (whether again), blamer
// (which requests crash servers), cachetracker (what servers have cached), roster
// (which servers there are) and orderer (which engine loads new weights).
//
// What it knows has an age. The desired state counts as of when the store last
// confirmed it; with keys that must not outlive their withdrawal, requests with a
// key are refused while that is too long ago.
//
// # Usage
//
//	machine := forwarder.New(place, incarnation, seed)
//	for _, next := range machine.Step(now, forwarder.Tick{}) {
//		perform(next)
//	}
//	wake := machine.NextWake()
//
// Instants are of a clock that counts while the machine is suspended.
package forwarder

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/allotter"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/blamer"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/budgeter"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/cachetracker"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/desired"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/journal"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/orderer"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/placer"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/roster"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/site"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Bounds and times of a Forwarder.
const (
	// maxInFlight bounds the requests at one time: with 64 KB each, a third of the
	// smallest machine.
	maxInFlight = 700
	// maxSuspects bounds the fingerprints that are blamed.
	maxSuspects = 1024
	// maxTickInterval is the time between steps when nothing else is due.
	maxTickInterval = 100 * clock.Millisecond
	// bucketWarmup is when a started instance trusts its own buckets: by then their
	// refill is more than what it may have missed.
	bucketWarmup = 3 * clock.Second
	// defaultRetryAfter is when a caller may come back where nothing better is known: a
	// restarted process or a new server is there by then.
	defaultRetryAfter = clock.Second
)

// Forwarder is one instance's state. It is not safe for concurrent use.
type Forwarder struct {
	settings    site.Site
	incarnation string
	// randomState is the state of a small generator, for spreading callers over time.
	randomState uint64
	now         clock.Millis
	startedAt   clock.Millis
	actions     []Action

	desired            desired.State
	desiredConfirmedAt clock.Millis // stateAt is as of when the store confirmed the state.
	haveServers        bool         // listed tells that the servers have been listed.
	// storeFailedAt is when calls to the store began to fail, and storeBack when it
	// answered again.
	storeFailedAt    clock.Millis
	storeRecoveredAt clock.Millis
	storeDown        bool

	servers     *roster.Roster
	scheduler   *placer.Placer
	limiter     *allotter.Allotter
	retryBudget *budgeter.Budgeter
	quarantine  *blamer.Blamer
	rollout     *orderer.Orderer
	caches      *cachetracker.CacheTracker
	// nextCacheScan is when to look for readings that are due, and cacheNews what the next
	// digest tells of those made here.
	nextCacheScan clock.Millis
	cacheDeltas   map[string]cachetracker.News

	// loadingSince is since when engines have been known to load weights, moveDue when
	// to look for streams that hold them up.
	loadingSince  map[string]clock.Millis
	nextMoveCheck clock.Millis

	peers map[string]peer
	// havePeers tells that the peers have been listed.
	havePeers     bool
	nextBroadcast clock.Millis
	lastBroadcast clock.Millis
	broadcastFull bool // tellAll tells that the next digest has what seldom changes.
	sequence      int64
	// reportedWeights are versions of weights that are known better than the store's.
	reportedWeights map[string]map[string]int64
	// interruptions are the requests that were cut off at a server lately: crashes if the
	// server turns out to be down.
	interruptions  map[string][]interruption
	crashedServers map[string][]string
	draining       bool

	flights map[string]*flight
}

// New returns the state of an instance that has just started at its place.
func New(place site.Site, incarnation string, seed uint64) *Forwarder {
	return &Forwarder{
		settings:        place,
		incarnation:     incarnation,
		randomState:     seed | 1,
		servers:         roster.New(),
		scheduler:       placer.New(),
		limiter:         allotter.New(),
		retryBudget:     budgeter.New(place.Bounds.RetryRatio, place.Bounds.RetryExtra, place.Bounds.RetryWindow),
		quarantine:      blamer.New(maxSuspects),
		rollout:         orderer.New(place.Name+"@"+place.IP, place.Bounds.OrderTurn),
		caches:          cachetracker.New(),
		cacheDeltas:     map[string]cachetracker.News{},
		loadingSince:    map[string]clock.Millis{},
		peers:           map[string]peer{},
		reportedWeights: map[string]map[string]int64{},
		interruptions:   map[string][]interruption{},
		crashedServers:  map[string][]string{},
		flights:         map[string]*flight{},
	}
}

// Step takes in what happened at now and returns what to do, in order. Instants
// never decrease from one step to the next.
func (f *Forwarder) Step(now clock.Millis, happened Event) []Action {
	f.now = now
	f.actions = nil
	if f.startedAt == 0 {
		f.startedAt = now
		f.log(journal.New(journal.InstanceStarted, "").With("instance", f.settings.Name).With("domain", f.settings.Domain).With("incarnation", f.incarnation))
	}
	f.handle(happened)
	f.runDueWork()
	return f.actions
}

// NextWake returns when the next Tick is due.
func (f *Forwarder) NextWake() clock.Millis {
	wake := min(f.now.Add(maxTickInterval), f.nextBroadcast)
	if f.rollout.Holding(f.now) || len(f.rollout.Updating()) > 0 {
		wake = f.now.Add(rolloutTickInterval)
	}
	for _, fl := range f.flights {
		wake = min(wake, fl.checkAt)
	}
	return max(wake, f.now.Add(clock.Millisecond))
}

func (f *Forwarder) handle(happened Event) {
	switch happened := happened.(type) {
	case Arrived:
		f.handleArrival(happened.Request)
	case Abandoned:
		f.handleDisconnect(happened.Request)
	case Answering:
		f.handleStreamStarted(happened)
	case Ended:
		f.handleAttemptEnded(happened)
	case StateRead:
		f.handleStateRead(happened)
	case StateConfirmed:
		f.desiredConfirmedAt = max(f.desiredConfirmedAt, happened.At)
	case ServersListed:
		f.handleServersListed(happened)
	case ServerChanged:
		f.handleServerChanged(happened)
	case ServerChecked:
		f.handleHealthChecked(happened)
	case StoreFailed:
		f.handleStoreFailed(happened)
	case StoreAnswered:
		f.handleStoreResponded()
	case PeersListed:
		f.handlePeersListed(happened)
	case PeerHeard:
		f.handleDigest(happened.Digest)
	case CacheRead:
		f.handleCacheRead(happened)
	case SiteRead:
		f.handleSettingsReloaded(happened.Site)
	case DrainAsked:
		f.draining = true
		f.log(journal.New(journal.InstanceDraining, "").With("inFlight", len(f.flights)))
	default:
		f.handleRollout(happened)
	}
}

// runDueWork does what is due by the time alone.
func (f *Forwarder) runDueWork() {
	f.servers.Expire(f.now)
	if f.now.Since(f.startedAt) >= bucketWarmup {
		f.limiter.Settle()
	}
	f.updateInstanceCounts()
	f.checkDownServers()
	f.checkFlights()
	f.advanceRollout()
	f.moveStreams()
	f.readDueCaches()
	f.broadcastDigest()
}

func (f *Forwarder) emit(next Action) { f.actions = append(f.actions, next) }

func (f *Forwarder) log(entry journal.Entry) { f.emit(Log{Entry: entry}) }

// ReadyAt reports whether a balancer should send requests here at now.
func (f *Forwarder) ReadyAt(now clock.Millis) bool {
	f.now = now
	return !f.draining && f.desired.Version > 0 && f.haveServers && !f.keysStale()
}

// InFlight returns the number of requests.
func (f *Forwarder) InFlight() int { return len(f.flights) }

// maxKeyAgeTenths is the part of the bound for withdrawn keys that the age of the desired
// state may reach, in tenths; the rest covers the clocks' drift and the way to the
// server.
const maxKeyAgeTenths = 9

// keysStale reports whether keys may have been withdrawn for too long.
func (f *Forwarder) keysStale() bool {
	return f.settings.Bounds.StrictKeys && f.desired.Keyed() && f.now.Since(f.desiredConfirmedAt) > f.settings.Bounds.KeyWithdrawal*maxKeyAgeTenths/10
}

// desiredFresh reports whether the desired state can't have been replaced for as long
// as the bound allows.
func (f *Forwarder) desiredFresh() bool {
	return f.now.Since(f.desiredConfirmedAt) <= f.settings.Bounds.ConfigApply
}

// jitter returns a number below limit.
func (f *Forwarder) jitter(limit int64) int64 {
	f.randomState ^= f.randomState << 13
	f.randomState ^= f.randomState >> 7
	f.randomState ^= f.randomState << 17
	return int64(f.randomState % uint64(max(1, limit)))
}
