package dispatcher

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/retrier"
)

// passedFields are the caller's header fields that a service sees. Everything
// else, the caller's key above all, stays here.
var passedFields = []string{"Content-Type", "Accept", "Accept-Language"}

// Call is a caller's request to a plain service.
type Call struct {
	Method string
	// Target is the path below the service, with the query.
	Target string
	Header http.Header
	Body   []byte
}

// Exchange sends the call to a service and reads the whole answer.
func (d *Dispatcher) Exchange(ctx context.Context, dispatch action.Dispatch, call Call) Result {
	a := begin(ctx, dispatch.FirstTokenTimeout.Duration())
	defer a.end()
	request, err := http.NewRequestWithContext(a.ctx, call.Method, "http://"+dispatch.Address+call.Target, bytes.NewReader(call.Body))
	if err != nil {
		return Result{Reach: retrier.NotSent, Failure: retrier.DialRefused}
	}
	request.Header = serviceHeader(dispatch, call.Header)
	response, err := d.clientFor(dispatch).Do(request)
	if err != nil {
		return a.failed(ctx, retrier.Sent, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, d.answerBytes+1))
	if err != nil {
		return a.failed(ctx, retrier.Sent, err)
	}
	if int64(len(body)) > d.answerBytes {
		return Result{Reach: retrier.Sent, Failure: retrier.Malformed}
	}
	return Result{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body}
}

// clientFor returns the client for the attempt: the HTTP library may send a
// request again on a kept connection, which a call that may not be repeated
// must not meet.
func (d *Dispatcher) clientFor(dispatch action.Dispatch) *http.Client {
	if dispatch.IdempotencyKey != "" {
		return d.fresh
	}
	return d.reusing
}

func serviceHeader(dispatch action.Dispatch, caller http.Header) http.Header {
	header := http.Header{}
	for _, name := range passedFields {
		if value := caller.Get(name); value != "" {
			header.Set(name, value)
		}
	}
	header.Set("User-Agent", "hyssopdoor")
	header.Set(RequestField, dispatch.Request)
	header.Set(AttemptField, dispatch.Attempt)
	if dispatch.IdempotencyKey != "" {
		header.Set(OperationField, dispatch.IdempotencyKey)
	}
	return header
}
