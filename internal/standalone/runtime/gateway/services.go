package gateway

import (
	"context"
	"net/http"
	"path"
	"strings"

	"github.com/kataras/iris/v12"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/hasher"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/recorder"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/dispatcher"
)

// replayedHeader marks a response that repeats the one to an earlier request with the
// same idempotency key.
const replayedHeader = "Idempotency-Replayed"

// handleService handles requests to plain services.
func (g *Gateway) handleService(ctx iris.Context) {
	g.serveService(ctx.ResponseWriter(), ctx.Request())
}

func (g *Gateway) serveService(w http.ResponseWriter, r *http.Request) {
	input, refusal := g.readRequest(w, r)
	if refusal != nil {
		writeRefusal(w, "", *refusal)
		return
	}
	name, subpath, ok := splitServicePath(r.URL.EscapedPath())
	if !ok {
		writeRefusal(w, "", *invalidRequest("the path is not plain: send it without dots, doubled slashes and escaped characters"))
		return
	}
	c := &serviceCall{gateway: g, id: newRequestID(), writer: w, request: r, body: input.body}
	c.target = subpath
	if r.URL.RawQuery != "" {
		c.target += "?" + r.URL.RawQuery
	}
	arrived := event.RequestArrived{
		Request:        c.id,
		Key:            input.key,
		Class:          input.class,
		Service:        name,
		Method:         r.Method,
		Path:           subpath,
		IdempotencyKey: input.idempotencyKey,
		Fingerprint:    hasher.Fields(r.Method, name, c.target, string(input.body)),
	}
	g.processRequest(r.Context(), arrived, c.execute)
}

// splitServicePath returns the service and the path below it. It accepts only a path that
// the router and the service interpret in the same way. Otherwise another spelling of a
// path could bypass the route that defines whether its calls may be repeated.
func splitServicePath(escaped string) (name, subpath string, ok bool) {
	rest := strings.TrimPrefix(escaped, "/services/")
	name, subpath, found := strings.Cut(rest, "/")
	subpath = "/" + subpath
	if !found || name == "" || strings.ContainsAny(escaped, "%;\\") {
		return "", "", false
	}
	clean := path.Clean(subpath)
	if strings.HasSuffix(subpath, "/") && clean != "/" {
		clean += "/"
	}
	return name, subpath, clean == subpath
}

// serviceCall is one in-flight request to a plain service.
type serviceCall struct {
	gateway *Gateway
	id      string
	writer  http.ResponseWriter
	request *http.Request
	target  string // target is the path below the service, with the query.
	body    []byte
}

// execute executes one action. It reports whether the request has ended.
func (c *serviceCall) execute(ctx context.Context, output action.Action) bool {
	switch output := output.(type) {
	case action.Dispatch:
		return c.runAttempt(ctx, output)
	case action.Refuse:
		writeRefusal(c.writer, c.id, output.Refusal)
		return true
	case action.Respond:
		c.writeResponse(output.Response, output.Replayed)
		return true
	case action.CancelRequest:
		return true
	default:
		return false
	}
}

// runAttempt runs one attempt and submits its outcome. It reports whether the caller
// has disconnected. A call that may not be repeated, whose dispatch has an OperationID,
// continues after its caller disconnects, until the state machine cancels it.
func (c *serviceCall) runAttempt(ctx context.Context, dispatch action.Dispatch) bool {
	if dispatch.OperationID != "" {
		ctx = context.WithoutCancel(ctx)
	}
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(c.gateway.killed, cancel)()
	c.gateway.machine.SetAttemptCancel(c.id, dispatch.Attempt, cancel)
	result := c.gateway.dispatcher.Exchange(attemptCtx, dispatch, dispatcher.Call{
		Method: c.request.Method,
		Target: c.target,
		Header: c.request.Header,
		Body:   c.body,
	})
	if result.Cancelled && ctx.Err() == nil {
		// The state machine has cancelled the attempt, or the instance is killed.
		return false
	}
	if result.Cancelled {
		c.gateway.machine.Submit(event.CallerDisconnected{Request: c.id})
		return true
	}
	c.gateway.machine.Submit(attemptEvent(c.id, dispatch.Attempt, result))
	return false
}

func attemptEvent(request, attempt string, result dispatcher.Result) event.Event {
	if result.Complete() {
		return event.AttemptCompleted{Request: request, Attempt: attempt, Status: result.Status, ContentType: result.ContentType, Body: result.Body}
	}
	return event.AttemptFailed{Request: request, Attempt: attempt, Progress: result.Progress, Failure: result.Failure}
}

func (c *serviceCall) writeResponse(response recorder.Response, replayed bool) {
	header := c.writer.Header()
	header.Set(dispatcher.RequestIDHeader, c.id)
	if response.ContentType != "" {
		header.Set("Content-Type", response.ContentType)
	}
	if replayed {
		header.Set(replayedHeader, "true")
	}
	c.writer.WriteHeader(response.Status)
	_, _ = c.writer.Write(response.Body)
}
