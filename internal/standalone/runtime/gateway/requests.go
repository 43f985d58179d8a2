package gateway

import (
	"context"
	"net/http"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
)

// processRequest submits the request and executes its actions until one ends it. If the
// caller disconnects, it submits one CallerDisconnected event and goes on until the machine
// ends the request. When the instance stops, the request ends as if the caller had disconnected,
// and refuse is called.
func (g *Gateway) processRequest(ctx context.Context, arrived event.RequestArrived, execute func(context.Context, action.Action) bool, refuse func(action.Refusal)) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(g.stopping, cancel)
	defer stop()
	ended := g.runActions(ctx, arrived, execute)
	if !ended && g.stopping.Err() != nil {
		refuse(action.NewRefusal(http.StatusBadGateway, action.CodeDraining, "the instance stopped before the request was complete; it may have run").WithMayHaveRun())
	}
}

// runActions executes the request's actions. It reports false if the request was cancelled
// without a response.
func (g *Gateway) runActions(ctx context.Context, arrived event.RequestArrived, execute func(context.Context, action.Action) bool) bool {
	actions := g.machine.OpenRequest(arrived.Request)
	defer g.machine.CloseRequest(arrived.Request)
	g.machine.Submit(arrived)
	disconnected := ctx.Done()
	for {
		select {
		case output := <-actions:
			if execute(ctx, output) {
				return responds(output)
			}
		case <-disconnected:
			disconnected = nil
			g.machine.Submit(event.CallerDisconnected{Request: arrived.Request})
		}
	}
}

// responds reports whether the action, if it ends the request, writes a response.
func responds(output action.Action) bool {
	switch output.(type) {
	case action.Refuse, action.Respond, action.EndStream:
		return true
	default:
		return false
	}
}
