package router

import (
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/tracker"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// drainSafetyFactor and drainSafetyMargin are the reserve in the estimate of a request's duration
	// before the process ends. A sound server may be silent for about a second.
	drainSafetyFactor = 2
	drainSafetyMargin = clock.Second
)

// otherServes reports whether a caller that is refused here finds another instance.
func (r *Router) otherServes() bool {
	return slices.ContainsFunc(r.view.Peers(), func(p tracker.Peer) bool {
		return !p.Leaving && p.ConfigRevision > 0 && p.Alive(r.now) && r.now.Since(p.LastSeen) <= peerReportMaxAge
	})
}

// mustNotWait reports whether the request is refused rather than made to wait here.
func (r *Router) mustNotWait(f *flight) bool {
	return r.draining && !f.possiblySent && r.otherServes()
}

// fitsBeforeEnd reports whether the response to the request will be complete at workEnd. A refused
// caller loses little if another instance serves; then the request must fit for sure.
func (r *Router) fitsBeforeEnd(f *flight) bool {
	if !r.draining || f.partiallyDelivered {
		return true
	}
	left := r.workEnd.Since(r.now)
	duration, known := r.expectedDuration(f)
	if !r.otherServes() {
		return left > 0 && (!known || duration <= left)
	}
	return duration*drainSafetyFactor+drainSafetyMargin <= left
}

// mayBegin reports whether a response whose first token has arrived is passed on. The caller of one
// that would be interrupted learns that at once, and has nothing that it must drop.
func (r *Router) mayBegin(f *flight) bool {
	if !r.draining || f.partiallyDelivered {
		return true
	}
	left := r.workEnd.Since(r.now)
	usual, _, known := r.paces.StreamTimes(f.paceKey(), f.request.MaxTokens)
	return !known || usual <= left
}

// paceKey returns the key under which the times of the request's servers are kept.
func (f *flight) paceKey() string {
	if f.isModel() {
		return "model " + f.route.Model
	}
	return "service " + f.route.Service
}

// expectedDuration returns the time until the response is complete: of the longest stream if the
// caller finds another instance, else of one of average length. For what is not known from others
// lately it uses the targets of the request's class, and reports false.
func (r *Router) expectedDuration(f *flight) (duration clock.Millis, known bool) {
	first, known := r.paces.ResponseTime(f.paceKey())
	if !known {
		first = f.class.FirstTokenTarget
	}
	first = max(first, r.longestWait(f.paceKey()))
	if !f.isModel() {
		return first, known
	}
	usual, stream, streamKnown := r.paces.StreamTimes(f.paceKey(), f.request.MaxTokens)
	if !r.otherServes() {
		stream = usual
	}
	if !streamKnown {
		stream = f.class.InterTokenTarget * clock.Millis(f.request.MaxTokens)
	}
	return first + stream, known && streamKnown
}

// longestWait returns the longest time for which an attempt has been without a first token or a
// response.
func (r *Router) longestWait(paceKey string) clock.Millis {
	longest := clock.Millis(0)
	for _, f := range r.flights {
		if f.stage == stageRunning && f.progressAt == 0 && f.paceKey() == paceKey {
			longest = max(longest, r.now.Since(f.sentAt))
		}
	}
	return longest
}

// recordFirstToken records the time to an attempt's first token.
func (r *Router) recordFirstToken(f *flight) {
	r.paces.RecordResponse(r.now, f.paceKey(), r.now.Since(f.sentAt))
	f.progressAt, f.progressEvents = r.now, 1
}

// handleStreamProgressed records the pace of a stream that is still running.
func (r *Router) handleStreamProgressed(ev event.StreamProgressed) {
	f, ok := r.flights[ev.Request]
	if !ok || f.stage != stageRunning || f.attemptID != ev.Attempt || f.progressAt == 0 {
		return
	}
	r.paces.RecordEvents(r.now, f.paceKey(), ev.Events-f.progressEvents, r.now.Since(f.progressAt))
	f.progressAt, f.progressEvents = r.now, ev.Events
}

// recordPace records how long a server took for a complete response.
func (r *Router) recordPace(f *flight, ev event.AttemptCompleted) {
	switch {
	case ev.Status >= action.StatusInternalError:
	case !f.isModel():
		r.paces.RecordResponse(r.now, f.paceKey(), r.now.Since(f.sentAt))
	case f.progressAt != 0 && f.attempts == 1 && f.resumeFrom == nil:
		events := int(ev.UsedTokens - f.request.PromptTokens)
		r.paces.RecordEvents(r.now, f.paceKey(), events-f.progressEvents, r.now.Since(f.progressAt))
		r.paces.RecordStream(r.now, f.paceKey(), f.request.MaxTokens, events)
	}
}
