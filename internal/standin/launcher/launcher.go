// Package launcher starts stand-ins on loopback addresses and puts them on the
// platform's instance list, as a platform would.
//
// # Usage
//
//	objects, err := launcher.Platform("127.0.0.1:0", objectserver.Defaults())
//	server, err := launcher.Engine(ctx, objects.URL(), "127.0.0.1:0", "split-a", options)
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
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/client"
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

// Running is a stand-in that serves.
type Running struct {
	listener net.Listener
	server   *http.Server
	// platform and entry are set for what is on the instance list.
	platform *client.Client
	entry    objectstore.Instance
}

// Listen serves the handler at the address.
func Listen(address string, handler http.Handler) (*Running, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "launcher.Listen")
	}
	running := &Running{listener: listener, server: &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}}
	go func() { _ = running.server.Serve(listener) }()
	return running, nil
}

// Platform starts a platform.
func Platform(address string, options objectserver.Options) (*Running, error) {
	return Listen(address, objectserver.New(options).Handler())
}

// Engine starts an engine in the failure domain and lists it.
func Engine(ctx context.Context, platformURL, address, domain string, options engine.Options) (*Running, error) {
	return EngineServer(ctx, platformURL, address, domain, options, engine.New(options))
}

// EngineServer starts the given engine in the failure domain and lists it.
func EngineServer(ctx context.Context, platformURL, address, domain string, options engine.Options, server *engine.Server) (*Running, error) {
	return listed(ctx, platformURL, address, server.Handler(), objectstore.Instance{
		Name:    options.Name,
		Role:    objectstore.RoleEngine,
		Domain:  domain,
		Models:  options.Models,
		Weights: "v1",
	})
}

// Service starts the named plain service in the failure domain and lists it.
func Service(ctx context.Context, platformURL, address, domain, instance, name string) (*Running, error) {
	return listed(ctx, platformURL, address, service.New().Handler(), objectstore.Instance{
		Name:    instance,
		Role:    objectstore.RoleService,
		Domain:  domain,
		Service: name,
	})
}

func listed(ctx context.Context, platformURL, address string, handler http.Handler, entry objectstore.Instance) (*Running, error) {
	running, err := Listen(address, handler)
	if err != nil {
		return nil, err
	}
	incarnation := make([]byte, incarnationBytes)
	if _, err := rand.Read(incarnation); err != nil {
		return nil, errors.Wrap(err, "launcher.listed")
	}
	entry.Address = running.Address()
	entry.Incarnation = hex.EncodeToString(incarnation)
	running.platform = client.New(platformURL, registerTimeout)
	running.entry = entry
	if err := running.list(ctx, objectstore.StateLive); err != nil {
		_ = running.Close()
		return nil, err
	}
	return running, nil
}

func (r *Running) list(ctx context.Context, state objectstore.State) error {
	entry := r.entry
	entry.State = state
	return r.platform.Register(ctx, entry)
}

// Address returns where the stand-in listens, as host:port.
func (r *Running) Address() string {
	return r.listener.Addr().String()
}

// URL returns where the stand-in listens, as a URL.
func (r *Running) URL() string {
	return "http://" + r.Address()
}

// Leave marks the stand-in as leaving on the instance list.
func (r *Running) Leave(ctx context.Context) error {
	return r.list(ctx, objectstore.StateLeaving)
}

// Close ends the stand-in at once, as a crash would.
func (r *Running) Close() error {
	if r.platform != nil {
		r.platform.Close()
	}
	return r.server.Close()
}
