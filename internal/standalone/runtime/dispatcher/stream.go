package dispatcher

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/completer"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/retrier"
)

// maxEventBytes bounds the size of one event of a stream.
const maxEventBytes = 1 << 20

// ChunkWriter writes the chunks of a stream to the caller, in order.
type ChunkWriter interface {
	// WriteChunk writes a chunk; event is the number of its event in the attempt. An error
	// means that the caller has disconnected.
	WriteChunk(chunk completer.Chunk, event int64) error
}

// Stream sends a completion request to an engine and writes its chunks to the writer.
// The response is complete only if the engine has marked its end and no chunk is missing.
func (d *Dispatcher) Stream(ctx context.Context, dispatch action.Dispatch, kind completer.Kind, body []byte, writer ChunkWriter) Result {
	a := startAttempt(ctx, dispatch.FirstTokenTimeout.Duration())
	defer a.close()
	request, err := http.NewRequestWithContext(a.ctx, http.MethodPost, "http://"+dispatch.Address+kind.Path(), bytes.NewReader(body))
	if err != nil {
		return Result{Progress: retrier.NotSent, Failure: retrier.DialRefused}
	}
	request.Header = engineHeader(dispatch)
	response, err := d.client.Do(request)
	if err != nil {
		result := a.failure(ctx, retrier.Sent, err)
		if result.Cancelled {
			go d.cancelAttempt(ctx, dispatch)
		}
		return result
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return d.nonStreamResult(ctx, a, response)
	}
	reader := &streamReader{dispatch: dispatch, kind: kind, writer: writer, lastEvent: max(dispatch.ResumeAfter, 0)}
	err = reader.read(response.Body, a, d.timeouts.Idle.Duration())
	result := reader.result(ctx, a, err)
	switch {
	case result.Cancelled:
		// The request has ended and must not wait for the engine.
		go d.cancelAttempt(ctx, dispatch)
	case result.Failure == retrier.Malformed:
		d.cancelAttempt(ctx, dispatch)
	}
	return result
}

func engineHeader(dispatch action.Dispatch) http.Header {
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	header.Set("Accept", "text/event-stream")
	header.Set("User-Agent", "hyssopdoor")
	header.Set(RequestIDHeader, dispatch.Request)
	header.Set(AttemptIDHeader, dispatch.Attempt)
	if dispatch.ResumeAfter >= 0 {
		header.Set("Last-Event-ID", dispatch.Attempt+":"+strconv.FormatInt(dispatch.ResumeAfter, 10))
	}
	return header
}

// cancelTimeout bounds the request that cancels an attempt.
const cancelTimeout = 2 * time.Second

// cancelAttempt requests the engine to end a stream that is no longer needed. Closing the
// connection is not enough, because an engine keeps a stream whose connection breaks.
func (d *Dispatcher) cancelAttempt(ctx context.Context, dispatch action.Dispatch) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+dispatch.Address+"/v1/attempts/"+dispatch.Attempt, nil)
	if err != nil {
		return
	}
	if response, err := d.client.Do(request); err == nil {
		_ = response.Body.Close()
	}
}

// nonStreamResult returns the result of a response whose status is not 200 OK.
func (d *Dispatcher) nonStreamResult(ctx context.Context, a *attempt, response *http.Response) Result {
	switch {
	case response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests:
		return Result{Progress: retrier.Sent, Failure: retrier.Busy}
	case response.StatusCode == http.StatusGone:
		return Result{Progress: retrier.Sent, Failure: retrier.AttemptNotFound}
	case response.StatusCode >= http.StatusInternalServerError:
		return Result{Progress: retrier.Sent, Failure: retrier.ServerError}
	}
	return d.readResponse(ctx, a, response)
}

// streamReader reads the event stream of one attempt.
type streamReader struct {
	dispatch action.Dispatch
	kind     completer.Kind
	writer   ChunkWriter

	lastEvent          int64 // lastEvent is the number of the last event received.
	delivered          bool  // delivered reports whether a chunk has been passed to the writer.
	finishReasonSeen   bool  // finishReasonSeen reports whether a chunk had a finish reason.
	complete           bool
	malformed          bool
	callerDisconnected bool
}

// read reads the stream to its end. The attempt times out if the engine sends nothing for the
// idle timeout; the time in which the caller takes no chunk does not count.
func (s *streamReader) read(body io.Reader, a *attempt, idleTimeout time.Duration) error {
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return err
		}
		a.stopTimeout()
		if !s.handleEvent(event) {
			return nil
		}
		a.resetTimeout(idleTimeout)
	}
	return nil
}

// handleEvent handles one event. It reports whether to continue reading.
func (s *streamReader) handleEvent(event sse.Event) bool {
	if !s.isNextEvent(event.LastEventID) {
		s.malformed = true
		return false
	}
	if event.Data == completer.DoneData {
		s.complete = s.finishReasonSeen
		s.malformed = !s.finishReasonSeen
		return false
	}
	chunk, err := completer.DecodeChunk(s.kind, event.Data)
	if err != nil || s.finishReasonSeen {
		s.malformed = true
		return false
	}
	s.finishReasonSeen = chunk.FinishReason != ""
	s.delivered = true
	if s.writer.WriteChunk(chunk, s.lastEvent) != nil {
		s.callerDisconnected = true
		return false
	}
	return true
}

// isNextEvent reports whether the identifier is that of the attempt's next event, in the
// form ATTEMPT:NUMBER with consecutive numbers, and advances lastEvent.
func (s *streamReader) isNextEvent(id string) bool {
	attempt, number, ok := strings.Cut(id, ":")
	if !ok || attempt != s.dispatch.Attempt {
		return false
	}
	s.lastEvent++
	return number == strconv.FormatInt(s.lastEvent, 10)
}

func (s *streamReader) result(ctx context.Context, a *attempt, err error) Result {
	progress := retrier.Sent
	if s.delivered {
		progress = retrier.Streaming
	}
	switch {
	case s.complete:
		return Result{Status: http.StatusOK, LastEventNumber: s.lastEvent}
	case s.callerDisconnected:
		return Result{Cancelled: true}
	case s.malformed:
		return Result{Progress: progress, Failure: retrier.Malformed}
	default:
		failure := a.failure(ctx, progress, err)
		failure.LastEventNumber = s.lastEvent
		return failure
	}
}
