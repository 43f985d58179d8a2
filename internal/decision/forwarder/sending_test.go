package forwarder_test

import (
	"fmt"
	"strings"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// dispatch is a server that takes, or does not take, a request.
func (w *cluster) dispatch(i int, dispatch forwarder.Dispatch) {
	r := w.requests[dispatch.Request]
	r.attempts++
	r.lastDispatch = dispatch
	s, known := w.servers[dispatch.Server]
	require.True(w.t, known)
	require.Zero(w.t, r.finalActions, "%s is sent after its final answer", dispatch.Request)
	w.checkDispatch(i, dispatch, s)
	end := func(span clock.Millis, outcome forwarder.Outcome, status int) {
		w.after(span, func() {
			w.step(i, forwarder.Ended{Request: dispatch.Request, Attempt: dispatch.Attempt, Outcome: outcome, Status: status, Passed: r.partDelivered, LastEvent: "1"})
		})
	}
	switch {
	case s.down:
		end(5, forwarder.Unsent, 0)
		return
	case dispatch.Weights != 0 && s.entry.Weights[model] != dispatch.Weights:
		end(5, forwarder.Misaddressed, 421)
		return
	}
	if w.poisonPrefix != "" && strings.HasPrefix(dispatch.Request, w.poisonPrefix) {
		r.runs++
		w.after(15, func() { s.down = true })
		end(20, forwarder.Cut, 0)
		return
	}
	draw := w.random.IntN(100)
	for _, outcome := range []forwarder.Outcome{forwarder.Unsent, forwarder.Declined, forwarder.Cut, forwarder.Spoilt} {
		if draw -= w.faultPercents[outcome]; draw < 0 {
			if outcome == forwarder.Cut || outcome == forwarder.Spoilt {
				r.runs++
				if dispatch.Stream && w.random.IntN(2) == 0 {
					w.startStream(i, dispatch, r)
				}
			}
			end(20+clock.Millis(w.random.IntN(100)), outcome, 503)
			return
		}
	}
	r.runs++
	s.addToCache(dispatch.Salt, r.parts, w.cacheFaultPercent > 0)
	if dispatch.Stream {
		w.startStream(i, dispatch, r)
	}
	status := 200
	if w.random.IntN(20) == 0 && !dispatch.Stream {
		status = 500
	}
	span := 20 + clock.Millis(w.random.IntN(200))
	if dispatch.Stream && w.streamDuration > 0 {
		span = w.streamDuration
	}
	end(span, forwarder.Answered, status)
}

func (w *cluster) startStream(i int, dispatch forwarder.Dispatch, r *request) {
	w.after(10, func() {
		if r.lastDispatch.Attempt == dispatch.Attempt && r.finalActions == 0 {
			r.partDelivered = true
			w.step(i, forwarder.Answering{Request: dispatch.Request, Attempt: dispatch.Attempt})
		}
	})
}

// resumeGrace is how long after it stood still an instance may act on what it knew before.
const resumeGrace = 300 * clock.Millisecond

// checkDispatch holds what must hold whenever a request is sent.
func (w *cluster) checkDispatch(i int, dispatch forwarder.Dispatch, s *server) {
	if w.now.Since(w.frozenUntil[i]) < resumeGrace {
		return // What happened meanwhile reaches the instance only now.
	}
	if s.drainingSince > 0 && !w.storeCutOff[i] {
		require.Less(w.t, w.now.Since(s.drainingSince), 200*clock.Millisecond, "%s is sent to a leaving server", dispatch.Request)
	}
	if dispatch.Model {
		for version, at := range w.publishedAt {
			if version > dispatch.Weights {
				require.Less(w.t, w.now.Since(at), 6*clock.Second, "%s is sent to weights %d, %d were named", dispatch.Request, dispatch.Weights, version)
			}
		}
		require.Contains(w.t, dispatch.Salt, fmt.Sprint(model, "@", dispatch.Weights, "/"))
	}
	require.Positive(w.t, dispatch.Left)
	require.Equal(w.t, "press", dispatch.Team)
}
