package gateway

import (
	"context"
	"net/http"
	"strconv"

	"github.com/kataras/iris/v12"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/digester"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/chunker"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/completer"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/retrier"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/dispatcher"
)

// completions handles completion requests of the kind.
func (g *Gateway) completions(kind completer.Kind) iris.Handler {
	return func(ctx iris.Context) {
		g.completion(kind, ctx.ResponseWriter(), ctx.Request())
	}
}

func (g *Gateway) completion(kind completer.Kind, w http.ResponseWriter, r *http.Request) {
	read, refusal := g.readInput(w, r)
	if refusal != nil {
		writeRefusal(w, "", *refusal)
		return
	}
	request, err := completer.Decode(kind, read.body)
	if err != nil {
		writeRefusal(w, "", *invalid(err.Error()))
		return
	}
	if read.lastEvent != "" && !request.Stream {
		writeRefusal(w, "", *invalid("Last-Event-ID stands at a request that is not streamed; send it with stream: true"))
		return
	}
	c := &completion{
		gateway: g,
		id:      newRequestID(),
		request: request,
		writer:  newStreamWriter(w, request),
	}
	c.writer.id = c.id
	g.serve(r.Context(), c.arrival(read), func(next action.Action) bool { return c.perform(r.Context(), next) })
}

// completion is one completion request while it is served.
type completion struct {
	gateway *Gateway
	id      string
	request completer.Request
	writer  *streamWriter
	// dispatched is the current attempt.
	dispatched action.Dispatch
	// cached is what of the prompt the engine had cached; -1 when it did not say.
	cached int64
	began  bool // began tells that the current attempt's first token came.
}

func (c *completion) arrival(read input) event.RequestArrived {
	return event.RequestArrived{
		Request:      c.id,
		Key:          read.key,
		Class:        read.class,
		Model:        c.request.Model,
		PromptTokens: chunker.EstimateTokens(len(c.request.Prompt)),
		MaxTokens:    c.request.MaxTokens,
		LastEventID:  read.lastEvent,
		Chain:        chunker.Chain(c.request.Prompt),
		Fingerprint:  digester.Content(read.body),
	}
}

// perform performs one action. It reports whether the request has ended.
func (c *completion) perform(ctx context.Context, next action.Action) bool {
	switch next := next.(type) {
	case action.Dispatch:
		return c.dispatch(ctx, next)
	case action.Refuse:
		c.writer.refuse(next.Refusal)
		return true
	case action.EndStream:
		c.writer.refuse(next.Refusal)
		return true
	case action.Respond:
		c.writer.finish(next.Response)
		return true
	case action.CancelRequest:
		return true
	default:
		return false
	}
}

// dispatch runs one attempt. It reports whether the caller has gone.
func (c *completion) dispatch(ctx context.Context, dispatch action.Dispatch) bool {
	c.dispatched = dispatch
	c.began = false
	c.cached = -1
	body := c.request.EncodeForEngine(completer.DispatchOptions{
		Salt:            strconv.FormatUint(dispatch.CacheSalt, 16),
		Priority:        dispatch.Priority,
		DeliveredText:   c.writer.text.String(),
		DeliveredTokens: c.writer.tokens,
	})
	attempt, cancel := context.WithCancel(ctx)
	defer cancel()
	c.gateway.machine.Attempt(c.id, cancel)
	result := c.gateway.dispatch.Stream(attempt, dispatch, c.request.Kind, body, c)
	if result.Gone && ctx.Err() == nil && attempt.Err() != nil {
		return false
	}
	if result.Gone {
		c.gateway.machine.Submit(event.CallerDisconnected{Request: c.id})
		return true
	}
	c.gateway.machine.Submit(c.outcome(result))
	return false
}

func (c *completion) outcome(result dispatcher.Result) event.Event {
	if result.Answered() {
		return event.AttemptCompleted{
			Request:     c.id,
			Attempt:     c.dispatched.Attempt,
			Status:      result.Status,
			ContentType: result.ContentType,
			Body:        result.Body,
			UsedTokens:  c.writer.promptTokens() + c.writer.tokens,

			CachedTokens: c.cached,
		}
	}
	reach := result.Reach
	if c.writer.tokens > 0 {
		reach = retrier.Streaming
	}
	return event.AttemptFailed{
		Request:         c.id,
		Attempt:         c.dispatched.Attempt,
		Progress:        reach,
		Failure:         result.Failure,
		DeliveredTokens: c.writer.tokens,
		LastEventNumber: result.LastEvent,
	}
}

// Pass passes one chunk on to the caller.
func (c *completion) Pass(chunk completer.Chunk, number int64) error {
	if !c.began {
		c.began = true
		c.gateway.machine.Submit(event.FirstToken{Request: c.id, Attempt: c.dispatched.Attempt})
	}
	c.cached = max(c.cached, chunk.CachedTokens)
	return c.writer.pass(chunk, c.dispatched.EventIDs.ID(number))
}
