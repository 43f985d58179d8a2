// Package dispatcher sends requests to backend servers over HTTP and tells how
// each attempt ended. It never tries anything again by itself.
//
// # Usage
//
//	send := dispatcher.New(timeouts, answerBytes)
//	result := send.Stream(ctx, attempt, request, sink)
//	result := send.Exchange(ctx, attempt, call)
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

// Names of header fields that the router sets itself.
const (
	RequestField   = "X-Request-Id"
	AttemptField   = "X-Attempt-Id"
	OperationField = "X-Operation-Id"
)

// Dispatcher sends requests. It is safe for concurrent use.
type Dispatcher struct {
	timeouts    settings.Timeouts
	answerBytes int64
	// reusing keeps connections; fresh makes a new one for each request, so that
	// the HTTP library never sends a request twice by itself.
	reusing *http.Client
	fresh   *http.Client
}

// New returns a Dispatcher with the timeouts, and the longest answer in bytes.
func New(timeouts settings.Timeouts, answerBytes int64) *Dispatcher {
	return &Dispatcher{
		timeouts:    timeouts,
		answerBytes: answerBytes,
		reusing:     newClient(timeouts, false),
		fresh:       newClient(timeouts, true),
	}
}

func newClient(timeouts settings.Timeouts, fresh bool) *http.Client {
	dialer := &net.Dialer{Timeout: timeouts.Connect.Duration()}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		DisableKeepAlives:   fresh,
		DisableCompression:  true,
		MaxIdleConnsPerHost: 32,
		IdleConnTimeout:     30 * time.Second,
	}
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close ends the idle connections.
func (d *Dispatcher) Close() {
	d.reusing.CloseIdleConnections()
}

// Result is how an attempt ended.
type Result struct {
	// Failure is 0 when the answer is whole.
	Failure retrier.Failure
	Reach   retrier.Progress
	// Gone tells that the attempt was given up by its own side.
	Gone bool

	// LastEvent is the number of the last event of the attempt that came.
	LastEvent int64

	Status      int
	ContentType string
	Body        []byte
}

// Answered reports whether the answer is whole.
func (r Result) Answered() bool {
	return r.Failure == 0 && !r.Gone
}

// attempt is one HTTP exchange under way.
type attempt struct {
	ctx       context.Context
	cancel    context.CancelFunc
	connected atomic.Bool
	timedOut  atomic.Bool
	timer     *time.Timer
}

// begin returns an attempt that is cancelled when nothing comes for the wait.
func begin(ctx context.Context, wait time.Duration) *attempt {
	a := &attempt{}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { a.connected.Store(true) }}
	a.ctx, a.cancel = context.WithCancel(httptrace.WithClientTrace(ctx, trace))
	a.timer = time.AfterFunc(wait, func() {
		a.timedOut.Store(true)
		a.cancel()
	})
	return a
}

// wait starts the wait anew.
func (a *attempt) wait(span time.Duration) {
	a.timer.Reset(span)
}

func (a *attempt) end() {
	a.timer.Stop()
	a.cancel()
}

// failed returns the result of an exchange that ended with an error.
func (a *attempt) failed(ctx context.Context, reach retrier.Progress, err error) Result {
	if ctx.Err() != nil {
		return Result{Gone: true}
	}
	if !a.connected.Load() && errors.Is(err, syscall.ECONNREFUSED) {
		return Result{Reach: retrier.NotSent, Failure: retrier.DialRefused}
	}
	if !a.connected.Load() {
		return Result{Reach: retrier.NotSent, Failure: retrier.Unreachable}
	}
	failure := retrier.ConnectionLost
	var timeout net.Error
	if a.timedOut.Load() || (errors.As(err, &timeout) && timeout.Timeout()) {
		failure = retrier.Timeout
	}
	return Result{Reach: reach, Failure: failure}
}
