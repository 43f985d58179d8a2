// Package gateway serves callers over HTTP: OpenAI-style completions and the
// routes to plain services. It turns requests into events and performs the
// actions about them; the state machine decides.
//
// # Usage
//
//	callers, err := gateway.New(running, dispatcher, limits)
//	server := &http.Server{Handler: callers}
package gateway

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/kataras/iris/v12"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/completer"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/dispatcher"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/settings"
)

// Machine is the part of package runner that requests need.
type Machine interface {
	Submit(happened event.Event)
	Open(request string) <-chan action.Action
	Done(request string)
	// Attempt registers how to end the request's current attempt.
	Attempt(request string, cancel context.CancelFunc)
	// Ready reports whether the instance can serve and is not stopping.
	Ready() bool
}

// Gateway serves callers.
type Gateway struct {
	machine  Machine
	dispatch *dispatcher.Dispatcher
	limits   settings.Limits
}

// requestIDBytes is the length of a request's identifier, in bytes.
const requestIDBytes = 12

// New returns the handler for callers.
func New(machine Machine, dispatch *dispatcher.Dispatcher, limits settings.Limits) (http.Handler, error) {
	g := &Gateway{machine: machine, dispatch: dispatch, limits: limits}
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithoutPathCorrection, iris.WithoutBodyConsumptionOnUnmarshal)
	app.Post(completer.KindText.Path(), g.completions(completer.KindText))
	app.Post(completer.KindChat.Path(), g.completions(completer.KindChat))
	app.Any("/services/{name}/{path:path}", g.service)
	app.Get("/healthz", g.health)
	app.OnAnyErrorCode(notFound)
	if err := app.Build(); err != nil {
		return nil, errors.Wrap(err, "gateway.New")
	}
	return app, nil
}

// health tells the platform's balancer whether to send requests here.
func (g *Gateway) health(ctx iris.Context) {
	if !g.machine.Ready() {
		ctx.StopWithText(http.StatusServiceUnavailable, "not ready, or draining")
		return
	}
	ctx.StopWithText(http.StatusOK, "ready")
}

// notFound answers paths and methods that have no handler.
func notFound(ctx iris.Context) {
	if ctx.ResponseWriter().Written() > 0 {
		return
	}
	status := ctx.GetStatusCode()
	refusal := action.NewRefusal(status, action.CodeNoRoute, "nothing is served here; see /v1/completions, /v1/chat/completions and /services/NAME/PATH")
	writeRefusal(ctx.ResponseWriter(), "", refusal)
}

// newRequestID returns a random identifier of a request.
func newRequestID() string {
	var random [requestIDBytes]byte
	if _, err := rand.Read(random[:]); err != nil {
		panic("gateway.newRequestID: " + err.Error())
	}
	return "r" + hex.EncodeToString(random[:])
}
