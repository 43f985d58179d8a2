package edge

import (
	"context"
	"io"
	"net/http"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
)

// runAlternative runs an attempt beside the current one. It hands the attempt over to the
// handler's goroutine if it sends the next event of the response.
func (h *requestHandler) runAlternative(dispatch forwarder.Dispatch) {
	ctx, cancel := context.WithTimeout(h.edge.ctx, dispatch.Timeout.Duration()+attemptGrace)
	c := newCancellation(cancel, dispatch)
	h.edge.machine.setCancel(h.request.ID, dispatch.Attempt, c)
	h.mu.Lock()
	if h.lastEventID != "" {
		dispatch.LastEventID = h.lastEventID
	}
	if h.claimed == dispatch.PartDelivered && !h.unplaced {
		h.alternatives[dispatch.Attempt] = cancel
		if dispatch.HoldsEvents {
			defer h.hold()()
		}
	} else {
		// The server was selected before the first event, and may have other software than
		// the one that sent it. After an event without identifier nobody can go on.
		cancel()
	}
	h.mu.Unlock()
	result, stream := h.attempt(ctx, c, dispatch)
	if stream != nil {
		stream.cancel = cancel
		if result = h.adopt(stream); result.Outcome == 0 {
			return
		}
		stream.close()
	}
	cancel()
	if !h.endAlternative(result) && !result.Outcome.NotRun() {
		result = withOutcome(result, forwarder.OutcomeSuperseded, nil)
	}
	h.edge.machine.submit(result)
}

// hold makes the owner's events wait until the returned function is called. The caller holds the lock.
func (h *requestHandler) hold() (release func()) {
	held := make(chan struct{})
	h.held = held
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.held == held {
			h.held = nil
		}
		close(held)
	}
}

// awaitRelease waits while the attempt's events are held. The caller holds the lock.
func (h *requestHandler) awaitRelease(ctx context.Context, attempt int) {
	for h.held != nil && h.owner == attempt && ctx.Err() == nil {
		held := h.held
		h.mu.Unlock()
		select {
		case <-held:
		case <-ctx.Done():
		}
		h.mu.Lock()
	}
}

// adopt reads the first event of an alternative and hands the stream over if no event of
// the current attempt came before it. It returns no outcome then.
func (h *requestHandler) adopt(stream *openStream) forwarder.AttemptEnded {
	stream.first, stream.firstErr = stream.next(int(h.unproven.Load()))
	if stream.firstErr != nil && !(stream.firstErr == io.EOF && len(stream.first) == 0) {
		return withOutcome(stream.result, h.outcomeOfStreamError(stream.firstErr), stream.firstErr)
	}
	stream.hasFirst, stream.started = true, true
	before := h.forwarded()
	if !h.takeOver(stream.result.Attempt) {
		return withOutcome(stream.result, forwarder.OutcomeSuperseded, nil)
	}
	if !h.edge.machine.begin(forwarder.StreamStarted{Request: stream.result.Request, Attempt: stream.result.Attempt, WeightsVersion: stream.result.WeightsVersion}) {
		h.giveBack(stream.result.Attempt, before)
		return withOutcome(stream.result, forwarder.OutcomeSuperseded, nil)
	}
	h.adopted <- stream
	return stream.result
}

// takeOver makes an alternative the attempt whose response is forwarded. It reports false
// if another attempt has sent an event before.
func (h *requestHandler) takeOver(attempt int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.takeOverLocked(attempt)
}

func (h *requestHandler) takeOverLocked(attempt int) bool {
	if _, ok := h.alternatives[attempt]; !ok {
		return false
	}
	delete(h.alternatives, attempt)
	h.owner, h.claimed = attempt, true
	h.cancelAlternatives()
	return true
}

// forwardedPart is what of the response has been, or is about to be, forwarded, and the attempt whose
// events are.
type forwardedPart struct {
	owner       int
	claimed     bool
	lastEventID string
	unplaced    bool
}

func (h *requestHandler) forwarded() forwardedPart {
	h.mu.Lock()
	defer h.mu.Unlock()
	return forwardedPart{owner: h.owner, claimed: h.claimed, lastEventID: h.lastEventID, unplaced: h.unplaced}
}

// giveBack takes back the claim to an attempt's first event, which is not forwarded.
func (h *requestHandler) giveBack(attempt int, before forwardedPart) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.owner == attempt {
		h.owner, h.claimed, h.lastEventID, h.unplaced = before.owner, before.claimed, before.lastEventID, before.unplaced
	}
}

// cancelAlternatives cancels the alternatives, as they would repeat the event that another
// attempt has sent. The caller holds the lock.
func (h *requestHandler) cancelAlternatives() {
	for _, cancel := range h.alternatives {
		cancel()
	}
	clear(h.alternatives)
}

// endAlternative removes an alternative that has ended without a stream. It reports false if
// another attempt has sent an event before. A response to forward takes over, so that no
// attempt begins a stream instead.
func (h *requestHandler) endAlternative(result forwarder.AttemptEnded) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.claimed && result.Outcome == forwarder.OutcomeCompleted && result.Status < http.StatusInternalServerError {
		return h.takeOverLocked(result.Attempt)
	}
	_, ok := h.alternatives[result.Attempt]
	delete(h.alternatives, result.Attempt)
	return ok
}

// claim reports whether the attempt may forward its next event, or its end, after which the
// identifier of the last event is id, or unknown if it is unplaced. The alternatives are cancelled,
// except for one for which the events are held: its end is awaited.
func (h *requestHandler) claim(ctx context.Context, attempt int, id string, unplaced bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.awaitRelease(ctx, attempt); h.owner != attempt || h.held != nil {
		return false
	}
	h.claimed = true
	h.unplaced = h.unplaced || unplaced
	h.cancelAlternatives()
	if id != "" {
		h.lastEventID = id
	}
	return true
}
