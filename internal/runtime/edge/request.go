package edge

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/httpserver"
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
	request := e.platform.DecodeRequest(inbound)
	callerRequestID := request.ID
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
	handler := &requestHandler{edge: e, inbound: inbound, response: response, request: request, callerRequestID: callerRequestID}
	defer handler.logIncomplete(time.Now())
	e.machine.submit(forwarder.RequestArrived{Request: request})
	for {
		select {
		case action := <-actions:
			if handler.perform(action) {
				return
			}
		case <-e.ctx.Done():
			return
		}
	}
}

// requestHandler handles one request until its response has ended.
type requestHandler struct {
	edge            *Edge
	inbound         *httpserver.InboundRequest
	response        *httpserver.ResponseWriter
	request         forwarder.Request
	callerRequestID string // callerRequestID is the identifier from the caller; empty if it sent none.

	// buffered is the response of the last attempt. It is held back until the state
	// machine decides whether to forward it or to retry the request.
	buffered *bufferedResponse
	// streamStarted reports whether events have been forwarded to the caller.
	// lastEventID is the identifier of the last one.
	streamStarted bool
	lastEventID   string
}

// bufferedResponse is the complete response of a server.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// perform performs one action of the request. It reports whether it was the last one.
func (h *requestHandler) perform(action forwarder.Action) bool {
	switch action := action.(type) {
	case forwarder.Dispatch:
		h.dispatch(action)
		return false
	case forwarder.ForwardResponse:
		h.forwardResponse()
	case forwarder.Refuse:
		refuse(h.response, action)
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
		h.edge.log(entry.With("lastEvent", h.lastEventID).With("after", clock.Millis(time.Since(arrivedAt).Milliseconds())))
	}
}

func (h *requestHandler) dispatch(dispatch forwarder.Dispatch) {
	ctx, cancel := context.WithTimeout(h.edge.ctx, dispatch.Timeout.Duration()+attemptGrace)
	defer cancel()
	h.edge.machine.setCancel(h.request.ID, dispatch.Attempt, cancel)
	h.buffered = nil
	if h.lastEventID != "" {
		dispatch.LastEventID = h.lastEventID
	}
	h.edge.machine.submit(h.attempt(ctx, dispatch))
}

func (h *requestHandler) forwardResponse() {
	if h.streamStarted {
		h.response.Finish()
		return
	}
	if h.buffered != nil {
		h.response.WriteResponse(h.buffered.status, h.buffered.header, h.buffered.body)
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
