// Package instance runs one instance of the system: its state machine and its
// three listeners, for callers, operators and peers.
//
// # Usage
//
//	running, err := instance.Start(set, os.Stderr)
//	running.Drain(ctx)
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

	"github.com/hyssopdoor/hyssopdoor/internal/decision/journal"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/meter"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/router"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/client"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/dispatcher"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/gateway"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/logger"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/operator"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/peer"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/runner"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/settings"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// incarnationBytes is the length of an incarnation, in bytes.
	incarnationBytes = 6
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 10 * time.Second
)

// Instance is a running instance.
type Instance struct {
	settings settings.Settings
	platform *client.Client
	sender   *peer.Sender
	dispatch *dispatcher.Dispatcher
	runner   *runner.Runner

	// listeners and servers are for callers, operators and peers.
	listeners [3]net.Listener
	servers   [3]*http.Server

	drained  chan struct{}
	draining atomic.Bool
	stopOnce sync.Once
}

// Start listens and begins to serve. Log lines go to the stream. A port of 0
// listens at any free one; Addresses tells which.
func Start(set settings.Settings, stream io.Writer) (*Instance, error) {
	i := &Instance{settings: set, drained: make(chan struct{})}
	if err := i.listen(); err != nil {
		i.closeListeners()
		return nil, err
	}
	machine, err := newMachine(i.settings)
	if err != nil {
		i.closeListeners()
		return nil, err
	}
	i.platform = client.New(set.Platform.Address, set.Platform.Timeout)
	i.sender = peer.NewSender(set.Name, set.Fleet.Credential)
	i.dispatch = dispatcher.New(set.Timeouts, set.Limits.AnswerBytes)
	counts := meter.New()
	log := logger.New(stream)
	i.runner = runner.New(machine, runner.Performers{
		Platform: i.platform,
		Peers:    i.sender,
		Log: func(entry journal.Entry) {
			log.Write(entry)
			counts.Entry(entry)
		},
		Stopped: func() { close(i.drained) },
	})
	counts.Gauge("status", i.status)
	if err := i.serve(counts); err != nil {
		i.Kill()
		return nil, err
	}
	log.Write(journal.New(journal.InstanceListening, "").
		With("callers", i.settings.Listen.Callers).
		With("operators", i.settings.Listen.Operators).
		With("peers", i.settings.Listen.Peers))
	i.runner.Submit(event.Started{})
	return i, nil
}

// Addresses returns where the instance listens.
func (i *Instance) Addresses() settings.Listen {
	return i.settings.Listen
}

// listen opens the listeners and notes their addresses in the settings.
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
	return nil
}

func (i *Instance) closeListeners() {
	for _, listener := range i.listeners {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

func newMachine(set settings.Settings) (*router.Router, error) {
	var seed [32]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return nil, errors.Wrap(err, "instance.Start")
	}
	incarnation := make([]byte, incarnationBytes)
	if _, err := rand.Read(incarnation); err != nil {
		return nil, errors.Wrap(err, "instance.Start")
	}
	return router.New(router.Settings{
		Name:            set.Name,
		Domain:          set.Domain,
		Address:         set.Listen.Peers,
		Incarnation:     hex.EncodeToString(incarnation),
		Policy:          set.Policy,
		Credential:      set.Fleet.Credential,
		Seeds:           set.Fleet.Seeds,
		MaxInFlight:     int(set.Limits.MaxInFlight),
		ResponseTimeout: set.Timeouts.Answer,
		RecordTimeout:   set.Timeouts.Record,
		Seed:            seed,
	}), nil
}

func (i *Instance) status() any {
	var status router.Status
	i.runner.View(func(now clock.Millis, machine *router.Router) { status = machine.Status(now) })
	return status
}

// serve starts a server on each listener.
func (i *Instance) serve(counts *meter.Meter) error {
	callers, err := gateway.New(i.runner, i.dispatch, i.settings.Limits)
	if err != nil {
		return errors.Wrap(err, "instance.Start")
	}
	operators, err := operator.New(i.runner, counts.Handler(), i.settings.OperatorToken)
	if err != nil {
		return errors.Wrap(err, "instance.Start")
	}
	peers := peer.NewHandler(i.settings.Fleet.Credential, func(from string, message *peerv1.Message) {
		i.runner.Submit(event.PeerMessage{From: from, Message: message})
	})
	for n, handler := range []http.Handler{i.endConnections(callers), operators, peers} {
		i.servers[n] = &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	}
	i.servers[2].Protocols = peer.ServerProtocols()
	for n, server := range i.servers {
		go func() { _ = server.Serve(i.listeners[n]) }()
	}
	return nil
}

// endConnections asks callers to open new connections while the instance stops.
// An idle connection is not closed under a caller that may just be using it.
func (i *Instance) endConnections(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if i.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Drain stops the instance without cutting a request: it tells the peers, lets
// callers' connections end, and waits for what is in flight, for the drain
// timeout at most. It reports an error when something was cut.
func (i *Instance) Drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, i.settings.Timeouts.Drain.Duration())
	defer cancel()
	defer i.Kill()
	callers := i.servers[0]
	i.runner.Submit(event.DrainRequested{})
	i.draining.Store(true)
	i.announce(ctx)
	if err := callers.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "instance.Drain")
	}
	if err := i.waitDrained(ctx); err != nil {
		return errors.Wrap(err, "instance.Drain")
	}
	return nil
}

// announce waits until the balancer has seen that the instance stops.
func (i *Instance) announce(ctx context.Context) {
	select {
	case <-time.After(i.settings.Timeouts.Announce.Duration()):
	case <-ctx.Done():
	}
}

func (i *Instance) waitDrained(ctx context.Context) error {
	select {
	case <-i.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Kill stops the instance at once, as a crash would.
func (i *Instance) Kill() {
	i.stopOnce.Do(func() {
		i.runner.Close()
		for _, server := range i.servers {
			if server != nil {
				_ = server.Close()
			}
		}
		i.closeListeners()
		i.platform.Close()
		i.sender.Close()
		i.dispatch.Close()
	})
}
