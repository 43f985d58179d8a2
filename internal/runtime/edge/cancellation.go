package edge

import (
	"context"
	"sync/atomic"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/bootclock"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// histogramCancellation has the times from the decision to cancel an attempt until this instance has
	// closed its connection, or has given up connecting.
	histogramCancellation = "cancellation"
	// lateClose is the shortest such time that is logged.
	lateClose = 50 * clock.Millisecond
)

// cancellation cancels an attempt.
type cancellation struct {
	cancel context.CancelFunc
	// request, attempt and server are those of the attempt, and via the instance through which it is
	// sent; empty for none.
	request     string
	attempt     int
	server, via string
	// decidedAt is the time of the state machine's decision, in clock.Millis; 0 before.
	decidedAt atomic.Int64
}

func newCancellation(cancel context.CancelFunc, dispatch forwarder.Dispatch) *cancellation {
	return &cancellation{cancel: cancel, request: dispatch.Request, attempt: dispatch.Attempt, server: dispatch.Server, via: dispatch.Via.Instance}
}

// decide cancels the attempt by a decision of the state machine.
func (c *cancellation) decide(now clock.Millis) {
	c.decidedAt.CompareAndSwap(0, int64(now))
	c.cancel()
}

// closed records that the attempt has no connection any more.
func (e *Edge) closed(c *cancellation) {
	decidedAt := clock.Millis(c.decidedAt.Load())
	if decidedAt == 0 {
		return
	}
	elapsed := bootclock.Now().Since(decidedAt)
	e.meter.Observe(histogramCancellation, elapsed)
	if elapsed <= lateClose {
		return
	}
	entry := eventlog.New(eventlog.ConnectionClosedLate, c.request).With("server", c.server)
	if c.via != "" {
		entry = entry.With("via", c.via)
	}
	e.log(entry.With("attempt", c.attempt).With("after", elapsed))
}
