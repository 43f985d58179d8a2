// Package launcher starts simulators on given addresses and registers them on the
// platform's instance list, as the real platform would.
//
// # Usage
//
//	platform, err := launcher.StartPlatform("127.0.0.1:0", objectserver.Defaults())
//	server, err := launcher.StartEngine(ctx, platform.URL(), "127.0.0.1:0", "split-a", options)
//	defer server.Close()
package launcher

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/platformclient"
	"github.com/hyssopdoor/hyssopdoor/internal/standin/engine"
	"github.com/hyssopdoor/hyssopdoor/internal/standin/objectserver"
	"github.com/hyssopdoor/hyssopdoor/internal/standin/service"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	registerTimeout  = 2 * clock.Second
	headerTimeout    = 10 * time.Second
	incarnationBytes = 6
)

// Simulator is a simulated system that serves on its own address.
type Simulator struct {
	listener net.Listener
	server   *http.Server
	// platform and entry are set for simulators that are on the instance list.
	platform *platformclient.Client
	entry    objectstore.Instance
}

// Listen serves the handler at the address.
func Listen(address string, handler http.Handler) (*Simulator, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "launcher.Listen")
	}
	simulator := &Simulator{listener: listener, server: &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}}
	go func() { _ = simulator.server.Serve(listener) }()
	return simulator, nil
}

// StartPlatform starts a simulated platform.
func StartPlatform(address string, options objectserver.Options) (*Simulator, error) {
	return Listen(address, objectserver.New(options).Handler())
}

// StartEngine starts a simulated engine in the failure domain and registers it.
func StartEngine(ctx context.Context, platformURL, address, domain string, options engine.Options) (*Simulator, error) {
	return StartEngineServer(ctx, platformURL, address, domain, options, engine.New(options))
}

// StartEngineServer starts the given engine in the failure domain and registers it.
func StartEngineServer(ctx context.Context, platformURL, address, domain string, options engine.Options, server *engine.Server) (*Simulator, error) {
	return startRegistered(ctx, platformURL, address, server.Handler(), objectstore.Instance{
		Name:    options.Name,
		Role:    objectstore.RoleEngine,
		Domain:  domain,
		Models:  options.Models,
		Weights: "v1",
	})
}

// StartService starts a server of a simulated service in the failure domain and registers
// it under the instance name.
func StartService(ctx context.Context, platformURL, address, domain, instanceName, serviceName string) (*Simulator, error) {
	return startRegistered(ctx, platformURL, address, service.New().Handler(), objectstore.Instance{
		Name:    instanceName,
		Role:    objectstore.RoleService,
		Domain:  domain,
		Service: serviceName,
	})
}

func startRegistered(ctx context.Context, platformURL, address string, handler http.Handler, entry objectstore.Instance) (*Simulator, error) {
	simulator, err := Listen(address, handler)
	if err != nil {
		return nil, err
	}
	incarnation := make([]byte, incarnationBytes)
	if _, err := rand.Read(incarnation); err != nil {
		return nil, errors.Wrap(err, "launcher.startRegistered")
	}
	entry.Address = simulator.Address()
	entry.Incarnation = hex.EncodeToString(incarnation)
	simulator.platform = platformclient.New(platformURL, registerTimeout)
	simulator.entry = entry
	if err := simulator.register(ctx, objectstore.StateLive); err != nil {
		_ = simulator.Close()
		return nil, err
	}
	return simulator, nil
}

func (s *Simulator) register(ctx context.Context, state objectstore.State) error {
	entry := s.entry
	entry.State = state
	return s.platform.Register(ctx, entry)
}

// Address returns the listen address as host:port.
func (s *Simulator) Address() string {
	return s.listener.Addr().String()
}

// URL returns the base URL of the simulator.
func (s *Simulator) URL() string {
	return "http://" + s.Address()
}

// MarkLeaving marks the simulator as leaving on the instance list.
func (s *Simulator) MarkLeaving(ctx context.Context) error {
	return s.register(ctx, objectstore.StateLeaving)
}

// Close stops the simulator at once, without marking it as leaving.
func (s *Simulator) Close() error {
	return s.server.Close()
}
