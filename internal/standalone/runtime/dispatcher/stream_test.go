package dispatcher_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/completer"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/retrier"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/dispatcher"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/settings"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// slowCaller takes the second chunk only after the delay.
type slowCaller struct {
	delay  time.Duration
	chunks int
}

func (c *slowCaller) WriteChunk(completer.Chunk, int64) error {
	c.chunks++
	if c.chunks == 2 {
		time.Sleep(c.delay)
	}
	return nil
}

// TestSlowCallerIsNotItsEnginesTimeout verifies that the idle timeout covers the time in which
// the engine sends nothing, and not the time in which the caller takes nothing.
func TestSlowCallerIsNotItsEnginesTimeout(t *testing.T) {
	const (
		idleTimeout = 300 * clock.Millisecond
		delay       = 800 * time.Millisecond
		eventCount  = 20
	)
	tests := map[string]struct {
		callerDelay, engineDelay time.Duration
		failure                  retrier.Failure
		chunks                   int
	}{
		"both are sound":       {0, 0, 0, eventCount},
		"the caller is slow":   {delay, 0, 0, eventCount},
		"the engine is silent": {0, delay, retrier.Timeout, 10},
		// The engine's silence begins while the caller takes nothing.
		"the caller, then the engine":  {delay, 2 * delay, retrier.Timeout, 10},
		"the caller is slightly slow":  {200 * time.Millisecond, 0, 0, eventCount},
		"the engine pauses for a time": {0, 100 * time.Millisecond, 0, eventCount},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				for n := 1; n <= eventCount; n++ {
					finishReason := "null"
					if n == eventCount {
						finishReason = `"stop"`
					}
					_, _ = fmt.Fprintf(w, "id: a:%d\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"x\"},\"finish_reason\":%s}]}\n\n", n, finishReason)
					w.(http.Flusher).Flush()
					if n == 10 {
						time.Sleep(test.engineDelay)
					}
					time.Sleep(20 * time.Millisecond)
				}
				_, _ = fmt.Fprintf(w, "id: a:%d\ndata: [DONE]\n\n", eventCount+1)
			}))
			defer server.Close()
			timeouts := settings.Defaults().Timeouts
			timeouts.Idle = idleTimeout
			d := dispatcher.New(timeouts, 1<<20)
			caller := &slowCaller{delay: test.callerDelay}
			dispatch := action.Dispatch{Attempt: "a", Address: strings.TrimPrefix(server.URL, "http://"), ResumeAfter: -1, FirstTokenTimeout: 5 * clock.Second}
			result := d.Stream(context.Background(), dispatch, completer.KindChat, []byte("{}"), caller)
			require.Equal(t, test.failure, result.Failure)
			require.Equal(t, test.chunks, caller.chunks)
		})
	}
}
