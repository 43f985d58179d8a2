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

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// Sink takes the chunks of a stream in order. An error means that the caller
// has gone.
type Sink interface {
	// Pass takes a chunk, and the number of its event in the attempt.
	Pass(chunk completer.Chunk, event int64) error
}

// Stream sends a completion request to an engine and passes its chunks on. The
// answer is whole only when the engine said so and no chunk is missing.
func (d *Dispatcher) Stream(ctx context.Context, dispatch action.Dispatch, kind completer.Kind, body []byte, sink Sink) Result {
	a := begin(ctx, dispatch.FirstTokenTimeout.Duration())
	defer a.end()
	request, err := http.NewRequestWithContext(a.ctx, http.MethodPost, "http://"+dispatch.Address+kind.Path(), bytes.NewReader(body))
	if err != nil {
		return Result{Reach: retrier.NotSent, Failure: retrier.DialRefused}
	}
	request.Header = engineHeader(dispatch)
	response, err := d.reusing.Do(request)
	if err != nil {
		result := a.failed(ctx, retrier.Sent, err)
		if result.Gone {
			d.cancel(ctx, dispatch)
		}
		return result
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return d.engineRefused(ctx, a, response)
	}
	reading := &streamReading{dispatch: dispatch, kind: kind, sink: sink, next: max(dispatch.ResumeAfter, 0)}
	err = reading.run(response.Body, func() { a.wait(d.timeouts.Idle.Duration()) })
	result := reading.result(ctx, a, err)
	if result.Gone || result.Failure == retrier.Malformed {
		d.cancel(ctx, dispatch)
	}
	return result
}

func engineHeader(dispatch action.Dispatch) http.Header {
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	header.Set("Accept", "text/event-stream")
	header.Set("User-Agent", "hyssopdoor")
	header.Set(RequestField, dispatch.Request)
	header.Set(AttemptField, dispatch.Attempt)
	if dispatch.ResumeAfter >= 0 {
		header.Set("Last-Event-ID", dispatch.Attempt+":"+strconv.FormatInt(dispatch.ResumeAfter, 10))
	}
	return header
}

// cancelTimeout bounds the cancelling of an attempt.
const cancelTimeout = 2 * time.Second

// cancel tells the engine to end a stream that nobody wants any more. An engine
// keeps a stream whose connection just broke.
func (d *Dispatcher) cancel(ctx context.Context, dispatch action.Dispatch) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+dispatch.Address+"/v1/attempts/"+dispatch.Attempt, nil)
	if err != nil {
		return
	}
	if response, err := d.reusing.Do(request); err == nil {
		_ = response.Body.Close()
	}
}

// engineRefused returns the result of an answer that is no stream.
func (d *Dispatcher) engineRefused(ctx context.Context, a *attempt, response *http.Response) Result {
	switch {
	case response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests:
		return Result{Reach: retrier.Sent, Failure: retrier.Busy}
	case response.StatusCode == http.StatusGone:
		return Result{Reach: retrier.Sent, Failure: retrier.AttemptNotFound}
	case response.StatusCode >= http.StatusInternalServerError:
		return Result{Reach: retrier.Sent, Failure: retrier.ServerError}
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, d.answerBytes))
	if err != nil {
		return a.failed(ctx, retrier.Sent, err)
	}
	return Result{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body}
}

// streamReading is a stream while it is read.
type streamReading struct {
	dispatch action.Dispatch
	kind     completer.Kind
	sink     Sink

	next      int64 // next is the number of the last event that came.
	passed    bool
	finished  bool // finished tells that a chunk had a reason to finish.
	whole     bool
	malformed bool
	gone      bool
}

// run reads the stream to its end; each event starts the wait anew.
func (s *streamReading) run(body io.Reader, alive func()) error {
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return err
		}
		alive()
		if !s.take(event) {
			return nil
		}
	}
	return nil
}

// take takes one event. It reports whether to read on.
func (s *streamReading) take(event sse.Event) bool {
	if !s.inOrder(event.LastEventID) {
		s.malformed = true
		return false
	}
	if event.Data == completer.DoneData {
		s.whole = s.finished
		s.malformed = !s.finished
		return false
	}
	chunk, err := completer.DecodeChunk(s.kind, event.Data)
	if err != nil || s.finished {
		s.malformed = true
		return false
	}
	s.finished = chunk.FinishReason != ""
	s.passed = true
	if s.sink.Pass(chunk, s.next) != nil {
		s.gone = true
		return false
	}
	return true
}

// inOrder reports whether the event is the next one of this attempt: its
// identifier is the attempt's, a colon, and a number that counts up by one.
func (s *streamReading) inOrder(id string) bool {
	attempt, number, ok := strings.Cut(id, ":")
	if !ok || attempt != s.dispatch.Attempt {
		return false
	}
	s.next++
	return number == strconv.FormatInt(s.next, 10)
}

func (s *streamReading) result(ctx context.Context, a *attempt, err error) Result {
	reach := retrier.Sent
	if s.passed {
		reach = retrier.Streaming
	}
	switch {
	case s.whole:
		return Result{Status: http.StatusOK, LastEvent: s.next}
	case s.gone:
		return Result{Gone: true}
	case s.malformed:
		return Result{Reach: reach, Failure: retrier.Malformed}
	default:
		failed := a.failed(ctx, reach, err)
		failed.LastEvent = s.next
		return failed
	}
}
