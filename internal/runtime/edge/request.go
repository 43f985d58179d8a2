package edge

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/httpserver"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/reserver"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// unnamedRequests numbers the requests that arrive without an identifier.
var unnamedRequests atomic.Int64

// CallerTimeout returns the caller's timeout for the response; 0 if the request states
// none.
func (e *Edge) CallerTimeout(inbound *httpserver.InboundRequest) clock.Millis {
	return e.platform.CallerTimeout(inbound.Header)
}

// Handle passes one request to the state machine and performs the request's actions
// until it ends.
func (e *Edge) Handle(inbound *httpserver.InboundRequest, response *httpserver.ResponseWriter) {
	defer e.recoverPanic("request")
	request := e.platform.DecodeRequest(inbound)
	callerRequestID := request.ID
	request.Connection, request.ConnectionRequests, request.ConnectionAge = inbound.Connection.Number, inbound.Connection.Requests, inbound.Connection.Age
	if callerRequestID == "" {
		request.ID = "unnamed-" + strconv.FormatInt(unnamedRequests.Add(1), 10)
	}
	actions, ok := e.machine.register(request.ID)
	if !ok {
		// A request with the same identifier is in flight, or the instance is closed.
		// This request was not forwarded, so the caller may send it again.
		refuse(response, forwarder.Refuse{Status: http.StatusServiceUnavailable, Reason: forwarder.ReasonTooManyInFlight, RetryAfter: clock.Second})
		return
	}
	ended := false
	defer func() {
		if !ended {
			// The handler has panicked, and the state machine still knows the request.
			e.machine.submit(forwarder.CallerDisconnected{Request: request.ID})
		}
	}()
	defer e.machine.unregister(request.ID)
	handled := make(chan struct{})
	defer close(handled)
	go func() {
		select {
		case <-inbound.Disconnected:
			e.machine.submit(forwarder.CallerDisconnected{Request: request.ID})
		case <-handled:
		}
	}()
	handler := newRequestHandler(e, inbound, response, request, callerRequestID)
	defer handler.release()
	defer handler.logIncomplete(time.Now())
	e.machine.handleAlternatives(request.ID, func(dispatch forwarder.Dispatch) {
		e.start(func() {
			defer e.recoverPanic("alternative")
			handler.runAlternative(dispatch)
		})
	})
	e.machine.submit(forwarder.RequestArrived{Request: request})
	handler.run(actions)
	ended = true
}

// requestHandler handles one request until its response has ended.
type requestHandler struct {
	edge            *Edge
	inbound         *httpserver.InboundRequest
	response        *httpserver.ResponseWriter
	request         forwarder.Request
	callerRequestID string // callerRequestID is the identifier from the caller; empty if it sent none.

	// adopted passes an alternative that continues the response to the handler's goroutine,
	// the only one that writes to the caller.
	adopted chan *openStream

	mu sync.Mutex
	// owner is the attempt whose events are forwarded. alternatives cancel the attempts that
	// take its place if they send the next event, by number.
	// claimed reports whether an event has been, or is about to be, forwarded.
	owner        int
	claimed      bool
	alternatives map[int]context.CancelFunc
	// held is closed when the owner's events need no longer wait for an alternative; nil for no wait.
	held chan struct{}
	// buffered are the responses by attempt. They are held back until the state machine
	// decides whether to forward one or to retry the request.
	buffered map[int]*bufferedResponse
	// released reports whether the request has ended, and with it their accounts.
	released bool
	// streamStarted reports whether events have been forwarded to the caller.
	// lastEventID is the identifier of the last one.
	streamStarted bool
	lastEventID   string
	// unplaced reports whether an event without identifier has been, or is about to be, forwarded.
	unplaced bool
	// unproven is the number of attempts whose end did not show that the stream is complete.
	unproven atomic.Int32
}

func newRequestHandler(e *Edge, inbound *httpserver.InboundRequest, response *httpserver.ResponseWriter, request forwarder.Request, callerRequestID string) *requestHandler {
	return &requestHandler{
		edge: e, inbound: inbound, response: response, request: request, callerRequestID: callerRequestID,
		adopted: make(chan *openStream, maxActions), alternatives: map[int]context.CancelFunc{}, buffered: map[int]*bufferedResponse{},
	}
}

// bufferedResponse is the complete response of a server.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
	// account holds the memory for the body.
	account *reserver.Account
}

// keep keeps a response until the request ends.
func (h *requestHandler) keep(attempt int, response *bufferedResponse) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.released {
		response.account.Release()
		return
	}
	h.buffered[attempt] = response
}

// release releases the memory of the responses.
func (h *requestHandler) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.released = true
	for _, response := range h.buffered {
		response.account.Release()
	}
}

// run performs the request's actions until one of them ends it.
func (h *requestHandler) run(actions <-chan forwarder.Action) {
	for {
		// Actions go before streams, because one of them may end the request.
		select {
		case action := <-actions:
			if h.perform(action) {
				return
			}
			continue
		default:
		}
		select {
		case action := <-actions:
			if h.perform(action) {
				return
			}
		case stream := <-h.adopted:
			h.forwardAttempt(stream)
		case <-h.edge.ctx.Done():
			return
		}
	}
}

// perform performs one action of the request. It reports whether it was the last one.
func (h *requestHandler) perform(action forwarder.Action) bool {
	switch action := action.(type) {
	case forwarder.Dispatch:
		h.dispatch(action)
		return false
	case forwarder.ForwardResponse:
		h.forwardResponse(action.Attempt)
	case forwarder.Refuse:
		// The state machine learns of the first event after it has been written.
		if !h.streamStarted {
			refuse(h.response, action)
		}
	default:
		// The other actions abort the response: the connection is closed before its end.
	}
	return true
}

// logIncomplete logs that the response is incomplete, unless the caller has disconnected.
func (h *requestHandler) logIncomplete(arrivedAt time.Time) {
	if h.response.Completed() {
		return
	}
	select {
	case <-h.inbound.Disconnected:
	default:
		entry := eventlog.New(eventlog.ResponseIncomplete, h.request.ID).With("started", h.response.Started())
		entry = entry.With("lastEvent", h.lastEventID).With("after", clock.Millis(time.Since(arrivedAt).Milliseconds()))
		h.edge.log(entry.With("connection", h.request.Connection).With("requests", h.request.ConnectionRequests).With("connectionAge", h.request.ConnectionAge))
	}
}

// dispatch runs an attempt and forwards its events. It returns when the attempt has ended.
func (h *requestHandler) dispatch(dispatch forwarder.Dispatch) {
	ctx, cancel := context.WithTimeout(h.edge.ctx, dispatch.Timeout.Duration()+attemptGrace)
	defer cancel()
	c := newCancellation(cancel, dispatch)
	h.edge.machine.setCancel(h.request.ID, dispatch.Attempt, c)
	h.mu.Lock()
	h.owner = dispatch.Attempt
	unplaced := h.unplaced
	if h.lastEventID != "" {
		dispatch.LastEventID = h.lastEventID
	}
	h.mu.Unlock()
	if unplaced {
		// The stream was moved just before the event.
		h.edge.machine.submit(forwarder.AttemptEnded{Request: h.request.ID, Attempt: dispatch.Attempt, Outcome: forwarder.OutcomeExpired})
		return
	}
	result, stream := h.attempt(ctx, c, dispatch)
	if stream == nil {
		h.edge.machine.submit(result)
		return
	}
	h.forwardAttempt(stream)
}

// forwardAttempt forwards the events of a stream until its attempt ends.
func (h *requestHandler) forwardAttempt(stream *openStream) {
	result := h.stream(stream)
	stream.close()
	h.edge.machine.submit(result)
}

// forwardResponse forwards the response, or the end of the stream.
func (h *requestHandler) forwardResponse(attempt int) {
	h.mu.Lock()
	buffered := h.buffered[attempt]
	h.mu.Unlock()
	switch {
	case buffered == nil:
		h.response.Finish()
	case !h.streamStarted:
		h.response.WriteResponse(buffered.status, buffered.header, buffered.body)
	}
}

// refuse sends an error response with the reason.
func refuse(response *httpserver.ResponseWriter, refusal forwarder.Refuse) {
	header := http.Header{}
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", httpserver.RetryAfter(refusal.RetryAfter))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	response.WriteResponse(refusal.Status, header, []byte(string(refusal.Reason)+"\n"))
}
