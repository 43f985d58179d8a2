package edge

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/exchanger"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// dispatchSlack is what an attempt may take beyond its time: the machine ends it
	// before, and the server does too.
	dispatchSlack = 500 * time.Millisecond
	// maxAnswerBytes bounds an answer that is kept whole.
	maxAnswerBytes = 8 << 20
	// maxEventBytes bounds one event of a stream, eventBuffer holds a usual one.
	maxEventBytes = 1 << 20
	eventBuffer   = 2 << 10
)

// attempt sends the request to a server and takes in the answer.
func (h *handling) attempt(ctx context.Context, dispatch forwarder.Dispatch) forwarder.Ended {
	ended := forwarder.Ended{Request: h.request.ID, Attempt: dispatch.Attempt}
	exchange, err := exchanger.Begin(ctx, dispatch.Address, h.edge.platform.EncodeRequest(h.inbound, dispatch))
	var unsent *exchanger.UnsentError
	if errors.As(err, &unsent) {
		return withOutcome(ended, forwarder.Unsent, err)
	}
	if err != nil {
		return withOutcome(ended, forwarder.Cut, err)
	}
	defer exchange.Close()
	response, err := exchange.Answer()
	if err != nil {
		return withOutcome(ended, outcomeOf(err), err)
	}
	reply := h.edge.platform.DecodeResponse(response, h.named)
	ended.Status = response.StatusCode
	ended.Weights = reply.Weights
	switch {
	case reply.Misdirected:
		return withOutcome(ended, forwarder.Misaddressed, nil)
	case reply.Declined:
		return withOutcome(ended, forwarder.Declined, nil)
	case !reply.MatchesRequest, response.StatusCode < http.StatusMultipleChoices && !reply.Signed:
		return withOutcome(ended, forwarder.Spoilt, nil)
	case response.StatusCode == http.StatusServiceUnavailable, response.StatusCode == http.StatusTooManyRequests:
		// Without the server's word that it has not run the request, the status would
		// promise the caller what nobody knows.
		return withOutcome(ended, forwarder.Cut, errors.New("the server is busy and does not say that it has not run the request"))
	case dispatch.Stream && response.StatusCode == http.StatusOK:
		return h.stream(ended, reply, &eventReader{reader: bufio.NewReaderSize(response.Body, eventBuffer), exchange: exchange, gap: dispatch.Gap}, response.StatusCode)
	default:
		return h.keep(ended, reply, response)
	}
}

// outcomeOf tells a broken connection from bytes that are no answer.
func outcomeOf(err error) forwarder.Outcome {
	if strings.Contains(err.Error(), "malformed") {
		return forwarder.Spoilt
	}
	return forwarder.Cut
}

func withOutcome(ended forwarder.Ended, outcome forwarder.Outcome, err error) forwarder.Ended {
	ended.Outcome = outcome
	if err != nil {
		ended.Detail = err.Error()
	}
	return ended
}

// keep reads a whole answer.
func (h *handling) keep(ended forwarder.Ended, reply ResponseHead, response *http.Response) forwarder.Ended {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return withOutcome(ended, forwarder.Cut, err)
	}
	if len(body) > maxAnswerBytes {
		return withOutcome(ended, forwarder.Spoilt, errors.New("the answer is too long to be kept"))
	}
	h.kept = &keptAnswer{status: response.StatusCode, header: reply.Header, body: body}
	return withOutcome(ended, forwarder.Answered, nil)
}

// stream passes events on as they come, each whole.
func (h *handling) stream(ended forwarder.Ended, reply ResponseHead, events *eventReader, status int) forwarder.Ended {
	for {
		event, err := events.next()
		ended.LastEvent = h.lastEvent
		ended.Passed = h.streaming
		switch {
		case err == io.EOF && len(event) == 0:
			return withOutcome(ended, forwarder.Answered, nil)
		case err != nil:
			return withOutcome(ended, forwarder.Cut, err)
		}
		first := !h.streaming
		if first {
			h.streaming = true
			h.answer.Begin(status, reply.Header)
		}
		if !h.answer.Piece(event) {
			// The caller has gone; the connection's watch tells the machine.
			ended.Passed = true
			return withOutcome(ended, forwarder.Cut, errors.New("the caller can't be reached"))
		}
		if id, ok := idOf(event); ok {
			h.lastEvent = id
		}
		if first {
			h.edge.machine.submit(forwarder.Answering{Request: ended.Request, Attempt: ended.Attempt})
		}
	}
}

// eventReader reads the events of a stream.
type eventReader struct {
	reader   *bufio.Reader
	exchange *exchanger.Exchange
	gap      clock.Millis // gap is the longest pause between two events; 0 for no bound.
	begun    bool
}

// next reads one event with the empty line at its end. At the stream's end it returns
// io.EOF, with the bytes of a torn event if there are any.
func (r *eventReader) next() ([]byte, error) {
	if r.begun && r.gap > 0 {
		if err := r.exchange.Until(time.Now().Add(r.gap.Duration())); err != nil {
			return nil, err
		}
	}
	r.begun = true
	var event []byte
	for {
		line, err := r.reader.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case err == bufio.ErrBufferFull:
		case err != nil:
			return event, err
		case len(bytes.TrimRight(line, "\r\n")) == 0 && len(line) <= 2:
			return event, nil
		}
		if len(event) > maxEventBytes {
			return event, errors.New("the event is too long")
		}
	}
}

// idOf returns the identifier of an event.
func idOf(event []byte) (string, bool) {
	for _, line := range bytes.Split(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}
