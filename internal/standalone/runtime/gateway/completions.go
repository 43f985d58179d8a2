package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/hasher"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/chunker"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/completer"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/retrier"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/dispatcher"
)

// handleCompletions returns the handler for completion requests of the kind.
func (g *Gateway) handleCompletions(kind completer.Kind) iris.Handler {
	return func(ctx iris.Context) {
		g.serveCompletion(kind, ctx.ResponseWriter(), ctx.Request())
	}
}

func (g *Gateway) serveCompletion(kind completer.Kind, w http.ResponseWriter, r *http.Request) {
	input, refusal := g.readRequest(w, r)
	if refusal != nil {
		writeRefusal(w, "", *refusal)
		return
	}
	request, err := completer.Decode(kind, input.body)
	if err != nil {
		writeRefusal(w, "", *invalidRequest(err.Error()))
		return
	}
	if input.lastEventID != "" && !request.Stream {
		writeRefusal(w, "", *invalidRequest("Last-Event-ID stands at a request that is not streamed; send it with stream: true"))
		return
	}
	c := &completion{
		gateway: g,
		id:      newRequestID(),
		request: request,
		writer:  newStreamWriter(w, request),
	}
	c.writer.id = c.id
	g.processRequest(r.Context(), c.arrivalEvent(input), c.execute)
}

// progressInterval is the shortest time between two reports of a stream's progress.
const progressInterval = 200 * time.Millisecond

// completion is one in-flight completion request.
type completion struct {
	gateway *Gateway
	id      string
	request completer.Request
	writer  *streamWriter
	// dispatch is the action that started the current attempt.
	dispatch action.Dispatch
	// cachedTokens is the number of prompt tokens that the engine reported as cached;
	// -1 if it reported none.
	cachedTokens int64
	// attemptCtx is done when the current attempt is cancelled.
	attemptCtx context.Context
	// events is the number of events of the current attempt, last reported at progressAt.
	events     int
	progressAt time.Time
}

func (c *completion) arrivalEvent(input callerRequest) event.RequestArrived {
	return event.RequestArrived{
		Request:      c.id,
		Key:          input.key,
		Class:        input.class,
		Model:        c.request.Model,
		PromptTokens: chunker.EstimateTokens(len(c.request.Prompt)),
		MaxTokens:    c.request.MaxTokens,
		LastEventID:  input.lastEventID,
		Chain:        chunker.Chain(c.request.Prompt),
		Fingerprint:  hasher.Content(input.body),
	}
}

// execute executes one action. It reports whether the request has ended.
func (c *completion) execute(ctx context.Context, output action.Action) bool {
	switch output := output.(type) {
	case action.Dispatch:
		return c.runAttempt(ctx, output)
	case action.Refuse:
		c.writer.writeRefusal(output.Refusal)
		return true
	case action.EndStream:
		c.writer.writeRefusal(output.Refusal)
		return true
	case action.Respond:
		c.writer.finish(output.Response)
		return true
	case action.CancelRequest:
		return true
	default:
		return false
	}
}

// runAttempt runs one attempt and submits its outcome. It reports whether the caller
// has disconnected.
func (c *completion) runAttempt(ctx context.Context, dispatch action.Dispatch) bool {
	c.dispatch = dispatch
	c.events = 0
	c.cachedTokens = -1
	body := c.request.EncodeForEngine(completer.DispatchOptions{
		Salt:            strconv.FormatUint(dispatch.CacheSalt, 16),
		Priority:        dispatch.Priority,
		DeliveredText:   c.writer.delivered.String(),
		DeliveredTokens: c.writer.deliveredTokens,
	})
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.attemptCtx = attemptCtx
	c.gateway.machine.SetAttemptCancel(c.id, dispatch.Attempt, cancel)
	result := c.gateway.dispatcher.Stream(attemptCtx, dispatch, c.request.Kind, body, c)
	if result.Cancelled && ctx.Err() == nil && attemptCtx.Err() != nil {
		// The state machine has cancelled the attempt; the request continues.
		return false
	}
	if result.Cancelled {
		c.gateway.machine.Submit(event.CallerDisconnected{Request: c.id})
		return true
	}
	c.gateway.machine.Submit(c.attemptEvent(result))
	return false
}

func (c *completion) attemptEvent(result dispatcher.Result) event.Event {
	if result.Complete() && result.Status != http.StatusOK && c.writer.headerWritten {
		// The engine's answer can't follow the events that the caller has.
		result.Progress, result.Failure = retrier.Streaming, retrier.ServerError
	}
	if result.Complete() {
		return event.AttemptCompleted{
			Request:     c.id,
			Attempt:     c.dispatch.Attempt,
			Status:      result.Status,
			ContentType: result.ContentType,
			Body:        result.Body,
			UsedTokens:  c.writer.promptTokens() + c.writer.deliveredTokens,

			CachedTokens: c.cachedTokens,
		}
	}
	progress := result.Progress
	if c.writer.deliveredTokens > 0 {
		progress = retrier.Streaming
	}
	return event.AttemptFailed{
		Request:         c.id,
		Attempt:         c.dispatch.Attempt,
		Progress:        progress,
		Failure:         result.Failure,
		DeliveredTokens: c.writer.deliveredTokens,
		LastEventNumber: result.LastEventNumber,
	}
}

// WriteChunk writes one chunk to the caller. It implements dispatcher.ChunkWriter.
func (c *completion) WriteChunk(chunk completer.Chunk, number int64) error {
	c.events++
	switch {
	case c.events == 1:
		c.progressAt = time.Now()
		c.gateway.machine.Submit(event.FirstToken{Request: c.id, Attempt: c.dispatch.Attempt})
	case time.Since(c.progressAt) >= progressInterval:
		c.progressAt = time.Now()
		c.gateway.machine.Submit(event.StreamProgressed{Request: c.id, Attempt: c.dispatch.Attempt, Events: c.events})
	}
	if err := c.attemptCtx.Err(); err != nil {
		// The state machine has cancelled the attempt, so the caller gets nothing more of it.
		return err
	}
	c.cachedTokens = max(c.cachedTokens, chunk.CachedTokens)
	return c.writer.writeChunk(chunk, c.dispatch.EventIDs.ID(number))
}
