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
	// maxFlights bounds the requests at one time: with 64 KB each, a third of the
	// smallest machine.
	maxFlights = 700
	// maxBlamed bounds the fingerprints that are blamed.
	maxBlamed = 1024
	// restEvery is the time between steps when nothing else is due.
	restEvery = 100 * clock.Millisecond
	// settleAfter is when a started instance trusts its own buckets: by then their
	// refill is more than what it may have missed.
	settleAfter = 3 * clock.Second
	// comeBack is when a caller may come back where nothing better is known: a
	// restarted process or a new server is there by then.
	comeBack = clock.Second
)

// Forwarder is one instance's state. It is not safe for concurrent use.
type Forwarder struct {
	site        site.Site
	incarnation string
	// random is the state of a small generator, for spreading callers over time.
	random uint64
	now    clock.Millis
	began  clock.Millis
	out    []Action

	state   desired.State
	stateAt clock.Millis // stateAt is as of when the store confirmed the state.
	listed  bool         // listed tells that the servers have been listed.
	// storeTrouble is when calls to the store began to fail, and storeBack when it
	// answered again.
	storeTrouble clock.Millis
	storeBack    clock.Millis
	storeDown    bool

	servers *roster.Roster
	places  *placer.Placer
	shares  *allotter.Allotter
	budget  *budgeter.Budgeter
	blame   *blamer.Quarantine
	orders  *orderer.Orderer
	caches  *cachetracker.CacheTracker
	// cacheDue is when to look for readings that are due, and cacheNews what the next
	// digest tells of those made here.
	cacheDue  clock.Millis
	cacheNews map[string]cachetracker.News

	// updatingSince is since when engines have been known to load weights, moveDue when
	// to look for streams that hold them up.
	updatingSince map[string]clock.Millis
	moveDue       clock.Millis

	peers map[string]peer
	// peersKnown tells that the peers have been listed.
	peersKnown bool
	tellDue    clock.Millis
	toldAt     clock.Millis
	tellAll    bool // tellAll tells that the next digest has what seldom changes.
	sequence   int64
	// rumours are versions of weights that are known better than the store's.
	rumours map[string]map[string]int64
	// cuts are the requests that were cut off at a server lately: crashes if the
	// server turns out to be down.
	cuts     map[string][]cut
	crashes  map[string][]string
	draining bool

	flights map[string]*flight
}

// New returns the state of an instance that has just started at its place.
func New(place site.Site, incarnation string, seed uint64) *Forwarder {
	return &Forwarder{
		site:          place,
		incarnation:   incarnation,
		random:        seed | 1,
		servers:       roster.New(),
		places:        placer.New(),
		shares:        allotter.New(),
		budget:        budgeter.New(place.Bounds.RetryRatio, place.Bounds.RetryExtra, place.Bounds.RetryWindow),
		blame:         blamer.New(maxBlamed),
		orders:        orderer.New(place.Name+"@"+place.IP, place.Bounds.OrderTurn),
		caches:        cachetracker.New(),
		cacheNews:     map[string]cachetracker.News{},
		updatingSince: map[string]clock.Millis{},
		peers:         map[string]peer{},
		rumours:       map[string]map[string]int64{},
		cuts:          map[string][]cut{},
		crashes:       map[string][]string{},
		flights:       map[string]*flight{},
	}
}

// Step takes in what happened at now and returns what to do, in order. Instants
// never decrease from one step to the next.
func (f *Forwarder) Step(now clock.Millis, happened Event) []Action {
	f.now = now
	f.out = nil
	if f.began == 0 {
		f.began = now
		f.log(journal.New(journal.InstanceStarted, "").With("instance", f.site.Name).With("domain", f.site.Domain).With("incarnation", f.incarnation))
	}
	f.handle(happened)
	f.house()
	return f.out
}

// NextWake returns when the next Tick is due.
func (f *Forwarder) NextWake() clock.Millis {
	wake := min(f.now.Add(restEvery), f.tellDue)
	if f.orders.Holding(f.now) || len(f.orders.Updating()) > 0 {
		wake = f.now.Add(orderStep)
	}
	for _, fl := range f.flights {
		wake = min(wake, fl.due)
	}
	return max(wake, f.now.Add(clock.Millisecond))
}

func (f *Forwarder) handle(happened Event) {
	switch happened := happened.(type) {
	case Arrived:
		f.arrive(happened.Request)
	case Abandoned:
		f.abandon(happened.Request)
	case Answering:
		f.answering(happened)
	case Ended:
		f.ended(happened)
	case StateRead:
		f.stateRead(happened)
	case StateConfirmed:
		f.stateAt = max(f.stateAt, happened.At)
	case ServersListed:
		f.serversListed(happened)
	case ServerChanged:
		f.serverChanged(happened)
	case ServerChecked:
		f.serverChecked(happened)
	case StoreFailed:
		f.storeFailed(happened)
	case StoreAnswered:
		f.storeAnswered()
	case PeersListed:
		f.peersListed(happened)
	case PeerHeard:
		f.peerHeard(happened.Digest)
	case CacheRead:
		f.cacheRead(happened)
	case SiteRead:
		f.siteRead(happened.Site)
	case DrainAsked:
		f.draining = true
		f.log(journal.New(journal.InstanceDraining, "").With("inFlight", len(f.flights)))
	default:
		f.handleOrders(happened)
	}
}

// house does what is due by the time alone.
func (f *Forwarder) house() {
	f.servers.Expire(f.now)
	if f.now.Since(f.began) >= settleAfter {
		f.shares.Settle()
	}
	f.countMembers()
	f.checkServers()
	f.timeOut()
	f.stepOrders()
	f.moveStreams()
	f.readCaches()
	f.tell()
}

func (f *Forwarder) emit(next Action) { f.out = append(f.out, next) }

func (f *Forwarder) log(entry journal.Entry) { f.emit(Log{Entry: entry}) }

// ReadyAt reports whether a balancer should send requests here at now.
func (f *Forwarder) ReadyAt(now clock.Millis) bool {
	f.now = now
	return !f.draining && f.state.Version > 0 && f.listed && !f.keysOld()
}

// InFlight returns the number of requests.
func (f *Forwarder) InFlight() int { return len(f.flights) }

// keyMargin is the part of the bound for withdrawn keys that the age of the desired
// state may reach, in tenths; the rest covers the clocks' drift and the way to the
// server.
const keyMargin = 9

// keysOld reports whether keys may have been withdrawn for too long.
func (f *Forwarder) keysOld() bool {
	return f.site.Bounds.StrictKeys && f.state.Keyed() && f.now.Since(f.stateAt) > f.site.Bounds.KeyWithdrawal*keyMargin/10
}

// stateFresh reports whether the desired state can't have been replaced for as long
// as the bound allows.
func (f *Forwarder) stateFresh() bool {
	return f.now.Since(f.stateAt) <= f.site.Bounds.ConfigApply
}

// spread returns a number below limit.
func (f *Forwarder) spread(limit int64) int64 {
	f.random ^= f.random << 13
	f.random ^= f.random >> 7
	f.random ^= f.random << 17
	return int64(f.random % uint64(max(1, limit)))
}
