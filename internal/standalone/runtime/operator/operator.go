// Package operator serves operators over HTTP: configuration, keys, status,
// explanations, recorded calls and metrics. Every path wants the operators'
// token.
//
// # Usage
//
//	operators, err := operator.New(running, counts, token)
//	server := &http.Server{Handler: operators}
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

// Machine is the part of package runner that operators need.
type Machine interface {
	Operate(ctx context.Context, operation string, asked event.Event) (action.OperationResult, error)
	View(read func(now clock.Millis, machine *router.Router))
}

// Operator serves operators.
type Operator struct {
	machine Machine
}

// maxBodyBytes bounds a submitted configuration.
const maxBodyBytes = 64 << 20

// New returns the handler for operators who know the token.
func New(machine Machine, metrics http.Handler, token secret.Secret) (http.Handler, error) {
	o := &Operator{machine: machine}
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithoutPathCorrection)
	app.UseRouter(checkToken(token))
	app.Get("/operator/config", o.showConfig)
	app.Put("/operator/config", o.applyConfig)
	app.Get("/operator/keys", o.listKeys)
	app.Post("/operator/keys", o.issueKey)
	app.Delete("/operator/keys/{id}", o.withdrawKey)
	app.Get("/operator/status", o.status)
	app.Get("/operator/explain/{request}", o.explain)
	app.Get("/operator/calls", o.listCalls)
	app.Post("/operator/calls/resolve", o.resolveCall)
	app.Get("/debug/vars", iris.FromStd(metrics))
	if err := app.Build(); err != nil {
		return nil, errors.Wrap(err, "operator.New")
	}
	return app, nil
}

func checkToken(token secret.Secret) iris.Handler {
	wanted := []byte("Bearer " + token.Reveal())
	return func(ctx iris.Context) {
		given := []byte(ctx.GetHeader("Authorization"))
		if subtle.ConstantTimeCompare(given, wanted) != 1 {
			ctx.StopWithJSON(http.StatusUnauthorized, Message{Message: "the operators' token is missing or wrong"})
			return
		}
		ctx.Next()
	}
}

// configuration returns the configuration in force.
func (o *Operator) configuration() (configuration config.Config, revision, configRevision int64) {
	o.machine.View(func(_ clock.Millis, machine *router.Router) {
		configuration, revision, configRevision = machine.Configuration()
	})
	return configuration, revision, configRevision
}

// statuses are the HTTP statuses of the outcomes of operations.
var statuses = map[action.OperationOutcome]int{
	action.OperationDone:     http.StatusOK,
	action.OperationConflict: http.StatusConflict,
	action.OperationInvalid:  http.StatusUnprocessableEntity,
	action.OperationNotFound: http.StatusNotFound,
	action.OperationFailed:   http.StatusServiceUnavailable,
	action.OperationUnknown:  http.StatusGatewayTimeout,
}

// operate runs an operation and answers when it has not ended well. It reports
// whether it did.
func (o *Operator) operate(ctx iris.Context, operation string, asked event.Event) (action.OperationResult, bool) {
	result, err := o.machine.Operate(ctx.Request().Context(), operation, asked)
	if err != nil {
		ctx.StopWithJSON(http.StatusServiceUnavailable, Message{Message: "the operation was broken off: " + err.Error()})
		return action.OperationResult{}, false
	}
	if result.Outcome != action.OperationDone {
		ctx.StopWithJSON(statuses[result.Outcome], Message{Message: result.Message, Outcome: result.Outcome, Findings: findingLines(result), Revision: result.Revision})
		return action.OperationResult{}, false
	}
	return result, true
}

func findingLines(result action.OperationResult) []string {
	lines := make([]string, len(result.Findings))
	for i, finding := range result.Findings {
		lines[i] = finding.String()
	}
	return lines
}
