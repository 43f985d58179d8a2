// Package edge runs one instance on the users' platform. It does the input and output:
// it passes requests, responses, changes in the store and messages of peers to the state
// machine of package forwarder as events, and performs the actions that it returns. All
// decisions are made there.
//
// # Usage
//
//	instance, err := edge.Start(settings, platform, log)
//	instance.Drain()
package edge

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/cachetracker"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/instancesettings"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/replicator"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/rollout"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/bootclock"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/drainlistener"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/httpclient"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/httpserver"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/meter"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/objectcache"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/reserver"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/watcher"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// ResponseHead is the decoded head of a server's response.
type ResponseHead struct {
	// Header has the header fields that are forwarded to the caller.
	Header http.Header
	// WeightsVersion is the version of the weights that the response states; 0 if none.
	WeightsVersion int64
	// MatchesRequest reports whether the response belongs to the request. Otherwise it does not
	// say whether the request has run. NamesRequest reports whether it names a request at all.
	MatchesRequest bool
	NamesRequest   bool
	// Declined reports whether the server has refused to run the request that is named.
	Declined bool
	// Misdirected reports whether another server, or another version of the weights, is
	// at the address; it has not run the request that is named.
	Misdirected bool
	// Signed reports whether the server has signed the response.
	Signed bool
	// Notice is what the head says about the server itself.
	Notice forwarder.ServerNotice
}

// namedRequest describes the request that a response names which does not match.
func (h ResponseHead) namedRequest() string {
	if h.NamesRequest {
		return "another request"
	}
	return "no request"
}

// notice returns what the head says about a server that had a limit, or was brittle, when the
// request was sent. A response to another request may be from before that.
func (h ResponseHead) notice(limited, brittle bool) forwarder.ServerNotice {
	notice, current := h.Notice, h.MatchesRequest && !h.Misdirected
	notice.NamesNoLimit = limited && current && !notice.HasLimit && notice.InvalidLimit == ""
	notice.NotBrittle = brittle && current && !notice.Brittle.Known && notice.InvalidBrittle == ""
	return notice
}

// Notify takes what the head of a server's response says about the server. It is called as
// soon as the head has arrived.
type Notify func(notice forwarder.ServerNotice)

// Codec translates requests and responses between callers, the state machine and
// servers.
type Codec interface {
	CallerTimeout(header http.Header) clock.Millis
	DecodeRequest(inbound *httpserver.InboundRequest) forwarder.Request
	EncodeRequest(inbound *httpserver.InboundRequest, dispatch forwarder.Dispatch) httpclient.Request
	DecodeResponse(response *http.Response, requestID string) ResponseHead
}

// Platform is the interface to the users' platform.
type Platform interface {
	Codec
	watcher.Store
	Call(ctx context.Context, op objectstore.Op) objectstore.Response
	// ObserveEras sets the function that is called with the era of the store in each of its
	// answers, and with whether it is valid. The function returns the era to use for the
	// answer, and false for an answer that must not be used.
	ObserveEras(see func(era int64, valid bool) (int64, bool))
	// WatchedKinds returns the kinds of objects to copy from the store, with a sink for
	// each.
	WatchedKinds(submit func(forwarder.Event), log func(eventlog.Entry)) []WatchedKind
	// Register writes the instance's entry, which its peers list. Peers returns all
	// registered instances by name; they may be some seconds old.
	Register(ctx context.Context, name string, member forwarder.Member) error
	Peers(ctx context.Context) (map[string]forwarder.Member, error)
	// RemovePeer removes a peer that no longer responds.
	RemovePeer(ctx context.Context, name string) error
	// ReadAssignment reads the assignment of a service's streams, and WriteAssignment writes it.
	ReadAssignment(ctx context.Context, service string) objectstore.Response
	WriteAssignment(ctx context.Context, write forwarder.WriteAssignment) objectstore.Response
	FetchReport(ctx context.Context, request rollout.RequestReport, notify Notify) rollout.Report
	// SendOrder sends the order if allowed, called immediately before, returns true.
	SendOrder(ctx context.Context, order rollout.Order, allowed func() bool, notify Notify) rollout.OrderOutcome
	CheckHealth(ctx context.Context, check forwarder.CheckHealth, notify Notify) forwarder.HealthChecked
	// ReadCache reads which prompt parts a server or the cache store holds.
	ReadCache(ctx context.Context, read cachetracker.ReadRequest, notify Notify) forwarder.CacheRead
	// WriteVerdict writes the status of a roll-out's order.
	WriteVerdict(ctx context.Context, write forwarder.WriteVerdict) objectstore.Response
	// ReadyPath returns the path of the readiness check.
	ReadyPath() string
}

// WatchedKind is a kind of objects in the store of which the instance keeps copies.
type WatchedKind struct {
	ID         replicator.Kind
	Kind       string
	PollConfig watcher.PollConfig
	Sink       watcher.Sink
}

// Logger writes log entries. Write must not block.
type Logger interface{ Write(entry eventlog.Entry) }

const (
	// bodyMemoryDivisor limits the bodies of all requests to 1/6 of the process's memory.
	bodyMemoryDivisor = 6
	// responseMemoryDivisor limits what servers send, beyond the first bytes of each response, to 1/5 of it.
	responseMemoryDivisor = 5
)

// Edge is one running instance.
type Edge struct {
	settings instancesettings.Settings
	platform Platform
	logger   Logger
	meter    *meter.Meter
	machine  *stateMachine
	// httpServer serves the callers.
	httpServer *httpserver.Server
	peerSocket net.PacketConn
	// responses limits the memory for what servers send.
	responses *reserver.Reserver
	// kinds are the kinds of the store's objects, of which objects has the copies.
	// endWatch ends the watches of the store.
	kinds    []WatchedKind
	objects  *objectcache.Cache
	endWatch context.CancelFunc
	// applying is held while a copy and what the state machine knows of it change.
	applying sync.Mutex

	ctx            context.Context
	cancel         context.CancelFunc
	callerListener *drainlistener.Listener
	// adminServers serve the readiness check and the metrics.
	adminServers []*http.Server
	// draining reports whether Drain was called.
	draining atomic.Bool
	// stopTimeout is the bound in force, in clock.Millis.
	stopTimeout atomic.Int64
	goroutines  sync.WaitGroup
}

// Start starts an instance with the settings.
func Start(settings instancesettings.Settings, platform Platform, logger Logger) (*Edge, error) {
	return StartIn(context.Background(), settings, platform, logger)
}

// StartIn does the same in a context, whose values apply to all connections that the instance
// opens. The instance is closed by Close or Drain, not by the context.
func StartIn(parent context.Context, settings instancesettings.Settings, platform Platform, logger Logger) (*Edge, error) {
	var random [24]byte
	if _, err := rand.Read(random[:]); err != nil {
		return nil, errors.Wrap(err, "edge.Start")
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(parent))
	e := &Edge{settings: settings, platform: platform, logger: logger, meter: meter.New(), objects: objectcache.New(), endWatch: func() {}, ctx: ctx, cancel: cancel}
	e.stopTimeout.Store(int64(settings.Bounds.StopTimeout))
	fwd := forwarder.New(settings, hex.EncodeToString(random[:8]), binary.LittleEndian.Uint64(random[8:]))
	e.machine = newStateMachine(fwd, e.perform)
	e.meter.Gauge("status", func() any { return e.machine.status() })
	platform.ObserveEras(e.seeEra)
	e.kinds = platform.WatchedKinds(e.machine.submit, e.log)
	e.httpServer = httpserver.New(e, settings.MemoryMB<<20/bodyMemoryDivisor)
	e.responses = reserver.New(settings.MemoryMB << 20 / responseMemoryDivisor)
	e.meter.Gauge("requestBytes", func() any { return e.httpServer.BodyBytes() })
	e.meter.Gauge("responseBytes", func() any { return e.responses.Held() })
	if err := e.listen(); err != nil {
		e.Close()
		return nil, err
	}
	e.machine.submit(forwarder.Tick{})
	e.start(e.syncPeers)
	e.start(e.receiveDigests)
	return e, nil
}

func (e *Edge) listen() error {
	callers, err := net.Listen("tcp", e.settings.CallerAddress)
	if err != nil {
		return errors.Wrap(err, "edge.Start: callers")
	}
	e.callerListener = drainlistener.New(callers.(*net.TCPListener))
	e.start(func() {
		if err := e.httpServer.Serve(e.callerListener); err != nil {
			e.log(eventlog.New(eventlog.InstanceStopped, "").With("error", err))
		}
	})
	if e.peerSocket, err = net.ListenPacket("udp", e.settings.PeerAddress); err != nil {
		return errors.Wrap(err, "edge.Start: peers")
	}
	replicas := http.NewServeMux()
	replicas.HandleFunc("GET "+replicasPath, e.serveReplicas)
	peers := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodConnect {
			e.serveTunnel(w, r)
			return
		}
		replicas.ServeHTTP(w, r)
	})
	if err := e.serve(e.settings.PeerAddress, peers); err != nil {
		return errors.Wrap(err, "edge.Start: copies for peers")
	}
	readiness := http.NewServeMux()
	readiness.HandleFunc("GET "+e.platform.ReadyPath(), e.serveReadiness)
	if err := e.serve(e.settings.ReadinessAddress, readiness); err != nil {
		return errors.Wrap(err, "edge.Start: readiness")
	}
	if e.settings.MetricsAddress == "" {
		return nil
	}
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", e.meter.Handler())
	if err := e.serve(e.settings.MetricsAddress, metrics); err != nil {
		return errors.Wrap(err, "edge.Start: metrics")
	}
	return nil
}

func (e *Edge) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 2 * time.Second, IdleTimeout: 10 * time.Second}
	e.adminServers = append(e.adminServers, server)
	e.start(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			e.log(eventlog.New(eventlog.InstanceStopped, "").With("address", address).With("error", err))
		}
	})
	return nil
}

func (e *Edge) start(task func()) { e.goroutines.Go(task) }

// maxStackBytes limits the stack in the log entry of a panic.
const maxStackBytes = 2 << 10

// recoverPanic gives up the work on one request or message that has panicked, and logs it. The
// process and its other requests go on. It must be deferred.
func (e *Edge) recoverPanic(task string) {
	cause := recover()
	if cause == nil {
		return
	}
	e.meter.Add("panics", 1)
	stack := debug.Stack()
	e.log(eventlog.New(eventlog.PanicRecovered, "").With("task", task).With("error", fmt.Sprint(cause)).With("stack", string(stack[:min(len(stack), maxStackBytes)])))
}

func (e *Edge) log(entry eventlog.Entry) {
	e.meter.CountEvent(entry)
	e.logger.Write(entry)
}

func (e *Edge) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !e.machine.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Reload applies changed settings.
func (e *Edge) Reload(settings instancesettings.Settings) {
	e.stopTimeout.Store(int64(settings.Bounds.StopTimeout))
	e.machine.submit(forwarder.SettingsReloaded{Settings: settings})
}

const (
	// notReadyGrace is the time for which a stopping instance still accepts connections,
	// until the load balancer has noticed that it is not ready: two health checks, one
	// per second, and one that was already in progress.
	notReadyGrace = 2500 * time.Millisecond
	// stopMargin is the reserve between the last response and the time at which the
	// process is killed.
	stopMargin = 300 * time.Millisecond
	// refusalTime is the time within stopMargin in which the requests that can't be completed
	// are refused.
	refusalTime = 150 * time.Millisecond
	// drainPollInterval is the interval at which Drain checks for remaining requests.
	drainPollInterval = 50 * time.Millisecond
)

// Drain stops the instance gracefully: it reports not ready, serves callers until the
// load balancer sends no more and all requests are completed, at most until shortly
// before the process is killed, refuses the requests that are left, and closes.
func (e *Edge) Drain() {
	start := time.Now()
	timeLeft := clock.Millis(e.stopTimeout.Load()).Duration() - stopMargin
	e.draining.Store(true)
	now, listenFor := bootclock.Now(), min(notReadyGrace, timeLeft)
	e.machine.submit(forwarder.DrainRequested{ListenUntil: now.Add(clock.Millis(listenFor.Milliseconds())), StopAt: now.Add(clock.Millis(timeLeft.Milliseconds()))})
	e.httpServer.Drain()
	limit := start.Add(timeLeft)
	time.Sleep(min(notReadyGrace, time.Until(limit)))
	// A load balancer that has no other instance still sends requests here; those that arrive
	// from now on might not be completed in time.
	e.callerListener.Drain()
	if !e.awaitIdle(limit) {
		e.httpServer.EndReads()
		e.machine.submit(forwarder.DrainExpired{})
		e.awaitIdle(limit.Add(refusalTime))
	}
	e.log(eventlog.New(eventlog.InstanceStopped, "").With("inFlight", e.machine.inFlight()).With("after", time.Since(start).Milliseconds()))
	e.Close()
}

// awaitIdle waits until all requests are completed and all connections closed, at most until the
// limit. It reports whether they are.
func (e *Edge) awaitIdle(limit time.Time) bool {
	for {
		if e.httpServer.CloseIdle() == 0 && e.machine.inFlight() == 0 {
			return true
		}
		if time.Until(limit) <= 0 {
			return false
		}
		time.Sleep(min(drainPollInterval, time.Until(limit)))
	}
}

// Close stops the instance immediately and aborts requests in flight.
func (e *Edge) Close() {
	e.cancel()
	e.machine.close()
	// Errors are ignored: the process exits next and releases the sockets anyway.
	if e.callerListener != nil {
		_ = e.callerListener.Close()
	}
	for _, server := range e.adminServers {
		_ = server.Close()
	}
	if e.peerSocket != nil {
		_ = e.peerSocket.Close()
	}
}
