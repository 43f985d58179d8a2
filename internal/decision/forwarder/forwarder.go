// Package forwarder is the state machine of one proxy instance on the users' platform.
// It forwards requests by host and path to the servers of a service without
// interpreting their bodies. It takes events and returns actions; it does no I/O,
// starts no goroutines, and reads no clock and no global random source.
//
// It composes the packages that decide: desired (route and team), tokenbucket (the
// team's limit), scheduler (server selection), retrybudget (retry budget), quarantine
// (requests that crash servers), partquarantine (parts of prompts that do), cachetracker (cached prompt parts at servers), registry
// (backend servers), rollout (loading new weights into engines), organizer (with which
// instances digests are exchanged), replicator (from where the store's objects are read),
// backlogkeeper (how long engines still take for the prompts that they were sent),
// limitsharer (limits that servers name), admitter (which requests are sent, wait or are refused),
// originkeeper (where streams began), versionassigner (where they begin, for a restart of all
// instances), streamtracker (which streams may be resumed), exposurekeeper (how much a new
// software version gets), paceestimator (how long servers take) and pathfinder
// (through which instance a server is reached).
//
// The age of the desired state is the time since the store last confirmed it. With
// strict key withdrawal, requests with a key are refused while the state is too old,
// because their key may have been withdrawn meanwhile.
//
// # Usage
//
//	machine := forwarder.New(settings, incarnation, seed)
//	for _, action := range machine.Step(now, forwarder.Tick{}) {
//		perform(action)
//	}
//	wake := machine.NextWake()
//
// Times are from a clock that also counts while the host is suspended.
package forwarder

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/admitter"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/backlogkeeper"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/cachesalter"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/cachetracker"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/desired"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/digest"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/eratracker"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/instancesettings"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/limitsharer"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/organizer"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/originkeeper"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/outbox"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/partquarantine"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/pathfinder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/quarantine"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/registry"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/relayer"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/replicator"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/retrybudget"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/rollout"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/scheduler"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/tokenbucket"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Limits and intervals of a Forwarder.
const (
	// maxInFlight limits the in-flight requests: at 64 KB each, they use a third of the
	// smallest machine's memory.
	maxInFlight = 700
	// maxSuspects limits the fingerprints tracked in the quarantine.
	maxSuspects = 1024
	// serverScanInterval is the time between two scans for servers that are due for a
	// health check.
	serverScanInterval = 50 * clock.Millisecond
	// maxTickInterval is the time until the next step when nothing else is due.
	maxTickInterval = 100 * clock.Millisecond
	// bucketWarmup is the uptime after which an instance trusts its own token buckets:
	// by then their refill exceeds the usage that it may have missed.
	bucketWarmup = 3 * clock.Second
	// defaultRetryAfter is the retry delay for callers where nothing better is known: a
	// restarted process or a new server is available by then.
	defaultRetryAfter = clock.Second
)

// Notices to neighbors.
const (
	// noticePeriod is the time for which a notice is repeated: in several digests.
	noticePeriod = 700 * clock.Millisecond
	// sentNoticePeriod is the same for sent prompt parts, which are many.
	sentNoticePeriod = 400 * clock.Millisecond
	// noticeMemory is the time for which a repeated notice is ignored, and
	// weightsNoticeMemory the same for versions of weights, which never return.
	noticeMemory        = 1500 * clock.Millisecond
	weightsNoticeMemory = 10 * clock.Second
	// maxNotices limits the notices of a kind that are kept.
	maxNotices = 1024
)

// Forwarder is the state of one instance. It is not safe for concurrent use.
type Forwarder struct {
	settings    instancesettings.Settings
	incarnation string
	// randomState is the state of an xorshift generator, for jitter.
	randomState uint64
	now         clock.Millis
	startedAt   clock.Millis
	// lastStepAt is the time of the last step, and resumedAt that of the first one after a pause
	// of this process; 0 for none.
	lastStepAt clock.Millis
	resumedAt  clock.Millis
	actions    []Action

	desired desired.State
	// salter names the salts of cached parts for the desired state.
	salter cachesalter.Salter
	// desiredConfirmedAt is the time at which the desired state was last known to be
	// current.
	desiredConfirmedAt clock.Millis
	// haveServers reports whether the servers have been listed, and haveServersSince since when.
	haveServers      bool
	haveServersSince clock.Millis
	// storeFailedAt is the time at which calls to the store began to fail,
	// storeRecoveredAt the time at which they succeeded again.
	storeFailedAt    clock.Millis
	storeRecoveredAt clock.Millis
	storeDown        bool

	servers     *registry.Registry
	scheduler   *scheduler.Scheduler
	limiter     *tokenbucket.Limiter
	retryBudget *retrybudget.Budget
	quarantine  *quarantine.Quarantine
	rollout     *rollout.Controller
	caches      *cachetracker.CacheTracker
	// nextCacheScan is the time of the next scan for caches to read; cacheDeltas are
	// the changes for the next digests.
	nextCacheScan clock.Millis
	cacheDeltas   []cacheDelta

	// nextServerScan and nextRollout are the times of the next scan for health checks and
	// of the next step of the rollout.
	nextServerScan clock.Millis
	nextRollout    clock.Millis

	// loadingSince is the time at which each engine was first seen to load weights;
	// nextMoveCheck is the time of the next check for streams that delay it.
	loadingSince  map[string]clock.Millis
	nextMoveCheck clock.Millis
	// leavingSince is the time since which each server with running streams leaves or is no
	// longer listed.
	leavingSince map[string]clock.Millis

	// peers are the other listed instances by identifier, and arrangement their
	// positions. havePeers reports whether they have been listed.
	peers       map[uint32]peer
	arrangement organizer.Arrangement
	havePeers   bool
	ownEntry    Member
	// neighbors are the instances with which digests are exchanged, by name. upstream is
	// the one above this instance; empty for none.
	neighbors      map[string]neighbor
	upstream       string
	lastUpstreamAt clock.Millis
	nextUpgrade    clock.Millis
	probeIndex     int
	// sent are the sums that were sent to neighbors. upstreamSince is the sequence number
	// of the first digest that was sent to the current upstream.
	sent          *outbox.Outbox
	upstreamSince uint64
	nextBroadcast clock.Millis
	lastBroadcast clock.Millis
	broadcasts    int
	// broadcastFull reports whether the next digest includes the fields that seldom
	// change.
	broadcastFull bool
	// admittedBelow and admittedElsewhere are the tokens that instances in this one's
	// subtree, and all others, have admitted while this instance ran, by team.
	admittedBelow     map[string]int64
	admittedElsewhere map[string]int64
	// teamNames and serverNames are the names by identifier in digests.
	teamNames   map[uint32]string
	serverNames map[uint32]string
	// The notices are repeated in several digests.
	unreachableNotices *relayer.Relayer[string]
	recoveredNotices   *relayer.Relayer[string]
	weightsNotices     *relayer.Relayer[digest.ReportedWeights]
	leavingNotices     *relayer.Relayer[digest.LeavingServer]
	sentNotices        *relayer.Relayer[sentPart]
	// orders are the states of other instances that order engines, by name.
	orders map[string]receivedOrders
	// keeper has the backlogs of the engines that this instance keeps. queries are the
	// choices that wait for keepers, by their identifier, and silentKeepers the times
	// until which keepers that did not reply are not asked.
	// keepers are the keepers of all engines; nil when they must be assigned anew.
	keeper        *backlogkeeper.Keeper
	keepers       map[string]string
	queries       map[uint64]*flight
	queryID       uint64
	silentKeepers map[string]clock.Millis
	// origins has where streams began, and lookups the requests that wait for an origin
	// from other instances, by the identifier of their query.
	origins        *originkeeper.Keeper
	lookups        map[uint64]*flight
	soleVersions   map[string]soleVersion
	nextOriginsLog clock.Millis
	// replicas decides from where the store's objects are read, and eras what a new era of
	// the store invalidates.
	replicas *replicator.Replicator
	eras     *eratracker.Tracker
	// interruptions are the recently interrupted requests by server: they count as
	// crashes if the server turns out to be down. crashedServers are the servers that
	// crashed, by the fingerprint of a request that ran there.
	interruptions  map[string][]interruption
	crashedServers map[string][]string
	// parts has the parts of prompts that crash engines, and pendingCrashes the crashes for
	// which no part is accused yet.
	parts          *partquarantine.Quarantine
	pendingCrashes []pendingCrash
	// newConvictions are the parts that were convicted in this step.
	newConvictions []uint64
	// limits has the limits that servers named, and holders who may send to those servers.
	limits  *limitsharer.Sharer
	holders map[limitsharer.Start]limitHolders

	// rooms has the servers that crash for rejections, brittleServices what the servers of a
	// service said of that last, and groupCeilings what they take.
	rooms           *limitsharer.Rooms
	brittleServices map[string]brittleService
	groupCeilings   map[roomGroup]groupCeiling
	// routeSplits are the times since which routes of resumable streams lead to their services, by splitKey.
	// It holds the routes of the newest state only.
	routeSplits map[string]clock.Millis
	// startsSeen are the times at which servers were first seen, or seen to have started anew,
	// while others were known.
	startsSeen map[string]clock.Millis
	// startDoubts has the engines that may have started again under their identifiers.
	startDoubts map[string]startDoubt
	// paths has the ways to the servers, and suspicions those about which other instances are
	// asked. tunnels are the connections that are open for other instances.
	paths       *pathfinder.Pathfinder
	suspicions  map[string]*suspicion
	nextControl clock.Millis
	// nextHopSearch is the time from which hops may be searched for again.
	nextHopSearch clock.Millis
	// controls are the beginnings of the connects that show whether this instance is cut off.
	controls map[string]clock.Millis
	tunnels  map[string]tunnel

	// streamAssignments has the assignments of streams to software versions.
	streamAssignments
	// admitter decides which requests with prompts are sent, wait or are refused.
	admitter *admitter.Admitter
	// rollouts has the roll-outs of software.
	rollouts
	drainState

	flights map[string]*flight
	// nextWithdrawal is the time of the next check for requests that have not begun in time.
	nextWithdrawal clock.Millis
	weightsAges    weightsAges
}

// New returns the state of an instance that has just started.
func New(settings instancesettings.Settings, incarnation string, seed uint64) *Forwarder {
	return &Forwarder{
		settings:    settings,
		incarnation: incarnation,
		randomState: seed | 1,
		// A late reply to an earlier start must not answer a query of this one.
		queryID:       seed,
		servers:       registry.New(),
		scheduler:     scheduler.New(),
		limiter:       tokenbucket.New(),
		retryBudget:   retrybudget.New(settings.Bounds.RetryRatio, settings.Bounds.RetryExtra, settings.Bounds.RetryWindow),
		quarantine:    quarantine.New(maxSuspects),
		rollout:       rollout.New(settings.Name+"@"+settings.IP, settings.Bounds.MinOrderHandover),
		caches:        cachetracker.New(),
		loadingSince:  map[string]clock.Millis{},
		peers:         map[uint32]peer{},
		arrangement:   organizer.Arrange(settings.Name, nil),
		neighbors:     map[string]neighbor{},
		sent:          outbox.New(digest.ID(incarnation)),
		admittedBelow: map[string]int64{}, admittedElsewhere: map[string]int64{},
		teamNames: map[uint32]string{}, serverNames: map[uint32]string{},
		unreachableNotices: relayer.New[string](noticePeriod, noticeMemory, maxNotices), recoveredNotices: relayer.New[string](noticePeriod, noticeMemory, maxNotices),
		weightsNotices: relayer.New[digest.ReportedWeights](noticePeriod, weightsNoticeMemory, maxNotices),
		leavingNotices: relayer.New[digest.LeavingServer](noticePeriod, leavingNoticeMemory, maxNotices),
		leavingSince:   map[string]clock.Millis{},
		sentNotices:    relayer.New[sentPart](sentNoticePeriod, noticeMemory, maxNotices),
		orders:         map[string]receivedOrders{},
		keeper:         backlogkeeper.New(), queries: map[uint64]*flight{}, silentKeepers: map[string]clock.Millis{},
		origins: originkeeper.New(), lookups: map[uint64]*flight{}, soleVersions: map[string]soleVersion{},
		streamAssignments: newStreamAssignments(),
		interruptions:     map[string][]interruption{},
		crashedServers:    map[string][]string{},
		eras:              eratracker.New(),
		parts:             partquarantine.New(maxAccusedParts),
		limits:            limitsharer.New(), holders: map[limitsharer.Start]limitHolders{},
		rooms: limitsharer.NewRooms(), brittleServices: map[string]brittleService{}, groupCeilings: map[roomGroup]groupCeiling{}, startsSeen: map[string]clock.Millis{}, startDoubts: map[string]startDoubt{},
		paths: pathfinder.New(), suspicions: map[string]*suspicion{}, controls: map[string]clock.Millis{}, tunnels: map[string]tunnel{},
		admitter:   admitter.New(),
		drainState: newDrainState(), weightsAges: newWeightsAges(),
		rollouts: newRollouts(settings.Bounds.LimitsExposure()),
		flights:  map[string]*flight{},
	}
}

func (f *Forwarder) emit(action Action) { f.actions = append(f.actions, action) }

func (f *Forwarder) log(entry eventlog.Entry) { f.emit(Log{Entry: entry}) }
