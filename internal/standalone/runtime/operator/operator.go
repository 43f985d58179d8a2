// Package operator serves the operator API over HTTP: configuration, keys, status,
// explanations, recorded calls and metrics. Every path requires the operators' token.
//
// # Usage
//
//	handler, err := operator.New(runner, metrics, token)
//	server := &http.Server{Handler: handler}
package operator

import (
	"context"
	"crypto/subtle"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/kataras/iris/v12"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/secret"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/config"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/router"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Machine is the subset of runner.Runner that the operator API uses.
type Machine interface {
	RunOperation(ctx context.Context, operation string, input event.Event) (action.OperationResult, error)
	View(read func(now clock.Millis, machine *router.Router))
}

// Handler handles the requests of operators.
type Handler struct {
	machine Machine
}

// maxBodyBytes bounds the body of a request and of a response.
const maxBodyBytes = 64 << 20

// New returns the handler for operators. It rejects requests without the token.
func New(machine Machine, metrics http.Handler, token secret.Secret) (http.Handler, error) {
	h := &Handler{machine: machine}
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithoutPathCorrection)
	app.UseRouter(checkToken(token))
	app.Get("/operator/config", h.showConfig)
	app.Put("/operator/config", h.applyConfig)
	app.Get("/operator/keys", h.listKeys)
	app.Post("/operator/keys", h.issueKey)
	app.Delete("/operator/keys/{id}", h.withdrawKey)
	app.Get("/operator/status", h.status)
	app.Get("/operator/explain/{request}", h.explain)
	app.Get("/operator/calls", h.listCalls)
	app.Post("/operator/calls/resolve", h.resolveCall)
	app.Get("/debug/vars", iris.FromStd(metrics))
	if err := app.Build(); err != nil {
		return nil, errors.Wrap(err, "operator.New")
	}
	return app, nil
}

func checkToken(token secret.Secret) iris.Handler {
	want := []byte("Bearer " + token.Reveal())
	return func(ctx iris.Context) {
		given := []byte(ctx.GetHeader("Authorization"))
		if subtle.ConstantTimeCompare(given, want) != 1 {
			ctx.StopWithJSON(http.StatusUnauthorized, OperationResponse{Message: "the operators' token is missing or wrong"})
			return
		}
		ctx.Next()
	}
}

// configuration returns the configuration in force.
func (h *Handler) configuration() (configuration config.Config, revision, configRevision int64) {
	h.machine.View(func(_ clock.Millis, machine *router.Router) {
		configuration, revision, configRevision = machine.Configuration()
	})
	return configuration, revision, configRevision
}

// statusByOutcome maps the outcomes of operations to HTTP statuses.
var statusByOutcome = map[action.OperationOutcome]int{
	action.OperationDone:     http.StatusOK,
	action.OperationConflict: http.StatusConflict,
	action.OperationInvalid:  http.StatusUnprocessableEntity,
	action.OperationNotFound: http.StatusNotFound,
	action.OperationFailed:   http.StatusServiceUnavailable,
	action.OperationUnknown:  http.StatusGatewayTimeout,
}

// runOperation runs an operation. It reports whether the operation succeeded, and writes
// the error response if not.
func (h *Handler) runOperation(ctx iris.Context, operation string, input event.Event) (action.OperationResult, bool) {
	result, err := h.machine.RunOperation(ctx.Request().Context(), operation, input)
	if err != nil {
		ctx.StopWithJSON(http.StatusServiceUnavailable, OperationResponse{Message: "the operation was broken off: " + err.Error()})
		return action.OperationResult{}, false
	}
	if result.Outcome != action.OperationDone {
		ctx.StopWithJSON(statusByOutcome[result.Outcome], OperationResponse{Message: result.Message, Outcome: result.Outcome, Findings: findingTexts(result), Revision: result.Revision})
		return action.OperationResult{}, false
	}
	return result, true
}

func findingTexts(result action.OperationResult) []string {
	texts := make([]string, len(result.Findings))
	for i, finding := range result.Findings {
		texts[i] = finding.String()
	}
	return texts
}
