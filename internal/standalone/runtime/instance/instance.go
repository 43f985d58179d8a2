// Package instance runs one instance of the system: its state machine and its
// three HTTP servers, for callers, operators and peers.
//
// # Usage
//
//	i, err := instance.Start(cfg, os.Stderr)
//	err = i.Drain(ctx)
package instance

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/drainlistener"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/meter"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/router"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/bodytimer"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/conndrainer"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/dispatcher"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/gateway"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/logger"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/operator"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/peer"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/platformclient"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/runner"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/settings"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// incarnationBytes is the length of an incarnation in bytes, before it is encoded as hex.
	incarnationBytes = 6
	// headerTimeout bounds the time to read a request's header.
	headerTimeout = 10 * time.Second
	// bodyTimeout bounds the time to read a caller's body.
	bodyTimeout = 30 * time.Second
	// operatorsCloseTimeout limits the wait for the last responses to operators.
	operatorsCloseTimeout = 500 * time.Millisecond
	// drainPollInterval is the interval at which Drain checks for open connections.
	drainPollInterval = 50 * time.Millisecond
)

// Instance is a running instance.
type Instance struct {
	settings   settings.Settings
	platform   *platformclient.Client
	sender     *peer.Sender
	dispatcher *dispatcher.Dispatcher
	runner     *runner.Runner

	// listeners and servers are those for callers, operators and peers, in this order.
	listeners [3]net.Listener
	servers   [3]*http.Server
	// callerListener is the first listener. callerConns has its connections.
	callerListener *drainlistener.Listener
	callerConns    *conndrainer.Drainer
	callerBodies   *bodytimer.Timer
	// killed is done when the instance is killed.
	killed context.Context
	kill   context.CancelFunc

	// drained receives the number of interrupted requests when the state machine has drained.
	drained  chan int
	draining atomic.Bool
	stopOnce sync.Once
}

// Start opens the listeners and starts to serve. It writes log lines to logWriter.
// Port 0 selects a free port; Addresses returns the selected ones.
func Start(cfg settings.Settings, logWriter io.Writer) (*Instance, error) {
	i := &Instance{settings: cfg, drained: make(chan int, 1), callerConns: conndrainer.New()}
	i.killed, i.kill = context.WithCancel(context.Background())
	if err := i.listen(); err != nil {
		i.closeListeners()
		return nil, err
	}
	machine, err := newRouter(i.settings)
	if err != nil {
		i.closeListeners()
		return nil, err
	}
	i.platform = platformclient.New(cfg.Platform.Address, cfg.Platform.Timeout)
	i.sender = peer.NewSender(cfg.Name, cfg.Fleet.Credential)
	i.dispatcher = dispatcher.New(cfg.Timeouts, cfg.Limits.MaxResponseBytes)
	metrics := meter.New()
	log := logger.New(logWriter)
	i.runner = runner.New(machine, runner.Dependencies{
		Platform: i.platform,
		Peers:    i.sender,
		Log: func(entry eventlog.Entry) {
			log.Write(entry)
			metrics.CountEvent(entry)
		},
		OnDrained: func(interrupted int) { i.drained <- interrupted },
	})
	metrics.Gauge("status", i.status)
	if err := i.serve(metrics); err != nil {
		i.Kill()
		return nil, err
	}
	log.Write(eventlog.New(eventlog.InstanceListening, "").
		With("callers", i.settings.Listen.Callers).
		With("operators", i.settings.Listen.Operators).
		With("peers", i.settings.Listen.Peers))
	i.runner.Submit(event.Started{})
	return i, nil
}

// Addresses returns the addresses of the instance's listeners.
func (i *Instance) Addresses() settings.Listen {
	return i.settings.Listen
}

// listen opens the listeners and stores their actual addresses in the settings.
func (i *Instance) listen() error {
	addresses := &i.settings.Listen
	for n, address := range []*string{&addresses.Callers, &addresses.Operators, &addresses.Peers} {
		listener, err := net.Listen("tcp", *address)
		if err != nil {
			return errors.Wrap(err, "instance.Start")
		}
		i.listeners[n] = listener
		*address = listener.Addr().String()
	}
	i.callerListener = drainlistener.New(i.listeners[0].(*net.TCPListener))
	i.listeners[0] = i.callerConns.Listen(i.callerListener)
	return nil
}

func (i *Instance) closeListeners() {
	for _, listener := range i.listeners {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

func newRouter(cfg settings.Settings) (*router.Router, error) {
	var seed [32]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return nil, errors.Wrap(err, "instance.Start")
	}
	incarnation := make([]byte, incarnationBytes)
	if _, err := rand.Read(incarnation); err != nil {
		return nil, errors.Wrap(err, "instance.Start")
	}
	return router.New(router.Settings{
		Name:            cfg.Name,
		Domain:          cfg.Domain,
		Address:         cfg.Listen.Peers,
		Incarnation:     hex.EncodeToString(incarnation),
		Policy:          cfg.Policy,
		Credential:      cfg.Fleet.Credential,
		SeedAddresses:   cfg.Fleet.Seeds,
		MaxInFlight:     int(cfg.Limits.MaxInFlight),
		ResponseTimeout: cfg.Timeouts.Response,
		RecordTimeout:   cfg.Timeouts.Record,
		Seed:            seed,
	}), nil
}

func (i *Instance) status() any {
	var status router.Status
	i.runner.View(func(now clock.Millis, machine *router.Router) { status = machine.Status(now) })
	return status
}

// serve starts an HTTP server on each listener.
func (i *Instance) serve(metrics *meter.Meter) error {
	callers, err := gateway.New(i.killed, i.runner, i.dispatcher, i.settings.Limits)
	if err != nil {
		return errors.Wrap(err, "instance.Start")
	}
	operators, err := operator.New(i.runner, metrics.Handler(), i.settings.OperatorToken)
	if err != nil {
		return errors.Wrap(err, "instance.Start")
	}
	peers := peer.NewHandler(i.settings.Fleet.Credential, func(from string, message *peerv1.Message) {
		i.runner.Submit(event.PeerMessage{From: from, Message: message})
	})
	i.callerBodies = bodytimer.New(callers, bodyTimeout)
	for n, handler := range []http.Handler{i.closeWhenDraining(i.callerBodies), operators, peers} {
		i.servers[n] = &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	}
	i.servers[0].ConnState = i.callerConns.Track
	i.servers[2].Protocols = peer.ServerProtocols()
	for n, server := range i.servers {
		go func() { _ = server.Serve(i.listeners[n]) }()
	}
	return nil
}

// closeWhenDraining adds "Connection: close" to responses that begin while the instance drains,
// so that callers open new connections. Idle connections are not closed at
// once, because a caller may be about to send a request on one.
func (i *Instance) closeWhenDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&closingWriter{ResponseWriter: w, draining: i.draining.Load}, r)
	})
}

// Drain stops the instance without interrupting requests: it notifies the peers, goes
// on accepting requests for the announce time and then waits for callers' connections
// to close and for in-flight requests to finish, all within the drain timeout. It returns an error
// if requests had to be ended because of the timeout.
func (i *Instance) Drain(ctx context.Context) error {
	deadline := time.Now().Add(i.settings.Timeouts.Drain.Duration())
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	defer i.Kill()
	defer i.closeOperators(ctx)
	i.draining.Store(true)
	i.runner.Submit(event.DrainRequested{Timeout: i.settings.Timeouts.Drain})
	i.callerBodies.EndAt(deadline.Add(-router.EndReserve.Duration()))
	i.waitAnnounceTime(ctx)
	i.callerListener.Drain()
	if err := i.waitConnsClosed(ctx); err != nil {
		return errors.Wrap(err, "instance.Drain")
	}
	i.runner.Submit(event.CallersGone{})
	if err := i.waitDrained(ctx); err != nil {
		return errors.Wrap(err, "instance.Drain")
	}
	return nil
}

// closeOperators closes the operators' server when its last responses are delivered.
func (i *Instance) closeOperators(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, operatorsCloseTimeout)
	defer cancel()
	// An error means that a connection is open without a request, or that no time is left.
	_ = i.servers[1].Shutdown(ctx)
}

// waitConnsClosed waits until all connections of callers are closed.
func (i *Instance) waitConnsClosed(ctx context.Context) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for i.callerConns.EndIdle() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// waitAnnounceTime gives the platform's load balancer time to notice that the
// instance is stopping.
func (i *Instance) waitAnnounceTime(ctx context.Context) {
	select {
	case <-time.After(i.settings.Timeouts.Announce.Duration()):
	case <-ctx.Done():
	}
}

func (i *Instance) waitDrained(ctx context.Context) error {
	select {
	case interrupted := <-i.drained:
		if interrupted > 0 {
			return errors.Errorf("requests were in flight at the drain timeout: %d", interrupted)
		}
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Kill stops the instance immediately, as a crash would.
func (i *Instance) Kill() {
	i.stopOnce.Do(func() {
		i.kill()
		i.runner.Close()
		for _, server := range i.servers {
			if server != nil {
				_ = server.Close()
			}
		}
		i.closeListeners()
		i.sender.Close()
	})
}
