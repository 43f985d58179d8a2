package gateway

import (
	"context"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
)

// serve submits the request and performs its actions until one ends it. When
// the caller goes, the machine is told once; it says what still has to be done.
func (g *Gateway) serve(ctx context.Context, arrived event.RequestArrived, perform func(action.Action) bool) {
	actions := g.machine.Open(arrived.Request)
	defer g.machine.Done(arrived.Request)
	g.machine.Submit(arrived)
	gone := ctx.Done()
	for {
		select {
		case next := <-actions:
			if perform(next) {
				return
			}
		case <-gone:
			gone = nil
			g.machine.Submit(event.CallerDisconnected{Request: arrived.Request})
		}
	}
}
