package gateway

import (
	"context"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
)

// processRequest submits the request and executes its actions until one ends it. If the
// caller disconnects, it submits one CallerDisconnected event and goes on until the machine
// ends the request.
func (g *Gateway) processRequest(ctx context.Context, arrived event.RequestArrived, execute func(context.Context, action.Action) bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(g.killed, cancel)
	defer stop()
	actions := g.machine.OpenRequest(arrived.Request)
	defer g.machine.CloseRequest(arrived.Request)
	g.machine.Submit(arrived)
	disconnected := ctx.Done()
	for {
		select {
		case output := <-actions:
			if execute(ctx, output) {
				return
			}
		case <-disconnected:
			disconnected = nil
			g.machine.Submit(event.CallerDisconnected{Request: arrived.Request})
		case <-g.killed.Done():
			return
		}
	}
}
