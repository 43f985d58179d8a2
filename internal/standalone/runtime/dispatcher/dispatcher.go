// Package dispatcher sends requests to backend servers over HTTP and returns the
// outcome of each attempt. It never retries.
//
// # Usage
//
//	d := dispatcher.New(timeouts, maxResponseBytes)
//	result := d.Stream(ctx, dispatch, kind, body, writer)
//	result := d.Exchange(ctx, dispatch, call)
package dispatcher

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/retrier"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/settings"
)

// Names of header fields that this system sets itself.
const (
	RequestIDHeader = "X-Request-Id"
	AttemptIDHeader = "X-Attempt-Id"
	// OperationIDHeader carries action.Dispatch.OperationID.
	OperationIDHeader = "X-Operation-Id"
)

// Dispatcher sends requests to backend servers. It is safe for concurrent use.
type Dispatcher struct {
	timeouts         settings.Timeouts
	maxResponseBytes int64
	client           *http.Client
}

// New returns a Dispatcher with the timeouts and the maximum size of a response body.
func New(timeouts settings.Timeouts, maxResponseBytes int64) *Dispatcher {
	return &Dispatcher{
		timeouts:         timeouts,
		maxResponseBytes: maxResponseBytes,
		client:           newClient(timeouts),
	}
}

// newClient returns a client that opens a connection for each request. On a reused connection,
// bytes that arrive late would be taken for the next response, and the HTTP library may resend a
// request by itself.
func newClient(timeouts settings.Timeouts) *http.Client {
	dialer := &net.Dialer{Timeout: timeouts.Connect.Duration()}
	transport := &http.Transport{
		DialContext:        dialer.DialContext,
		DisableKeepAlives:  true,
		DisableCompression: true,
	}
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Result is the outcome of an attempt.
type Result struct {
	// Failure is 0 if the response is complete or the attempt was cancelled.
	Failure  retrier.Failure
	Progress retrier.Progress
	// Cancelled reports whether the attempt was cancelled on this side: by its context,
	// or because the caller disconnected.
	Cancelled bool

	// LastEventNumber is the number of the last event received from the attempt's stream.
	LastEventNumber int64

	Status      int
	ContentType string
	Body        []byte
}

// Complete reports whether the response was received completely.
func (r Result) Complete() bool {
	return r.Failure == 0 && !r.Cancelled
}

// attempt is one HTTP exchange in progress.
type attempt struct {
	ctx       context.Context
	cancel    context.CancelFunc
	connected atomic.Bool
	timedOut  atomic.Bool
	timer     *time.Timer
}

// startAttempt returns an attempt that is cancelled after the timeout, unless
// resetTimeout extends it.
func startAttempt(ctx context.Context, timeout time.Duration) *attempt {
	a := &attempt{}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { a.connected.Store(true) }}
	a.ctx, a.cancel = context.WithCancel(httptrace.WithClientTrace(ctx, trace))
	a.timer = time.AfterFunc(timeout, func() {
		a.timedOut.Store(true)
		a.cancel()
	})
	return a
}

// resetTimeout makes the attempt time out after the timeout from now.
func (a *attempt) resetTimeout(timeout time.Duration) {
	a.timer.Reset(timeout)
}

// stopTimeout keeps the attempt from timing out until resetTimeout.
func (a *attempt) stopTimeout() {
	a.timer.Stop()
}

func (a *attempt) close() {
	a.timer.Stop()
	a.cancel()
}

// failure returns the result of an exchange that ended with an error.
func (a *attempt) failure(ctx context.Context, progress retrier.Progress, err error) Result {
	if ctx.Err() != nil {
		return Result{Cancelled: true}
	}
	if !a.connected.Load() && errors.Is(err, syscall.ECONNREFUSED) {
		return Result{Progress: retrier.NotSent, Failure: retrier.DialRefused}
	}
	if !a.connected.Load() {
		return Result{Progress: retrier.NotSent, Failure: retrier.Unreachable}
	}
	failure := retrier.ConnectionLost
	var netError net.Error
	if a.timedOut.Load() || (errors.As(err, &netError) && netError.Timeout()) {
		failure = retrier.Timeout
	}
	return Result{Progress: progress, Failure: failure}
}
