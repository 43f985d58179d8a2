package operator

import (
	"maps"
	"slices"

	"github.com/kataras/iris/v12"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/router"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

func (o *Operator) status(ctx iris.Context) {
	var status router.Status
	o.machine.View(func(now clock.Millis, machine *router.Router) { status = machine.Status(now) })
	_ = ctx.JSON(status)
}

func (o *Operator) explain(ctx iris.Context) {
	operation := newOperation()
	request := ctx.Params().Get("request")
	if result, ok := o.operate(ctx, operation, event.ExplanationRequested{Operation: operation, Request: request}); ok {
		_ = ctx.JSON(Explanation{Request: request, Entries: result.Entries})
	}
}

func (o *Operator) listCalls(ctx iris.Context) {
	operation := newOperation()
	result, ok := o.operate(ctx, operation, event.CallListRequested{Operation: operation})
	if !ok {
		return
	}
	views := []CallView{}
	for _, object := range slices.Sorted(maps.Keys(result.Calls)) {
		record := result.Calls[object]
		views = append(views, CallView{
			Object:   object,
			Team:     record.Team,
			Key:      record.Key,
			Route:    record.Route,
			Request:  record.Request,
			Attempt:  record.Attempt,
			Instance: record.Instance,
			State:    record.State,
		})
	}
	_ = ctx.JSON(views)
}

func (o *Operator) resolveCall(ctx iris.Context) {
	var resolution CallResolution
	if !readBody(ctx, &resolution) {
		return
	}
	operation := newOperation()
	result, ok := o.operate(ctx, operation, event.CallResolutionSubmitted{Operation: operation, Object: resolution.Object, Ran: resolution.Ran})
	if ok {
		_ = ctx.JSON(Message{Message: "the call is resolved", Outcome: result.Outcome})
	}
}
