package edge

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/front"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// unnamed counts the requests that came without an identifier.
var unnamed atomic.Int64

// Patience returns how long the caller will wait.
func (e *Edge) Patience(inbound *front.Inbound) clock.Millis {
	return e.platform.CallerTimeout(inbound.Header)
}

// Handle answers one request as the state machine says.
func (e *Edge) Handle(inbound *front.Inbound, answer *front.Answer) {
	request := e.platform.DecodeRequest(inbound)
	named := request.ID
	if named == "" {
		request.ID = "unnamed-" + strconv.FormatInt(unnamed.Add(1), 10)
	}
	actions, ok := e.machine.open(request.ID)
	if !ok {
		// The same identifier is in flight here: this one has not run.
		refuse(answer, forwarder.Refuse{Status: http.StatusServiceUnavailable, Reason: forwarder.ReasonBusy, RetryAfter: clock.Second})
		return
	}
	defer e.machine.done(request.ID)
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-inbound.Gone:
			e.machine.submit(forwarder.Abandoned{Request: request.ID})
		case <-ended:
		}
	}()
	current := &handling{edge: e, inbound: inbound, answer: answer, request: request, named: named}
	e.machine.submit(forwarder.Arrived{Request: request})
	for {
		select {
		case next := <-actions:
			if current.follow(next) {
				return
			}
		case <-e.ctx.Done():
			return
		}
	}
}

// handling is one request while it is answered.
type handling struct {
	edge    *Edge
	inbound *front.Inbound
	answer  *front.Answer
	request forwarder.Request
	named   string // named is the caller's identifier; empty for none.

	// kept is the server's answer while the machine decides what becomes of it.
	kept *keptAnswer
	// streaming tells that events have been passed; lastEvent is the last one's
	// identifier.
	streaming bool
	lastEvent string
}

// keptAnswer is a whole answer of a server.
type keptAnswer struct {
	status int
	header http.Header
	body   []byte
}

// follow performs one action of the request. It reports whether it was the last.
func (h *handling) follow(next forwarder.Action) bool {
	switch next := next.(type) {
	case forwarder.Dispatch:
		h.dispatch(next)
		return false
	case forwarder.Pass:
		h.pass()
	case forwarder.Refuse:
		refuse(h.answer, next)
	default:
		// A break and a drop leave the answer without its end.
	}
	return true
}

func (h *handling) dispatch(dispatch forwarder.Dispatch) {
	ctx, cancel := context.WithTimeout(h.edge.ctx, dispatch.Left.Duration()+dispatchSlack)
	defer cancel()
	h.edge.machine.begin(h.request.ID, dispatch.Attempt, cancel)
	h.kept = nil
	if h.lastEvent != "" {
		dispatch.LastEvent = h.lastEvent
	}
	h.edge.machine.submit(h.attempt(ctx, dispatch))
}

func (h *handling) pass() {
	if h.streaming {
		h.answer.End()
		return
	}
	if h.kept != nil {
		h.answer.Whole(h.kept.status, h.kept.header, h.kept.body)
	}
}

func refuse(answer *front.Answer, refused forwarder.Refuse) {
	header := http.Header{}
	if refused.RetryAfter > 0 {
		header.Set("Retry-After", front.RetryAfter(refused.RetryAfter))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	answer.Whole(refused.Status, header, []byte(string(refused.Reason)+"\n"))
}
