package edge

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/streamchecker"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/bootclock"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/httpclient"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/reserver"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// attemptGrace is added to an attempt's timeout. The state machine and the server end
	// the attempt before that; the context is only a safeguard.
	attemptGrace = 500 * time.Millisecond
	// maxResponseBytes limits the body of a response that is buffered, and smallResponseBytes is the part
	// of each body that needs no reservation.
	maxResponseBytes   = 8 << 20
	smallResponseBytes = 64 << 10
	// progressInterval is the shortest time between two reports of a stream's progress.
	progressInterval = 200 * time.Millisecond
)

// openStream is a stream whose events have not been read to their end.
type openStream struct {
	// result is the event for the state machine, without its outcome.
	result       forwarder.AttemptEnded
	head         ResponseHead
	events       *eventReader
	exchange     *httpclient.Exchange
	silenceLimit clock.Millis
	// framed reports whether the response has a length or chunks; else its end and a crash of the
	// server look alike.
	framed bool
	ctx    context.Context    // ctx is the attempt's context.
	cancel context.CancelFunc // cancel releases the attempt's context; nil for none.
	// checker checks the next event.
	checker streamchecker.Checker
	// first is the first event of an alternative, or firstErr the end of its stream, if
	// hasFirst is set. started reports whether StreamStarted was submitted.
	first    []byte
	firstErr error
	hasFirst bool
	started  bool
}

func (s *openStream) close() {
	s.exchange.Close()
	s.events.account.Release()
	if s.cancel != nil {
		s.cancel()
	}
}

// next returns the next event, as eventReader.next does. The first one comes with the events before it that
// clients ignore: they don't show that the server has begun. unproven is the number of attempts before
// whose end did not show that the stream is complete.
func (s *openStream) next(unproven int) ([]byte, error) {
	if s.hasFirst {
		s.hasFirst = false
		return s.first, s.firstErr
	}
	s.events.release()
	var ignored []byte
	for {
		s.events.kept = len(ignored)
		event, err := s.nextChecked(unproven)
		switch {
		case err == nil && s.checker.Began():
			return append(ignored, event...), nil
		case err == io.EOF && len(event) == 0 && len(ignored) > 0:
			return ignored, nil
		case err != nil:
			return event, err
		}
		ignored = append(ignored, event...)
	}
}

// nextChecked returns the next event once it is checked.
func (s *openStream) nextChecked(unproven int) ([]byte, error) {
	event, err := s.events.next()
	switch {
	case err == nil:
		s.checker, err = s.checker.Check(event)
	case err == io.EOF && len(event) == 0:
		if endErr := s.checker.CheckEnd(s.framed, s.head.Header.Get("Content-Type"), unproven); endErr != nil {
			return nil, endErr
		}
	}
	return event, err
}

// outcomeOfStreamError distinguishes a response that is not the stream from one that was cut off.
func (h *requestHandler) outcomeOfStreamError(err error) forwarder.Outcome {
	if errors.Is(err, streamchecker.ErrUnproven) {
		h.unproven.Add(1)
	}
	var reason streamchecker.Reason
	if errors.As(err, &reason) || isTooLong(err) {
		return forwarder.OutcomeCorrupted
	}
	return forwarder.OutcomeInterrupted
}

// isTooLong reports whether a server has sent more than there is memory for.
func isTooLong(err error) bool {
	return errors.Is(err, reserver.ErrFull) || errors.Is(err, reserver.ErrTooLong)
}

// attempt sends the request to a server and reads the response. It returns the event for
// the state machine, or a stream whose head has been read.
func (h *requestHandler) attempt(ctx context.Context, c *cancellation, dispatch forwarder.Dispatch) (forwarder.AttemptEnded, *openStream) {
	result := forwarder.AttemptEnded{Request: h.request.ID, Attempt: dispatch.Attempt}
	request := h.edge.platform.EncodeRequest(h.inbound, dispatch)
	if request.Tunnel = tunnelOf(dispatch.Via, dispatch.Server, dispatch.StartedAt); request.Tunnel != nil {
		request.Tunnel.Timeout, request.Tunnel.Limited, request.Tunnel.RequestID = dispatch.Timeout, dispatch.Limited, h.callerRequestID
	}
	request.Allowed = before(dispatch.SendBefore)
	request.Closed = func() { h.edge.closed(c) }
	account, kept := h.edge.responses.Account(dispatch.Server), false
	defer func() {
		if !kept {
			account.Release()
		}
	}()
	exchange, err := httpclient.Send(httpclient.WithAccount(ctx, account), dispatch.Address, request)
	if errors.Is(err, httpclient.ErrExpired) {
		return withOutcome(result, forwarder.OutcomeExpired, err), nil
	}
	var notSent *httpclient.NotSentError
	if errors.As(err, &notSent) {
		result.ConnectionRefused, result.Verdict, result.Referral = notSent.ConnectionRefused, notSent.Verdict, notSent.Referral
		return withOutcome(result, forwarder.OutcomeNotSent, err), nil
	}
	if err != nil {
		return withOutcome(result, forwarder.OutcomeInterrupted, err), nil
	}
	response, err := exchange.ReadResponse()
	if err != nil {
		exchange.Close()
		return withOutcome(result, outcomeOfReadError(err), err), nil
	}
	head := h.edge.platform.DecodeResponse(response, h.callerRequestID)
	h.edge.notify(dispatch.Server, dispatch.StartedAt)(head.notice(dispatch.Limited, dispatch.Brittle))
	result.Status = response.StatusCode
	if head.MatchesRequest {
		// An earlier response may be from before the server had loaded other weights.
		result.WeightsVersion = head.WeightsVersion
	}
	hasEvents := dispatch.Stream && h.inbound.Method != http.MethodHead
	if hasEvents && response.StatusCode == http.StatusOK && isUsable(head, response) {
		kept = true
		events := newEventReader(response.Body, account)
		framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
		stream := &openStream{ctx: ctx, result: result, head: head, events: events, exchange: exchange, silenceLimit: dispatch.SilenceLimit, framed: framed, checker: streamchecker.New("")}
		if dispatch.Resumable {
			stream.checker = streamchecker.New(dispatch.LastEventID)
		}
		return result, stream
	}
	defer exchange.Close()
	switch {
	case !head.MatchesRequest:
		// A refusal that names another request is one of an earlier request, which the server has
		// sent late or twice. It may run this one.
		return withOutcome(result, forwarder.OutcomeCorrupted, errors.Errorf("the response names %s", head.namedRequest())), nil
	case head.Misdirected:
		return withOutcome(result, forwarder.OutcomeMisdirected, nil), nil
	case head.Declined:
		return withOutcome(result, forwarder.OutcomeDeclined, nil), nil
	case !isUsable(head, response):
		return withOutcome(result, forwarder.OutcomeCorrupted, nil), nil
	case promisesNotRun(response.StatusCode):
		// The server did not confirm what the status would tell the caller.
		return withOutcome(result, forwarder.OutcomeInterrupted, errors.New("the server refuses the request but did not confirm that it has not executed it")), nil
	default:
		result = h.bufferResponse(result, head, response, account)
		kept = result.Outcome == forwarder.OutcomeCompleted
		return result, nil
	}
}

// before returns a function that reports whether a time has not come yet, by the clock that also
// counts while the host is suspended.
func before(limit clock.Millis) func() bool {
	return func() bool { return bootclock.Now() < limit }
}

// promisesNotRun reports whether callers take the status as a promise that the request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// isUsable reports whether the response belongs to the request and was executed by the
// server.
func isUsable(head ResponseHead, response *http.Response) bool {
	return !head.Misdirected && !head.Declined && head.MatchesRequest && (response.StatusCode >= http.StatusMultipleChoices || head.Signed)
}

// outcomeOfReadError distinguishes an invalid response from a broken connection.
func outcomeOfReadError(err error) forwarder.Outcome {
	if errors.Is(err, httpclient.ErrHeadTooLong) || isTooLong(err) || strings.Contains(err.Error(), "malformed") {
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
func (h *requestHandler) bufferResponse(result forwarder.AttemptEnded, head ResponseHead, response *http.Response, account *reserver.Account) forwarder.AttemptEnded {
	body, err := account.ReadAll(response.Body, smallResponseBytes, maxResponseBytes)
	switch {
	case isTooLong(err):
		return withOutcome(result, forwarder.OutcomeCorrupted, err)
	case err != nil:
		return withOutcome(result, forwarder.OutcomeInterrupted, err)
	}
	h.keep(result.Attempt, &bufferedResponse{status: response.StatusCode, header: head.Header, body: body, account: account})
	return withOutcome(result, forwarder.OutcomeCompleted, nil)
}

// stream forwards each event to the caller as soon as it is complete.
func (h *requestHandler) stream(stream *openStream) forwarder.AttemptEnded {
	result := stream.result
	silence := newSilenceTimer(stream.silenceLimit.Duration(), func() {
		h.edge.machine.submit(forwarder.StreamSilent{Request: result.Request, Attempt: result.Attempt})
	})
	defer silence.stop()
	progress := time.Now()
	for {
		event, err := stream.next(int(h.unproven.Load()))
		silence.pause()
		ended := err == io.EOF && len(event) == 0
		result.Delivered, result.LastEventID = h.streamStarted, h.lastEventID
		unplaced := stream.checker.Unplaced() && !h.unplaced
		var before forwardedPart
		if !stream.started {
			before = h.forwarded()
		}
		switch {
		case err != nil && !ended:
			return withOutcome(result, h.outcomeOfStreamError(err), err)
		case !h.claim(stream.ctx, result.Attempt, stream.checker.LastID(), unplaced):
			return withOutcome(result, forwarder.OutcomeSuperseded, nil)
		case ended:
			h.writeStreamHead(result.Status, stream.head)
			return withOutcome(result, forwarder.OutcomeCompleted, nil)
		}
		result.Events++
		if !stream.started {
			stream.started = true
			if !h.edge.machine.begin(forwarder.StreamStarted{Request: result.Request, Attempt: result.Attempt, WeightsVersion: result.WeightsVersion}) {
				h.giveBack(result.Attempt, before)
				return withOutcome(result, forwarder.OutcomeSuperseded, nil)
			}
		} else if h.edge.draining.Load() && time.Since(progress) >= progressInterval {
			progress = time.Now()
			h.edge.machine.submit(forwarder.StreamProgressed{Request: result.Request, Attempt: result.Attempt, Events: result.Events})
		}
		if result.Events == 1 && h.edge.machine.hasEnded(result.Request) {
			// The state machine has refused the request instead of beginning the stream.
			return withOutcome(result, forwarder.OutcomeSuperseded, nil)
		}
		if unplaced {
			h.edge.machine.submit(forwarder.StreamUnplaced{Request: result.Request, Attempt: result.Attempt})
		}
		h.writeStreamHead(result.Status, stream.head)
		if !h.response.WriteChunk(event) {
			result.Delivered = true
			return withOutcome(result, forwarder.OutcomeUndeliverable, errors.New("writing to the caller failed"))
		}
		silence.start()
	}
}

// writeStreamHead writes the head of the response, unless an earlier attempt has written one.
func (h *requestHandler) writeStreamHead(status int, head ResponseHead) {
	if !h.streamStarted {
		h.streamStarted = true
		h.response.WriteHead(status, head.Header)
	}
}
