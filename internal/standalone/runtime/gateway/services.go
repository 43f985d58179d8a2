package gateway

import (
	"context"
	"net/http"
	"path"
	"strings"

	"github.com/kataras/iris/v12"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/digester"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/recorder"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/dispatcher"
)

// replayedField tells that an answer is that of an earlier request.
const replayedField = "Idempotency-Replayed"

// service handles requests to plain services.
func (g *Gateway) service(ctx iris.Context) {
	g.serveService(ctx.ResponseWriter(), ctx.Request())
}

func (g *Gateway) serveService(w http.ResponseWriter, r *http.Request) {
	read, refusal := g.readInput(w, r)
	if refusal != nil {
		writeRefusal(w, "", *refusal)
		return
	}
	name, below, ok := splitPath(r.URL.EscapedPath())
	if !ok {
		writeRefusal(w, "", *invalid("the path is not plain: send it without dots, doubled slashes and escaped characters"))
		return
	}
	c := &call{gateway: g, id: newRequestID(), writer: w, request: r, body: read.body}
	c.target = below
	if r.URL.RawQuery != "" {
		c.target += "?" + r.URL.RawQuery
	}
	arrived := event.RequestArrived{
		Request:        c.id,
		Key:            read.key,
		Class:          read.class,
		Service:        name,
		Method:         r.Method,
		Path:           below,
		IdempotencyKey: read.idempotencyKey,
		Fingerprint:    digester.Fields(r.Method, name, c.target, string(read.body)),
	}
	g.serve(r.Context(), arrived, func(next action.Action) bool { return c.perform(r.Context(), next) })
}

// splitPath returns the service and the path below it. It takes only a path
// that router and service read alike, so that no other spelling of a path gets
// around the route that says whether its calls may be repeated.
func splitPath(escaped string) (name, below string, ok bool) {
	rest := strings.TrimPrefix(escaped, "/services/")
	name, below, found := strings.Cut(rest, "/")
	below = "/" + below
	if !found || name == "" || strings.ContainsAny(escaped, "%;\\") {
		return "", "", false
	}
	clean := path.Clean(below)
	if strings.HasSuffix(below, "/") && clean != "/" {
		clean += "/"
	}
	return name, below, clean == below
}

// call is one request to a plain service while it is served.
type call struct {
	gateway *Gateway
	id      string
	writer  http.ResponseWriter
	request *http.Request
	target  string
	body    []byte
}

// perform performs one action. It reports whether the request has ended.
func (c *call) perform(ctx context.Context, next action.Action) bool {
	switch next := next.(type) {
	case action.Dispatch:
		return c.dispatch(ctx, next)
	case action.Refuse:
		writeRefusal(c.writer, c.id, next.Refusal)
		return true
	case action.Respond:
		c.answer(next.Response, next.Replayed)
		return true
	case action.CancelRequest:
		return true
	default:
		return false
	}
}

// dispatch runs one attempt. A call that may not be repeated is not cut short
// when its caller goes.
func (c *call) dispatch(ctx context.Context, dispatch action.Dispatch) bool {
	if dispatch.IdempotencyKey != "" {
		ctx = context.WithoutCancel(ctx)
	}
	result := c.gateway.dispatch.Exchange(ctx, dispatch, dispatcher.Call{
		Method: c.request.Method,
		Target: c.target,
		Header: c.request.Header,
		Body:   c.body,
	})
	if result.Gone {
		c.gateway.machine.Submit(event.CallerDisconnected{Request: c.id})
		return true
	}
	c.gateway.machine.Submit(callOutcome(c.id, dispatch.Attempt, result))
	return false
}

func callOutcome(request, attempt string, result dispatcher.Result) event.Event {
	if result.Answered() {
		return event.AttemptCompleted{Request: request, Attempt: attempt, Status: result.Status, ContentType: result.ContentType, Body: result.Body}
	}
	return event.AttemptFailed{Request: request, Attempt: attempt, Progress: result.Reach, Failure: result.Failure}
}

func (c *call) answer(answer recorder.Response, replayed bool) {
	header := c.writer.Header()
	header.Set(dispatcher.RequestField, c.id)
	if answer.ContentType != "" {
		header.Set("Content-Type", answer.ContentType)
	}
	if replayed {
		header.Set(replayedField, "true")
	}
	c.writer.WriteHeader(answer.Status)
	_, _ = c.writer.Write(answer.Body)
}
