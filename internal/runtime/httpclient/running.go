package httpclient

import (
	"context"
	"runtime"
	"time"
)

// runningStep is the step in which withRunningTime counts.
const runningStep = 50 * time.Millisecond

// withRunningTime returns a context that ends after a time. A step in which this process is held up
// counts no longer than another one: what it waits for may have come meanwhile.
func withRunningTime(ctx context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		for range limit / runningStep {
			select {
			case <-time.After(runningStep):
			case <-ctx.Done():
				return
			}
			// What has become ready meanwhile runs first.
			runtime.Gosched()
		}
		cancel(context.DeadlineExceeded)
	}()
	return ctx, func() { cancel(nil) }
}
