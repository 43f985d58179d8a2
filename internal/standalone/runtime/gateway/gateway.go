// Package gateway serves callers over HTTP: OpenAI-style completions and the
// routes to plain services. It submits requests to the state machine as events
// and executes the actions that the machine returns for them.
//
// # Usage
//
//	handler, err := gateway.New(killed, runner, dispatcher, limits)
//	server := &http.Server{Handler: handler}
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

// Machine is the subset of runner.Runner that the gateway uses.
type Machine interface {
	Submit(input event.Event)
	OpenRequest(request string) <-chan action.Action
	CloseRequest(request string)
	// SetAttemptCancel registers the function that cancels the attempt of the request.
	SetAttemptCancel(request, attempt string, cancel context.CancelFunc)
	// StoppingRefusal returns the refusal of a request that is not run because the instance stops.
	StoppingRefusal(request string) action.Refusal
	// Ready reports whether the instance can serve and is not stopping.
	Ready() bool
}

// Gateway handles the requests of callers.
type Gateway struct {
	machine    Machine
	dispatcher *dispatcher.Dispatcher
	limits     settings.Limits
	// killed is done when the instance is killed.
	killed context.Context
}

// requestIDBytes is the length of a request's identifier in bytes, before it is encoded as hex.
const requestIDBytes = 12

// New returns the handler for callers. When the context killed is done, the requests in flight end
// without a response.
func New(killed context.Context, machine Machine, d *dispatcher.Dispatcher, limits settings.Limits) (http.Handler, error) {
	g := &Gateway{machine: machine, dispatcher: d, limits: limits, killed: killed}
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithoutPathCorrection, iris.WithoutBodyConsumptionOnUnmarshal)
	app.Post(completer.KindText.Path(), g.handleCompletions(completer.KindText))
	app.Post(completer.KindChat.Path(), g.handleCompletions(completer.KindChat))
	app.Any("/services/{name}/{path:path}", g.handleService)
	app.Get("/healthz", g.handleHealth)
	app.OnAnyErrorCode(notFound)
	if err := app.Build(); err != nil {
		return nil, errors.Wrap(err, "gateway.New")
	}
	return app, nil
}

// handleHealth responds to health checks of the platform's load balancer: 200 if the
// instance can take requests, else 503.
func (g *Gateway) handleHealth(ctx iris.Context) {
	if !g.machine.Ready() {
		ctx.StopWithText(http.StatusServiceUnavailable, "not ready, or draining")
		return
	}
	ctx.StopWithText(http.StatusOK, "ready")
}

// notFound responds to requests whose path or method has no handler.
func notFound(ctx iris.Context) {
	if ctx.ResponseWriter().Written() > 0 {
		return
	}
	status := ctx.GetStatusCode()
	refusal := action.NewRefusal(status, action.CodeNoRoute, "nothing is served here; see /v1/completions, /v1/chat/completions and /services/NAME/PATH")
	writeRefusal(ctx.ResponseWriter(), "", refusal)
}

// newRequestID returns a random identifier for a request.
func newRequestID() string {
	var random [requestIDBytes]byte
	if _, err := rand.Read(random[:]); err != nil {
		panic("gateway.newRequestID: " + err.Error())
	}
	return "r" + hex.EncodeToString(random[:])
}
