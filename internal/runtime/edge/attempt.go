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
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/httpclient"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// attemptGrace is added to an attempt's timeout. The state machine and the server end
	// the attempt before that; the context is only a safeguard.
	attemptGrace = 500 * time.Millisecond
	// maxResponseBytes limits the body of a response that is buffered.
	maxResponseBytes = 8 << 20
	// maxEventBytes limits one event of a stream. eventBufferBytes is the size of the read
	// buffer; a typical event fits.
	maxEventBytes    = 1 << 20
	eventBufferBytes = 2 << 10
)

// attempt sends the request to a server and reads the response. It returns the event for
// the state machine.
func (h *requestHandler) attempt(ctx context.Context, dispatch forwarder.Dispatch) forwarder.AttemptEnded {
	result := forwarder.AttemptEnded{Request: h.request.ID, Attempt: dispatch.Attempt}
	exchange, err := httpclient.Send(ctx, dispatch.Address, h.edge.platform.EncodeRequest(h.inbound, dispatch))
	var notSent *httpclient.NotSentError
	if errors.As(err, &notSent) {
		return withOutcome(result, forwarder.OutcomeNotSent, err)
	}
	if err != nil {
		return withOutcome(result, forwarder.OutcomeInterrupted, err)
	}
	defer exchange.Close()
	response, err := exchange.ReadResponse()
	if err != nil {
		return withOutcome(result, outcomeOfReadError(err), err)
	}
	head := h.edge.platform.DecodeResponse(response, h.callerRequestID)
	result.Status = response.StatusCode
	result.WeightsVersion = head.WeightsVersion
	switch {
	case head.Misdirected:
		return withOutcome(result, forwarder.OutcomeMisdirected, nil)
	case head.Declined:
		return withOutcome(result, forwarder.OutcomeDeclined, nil)
	case !head.MatchesRequest, response.StatusCode < http.StatusMultipleChoices && !head.Signed:
		return withOutcome(result, forwarder.OutcomeCorrupted, nil)
	case response.StatusCode == http.StatusServiceUnavailable, response.StatusCode == http.StatusTooManyRequests:
		// The status would tell the caller that the request was not executed, which the
		// server did not confirm.
		return withOutcome(result, forwarder.OutcomeInterrupted, errors.New("the server is busy but did not confirm that it has not executed the request"))
	case dispatch.Stream && response.StatusCode == http.StatusOK:
		return h.stream(result, head, &eventReader{reader: bufio.NewReaderSize(response.Body, eventBufferBytes), exchange: exchange, idleTimeout: dispatch.IdleTimeout}, response.StatusCode)
	default:
		return h.bufferResponse(result, head, response)
	}
}

// outcomeOfReadError distinguishes an invalid response from a broken connection.
func outcomeOfReadError(err error) forwarder.Outcome {
	if strings.Contains(err.Error(), "malformed") {
		return forwarder.OutcomeCorrupted
	}
	return forwarder.OutcomeInterrupted
}

func withOutcome(result forwarder.AttemptEnded, outcome forwarder.Outcome, err error) forwarder.AttemptEnded {
	result.Outcome = outcome
	if err != nil {
		result.Detail = err.Error()
	}
	return result
}

// bufferResponse reads the complete response.
func (h *requestHandler) bufferResponse(result forwarder.AttemptEnded, head ResponseHead, response *http.Response) forwarder.AttemptEnded {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return withOutcome(result, forwarder.OutcomeInterrupted, err)
	}
	if len(body) > maxResponseBytes {
		return withOutcome(result, forwarder.OutcomeCorrupted, errors.Errorf("the response body is longer than %d bytes", maxResponseBytes))
	}
	h.buffered = &bufferedResponse{status: response.StatusCode, header: head.Header, body: body}
	return withOutcome(result, forwarder.OutcomeCompleted, nil)
}

// stream forwards each event to the caller as soon as it is complete.
func (h *requestHandler) stream(result forwarder.AttemptEnded, head ResponseHead, events *eventReader, status int) forwarder.AttemptEnded {
	for {
		event, err := events.next()
		result.LastEventID = h.lastEventID
		result.Delivered = h.streamStarted
		switch {
		case err == io.EOF && len(event) == 0:
			return withOutcome(result, forwarder.OutcomeCompleted, nil)
		case err != nil:
			return withOutcome(result, forwarder.OutcomeInterrupted, err)
		}
		first := !h.streamStarted
		if first {
			h.streamStarted = true
			h.response.WriteHead(status, head.Header)
		}
		if !h.response.WriteChunk(event) {
			// The caller has disconnected; Handle submits that event.
			result.Delivered = true
			return withOutcome(result, forwarder.OutcomeInterrupted, errors.New("writing to the caller failed"))
		}
		if id, ok := eventID(event); ok {
			h.lastEventID = id
		}
		if first {
			h.edge.machine.submit(forwarder.StreamStarted{Request: result.Request, Attempt: result.Attempt})
		}
	}
}

// eventReader reads the events of a stream.
type eventReader struct {
	reader      *bufio.Reader
	exchange    *httpclient.Exchange
	idleTimeout clock.Millis // idleTimeout limits the time between two events; 0 means no limit.
	started     bool
}

// next reads one event including the empty line that ends it. At the end of the stream
// it returns io.EOF, together with the bytes of an incomplete event if there are any.
func (r *eventReader) next() ([]byte, error) {
	if r.started && r.idleTimeout > 0 {
		if err := r.exchange.SetReadDeadline(time.Now().Add(r.idleTimeout.Duration())); err != nil {
			return nil, err
		}
	}
	r.started = true
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
			return event, errors.Errorf("the event is longer than %d bytes", maxEventBytes)
		}
	}
}

// eventID returns the identifier of an event, if it has one.
func eventID(event []byte) (string, bool) {
	for _, line := range bytes.Split(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}
