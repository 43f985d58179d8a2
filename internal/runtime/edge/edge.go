// Package edge runs one instance on the users' platform: it turns what callers,
// servers, the store and peers do into events of the state machine, and performs its
// actions. It decides nothing.
//
// # Usage
//
//	running, err := edge.Start(place, platform, log)
//	<-running.Stopped()
package edge

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/cachetracker"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/journal"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/orderer"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/site"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/exchanger"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/front"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/meter"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/watcher"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// ResponseHead is the head of a server's answer.
type ResponseHead struct {
	// Header is what of it the caller gets.
	Header http.Header
	// Weights is the version of the weights that the answer names; 0 when none.
	Weights int64
	// MatchesRequest tells that the answer is to the request.
	MatchesRequest bool
	// Declined and Misaddressed tell that the server has not run the request.
	Declined    bool
	Misdirected bool
	// Signed tells that the server has signed the answer.
	Signed bool
}

// Codec translates requests and answers between callers, the state machine and
// servers.
type Codec interface {
	CallerTimeout(header http.Header) clock.Millis
	DecodeRequest(inbound *front.Inbound) forwarder.Request
	EncodeRequest(inbound *front.Inbound, dispatch forwarder.Dispatch) exchanger.Request
	DecodeResponse(response *http.Response, request string) ResponseHead
}

// Platform is what the instance needs of the users' platform.
type Platform interface {
	Codec
	watcher.Store
	Call(ctx context.Context, op objectstore.Op) objectstore.Response
	// WatchedKinds returns what follows the store's kinds.
	WatchedKinds(submit func(forwarder.Event), log func(journal.Entry)) []WatchedKind
	// Join makes the instance known to its peers, and Peers returns them all.
	Join(ctx context.Context, name, address string) error
	Peers(ctx context.Context) (map[string]string, error)
	// Leave removes a peer that is gone.
	Leave(ctx context.Context, name string) error
	FetchReport(ctx context.Context, ask orderer.RequestReport) orderer.Report
	SendOrder(ctx context.Context, order orderer.Order, allowed func() bool) orderer.OrderOutcome
	CheckHealth(ctx context.Context, check forwarder.Check) (healthy, gone bool)
	// ReadCache asks a server, or the store of kept parts, what it has cached.
	ReadCache(ctx context.Context, read cachetracker.ReadRequest) forwarder.CacheRead
	ReadyPath() string
}

// WatchedKind is a kind of the store's objects that is followed.
type WatchedKind struct {
	Kind string
	Pace watcher.Pace
	Sink watcher.Sink
}

// Logger takes entries. It must not block.
type Logger interface{ Write(entry journal.Entry) }

// bodyPart is the part of the process's memory that bodies may take.
const bodyPart = 6

// Edge is one running instance.
type Edge struct {
	place    site.Site
	platform Platform
	logger   Logger
	meter    *meter.Meter
	machine  *machine
	front    *front.Server
	socket   net.PacketConn

	ctx     context.Context
	cancel  context.CancelFunc
	callers net.Listener
	servers []*http.Server
	tasks   sync.WaitGroup
}

// Start starts an instance at its place.
func Start(place site.Site, users Platform, logger Logger) (*Edge, error) {
	var random [24]byte
	if _, err := rand.Read(random[:]); err != nil {
		return nil, errors.Wrap(err, "edge.Start")
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Edge{place: place, platform: users, logger: logger, meter: meter.New(), ctx: ctx, cancel: cancel}
	decisions := forwarder.New(place, hex.EncodeToString(random[:8]), binary.LittleEndian.Uint64(random[8:]))
	e.machine = newMachine(decisions, e.perform)
	e.front = front.New(e, place.MemoryMB<<20/bodyPart)
	if err := e.listen(); err != nil {
		e.Close()
		return nil, err
	}
	e.machine.submit(forwarder.Tick{})
	for _, following := range users.WatchedKinds(e.machine.submit, e.log) {
		e.run(func() { watcher.New(users, following.Kind, following.Pace, following.Sink).Run(ctx) })
	}
	e.run(e.joinPeers)
	e.run(e.hearPeers)
	return e, nil
}

func (e *Edge) listen() error {
	var err error
	if e.callers, err = net.Listen("tcp", e.place.Callers); err != nil {
		return errors.Wrap(err, "edge.Start: callers")
	}
	e.run(func() {
		if err := e.front.Serve(e.callers); err != nil {
			e.log(journal.New(journal.InstanceStopped, "").With("error", err))
		}
	})
	if e.socket, err = net.ListenPacket("udp", e.place.Peers); err != nil {
		return errors.Wrap(err, "edge.Start: peers")
	}
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+e.platform.ReadyPath(), e.ready)
	if err := e.serve(e.place.Readiness, ready); err != nil {
		return errors.Wrap(err, "edge.Start: readiness")
	}
	if e.place.Metrics == "" {
		return nil
	}
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", e.meter.Handler())
	if err := e.serve(e.place.Metrics, metrics); err != nil {
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
	e.servers = append(e.servers, server)
	e.run(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			e.log(journal.New(journal.InstanceStopped, "").With("address", address).With("error", err))
		}
	})
	return nil
}

func (e *Edge) run(task func()) { e.tasks.Go(task) }

func (e *Edge) log(entry journal.Entry) {
	e.meter.Entry(entry)
	e.logger.Write(entry)
}

func (e *Edge) ready(w http.ResponseWriter, _ *http.Request) {
	if !e.machine.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Reload puts changed settings in force.
func (e *Edge) Reload(place site.Site) {
	e.machine.submit(forwarder.SiteRead{Site: place})
}

const (
	// turnAway is how long a stopping instance goes on taking callers: two questions
	// of the balancer, one a second, and the one that was under way.
	turnAway = 2500 * time.Millisecond
	// stopMargin is kept between the last answer and the end of the time to stop.
	stopMargin = 300 * time.Millisecond
	// drainStep is the time between two looks at what is left.
	drainStep = 50 * time.Millisecond
)

// Drain says that the instance is not ready, goes on until the balancer has turned
// away and all requests are answered, for the time to stop at most, and closes.
func (e *Edge) Drain() {
	began := time.Now()
	e.machine.submit(forwarder.DrainAsked{})
	e.front.Drain()
	limit := e.place.Bounds.Stop.Duration() - stopMargin
	for time.Since(began) < limit {
		time.Sleep(drainStep)
		if time.Since(began) < turnAway {
			continue
		}
		// A balancer that has no other instance goes on sending callers here: what
		// comes from now on might not be ended in time. Closing again does nothing.
		_ = e.callers.Close()
		if e.front.CloseIdle() == 0 && e.machine.inFlight() == 0 {
			break
		}
	}
	e.log(journal.New(journal.InstanceStopped, "").With("inFlight", e.machine.inFlight()).With("after", time.Since(began).Milliseconds()))
	e.Close()
}

// Close ends everything at once.
func (e *Edge) Close() {
	e.cancel()
	e.machine.close()
	// The process ends; what can't be closed ends with it.
	if e.callers != nil {
		_ = e.callers.Close()
	}
	for _, server := range e.servers {
		_ = server.Close()
	}
	if e.socket != nil {
		_ = e.socket.Close()
	}
}
