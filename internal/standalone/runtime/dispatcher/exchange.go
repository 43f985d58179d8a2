package dispatcher

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/retrier"
)

// forwardedHeaders are the caller's header fields that are forwarded to a service. All
// others are dropped, above all the one with the caller's key.
var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language"}

// Call is a caller's request to a plain service.
type Call struct {
	Method string
	// Target is the path below the service, with the query.
	Target string
	Header http.Header
	Body   []byte
}

// Exchange sends the call to a service and reads the whole response.
func (d *Dispatcher) Exchange(ctx context.Context, dispatch action.Dispatch, call Call) Result {
	a := startAttempt(ctx, dispatch.FirstTokenTimeout.Duration())
	defer a.close()
	request, err := http.NewRequestWithContext(a.ctx, call.Method, "http://"+dispatch.Address+call.Target, bytes.NewReader(call.Body))
	if err != nil {
		return Result{Progress: retrier.NotSent, Failure: retrier.DialRefused}
	}
	request.Header = serviceHeader(dispatch, call.Header)
	response, err := d.client.Do(request)
	if err != nil {
		return a.failure(ctx, retrier.Sent, err)
	}
	defer response.Body.Close()
	return d.readResponse(ctx, a, response)
}

// readResponse reads the whole response. One that is longer than the limit is a failure.
func (d *Dispatcher) readResponse(ctx context.Context, a *attempt, response *http.Response) Result {
	body, err := io.ReadAll(io.LimitReader(response.Body, d.maxResponseBytes+1))
	if err != nil {
		return a.failure(ctx, retrier.Sent, err)
	}
	if int64(len(body)) > d.maxResponseBytes {
		return Result{Progress: retrier.Sent, Failure: retrier.Malformed}
	}
	return Result{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body}
}

func serviceHeader(dispatch action.Dispatch, callerHeader http.Header) http.Header {
	header := http.Header{}
	for _, name := range forwardedHeaders {
		if value := callerHeader.Get(name); value != "" {
			header.Set(name, value)
		}
	}
	header.Set("User-Agent", "hyssopdoor")
	header.Set(RequestIDHeader, dispatch.Request)
	header.Set(AttemptIDHeader, dispatch.Attempt)
	if dispatch.OperationID != "" {
		header.Set(OperationIDHeader, dispatch.OperationID)
	}
	return header
}
