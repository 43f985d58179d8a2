// Package runner drives the state machine of one instance: it turns what
// happens into events, wakes the machine when a timer is due, and performs the
// actions. It decides nothing.
//
// # Usage
//
//	running := runner.New(machine, performers)
//	running.Submit(event.Started{})
//	defer running.Close()
package runner

import (
	"context"
	"sync"
	"time"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/journal"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/router"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Platform makes calls to the platform.
type Platform interface {
	Call(ctx context.Context, op objectstore.Op) objectstore.Response
}

// Peers sends messages to peers, without waiting.
type Peers interface {
	Send(address string, message *peerv1.Message) bool
}

// Performers are where the actions go.
type Performers struct {
	Platform Platform
	Peers    Peers
	// Log takes log entries. It must not block.
	Log func(journal.Entry)
	// Stopped is called once when the machine has drained.
	Stopped func()
}

// start is the first instant of the machine's clock; 0 is kept for "never".
const start = clock.Second

// Runner drives one machine. It is safe for concurrent use.
type Runner struct {
	performers Performers
	ctx        context.Context
	cancel     context.CancelFunc
	began      time.Time

	mu         sync.Mutex
	machine    *router.Router
	requests   map[string]chan action.Action
	attempts   map[string]context.CancelFunc
	operations map[string]chan action.OperationResult
	timer      *time.Timer
}

// maxActions bounds the actions of one request that wait to be performed.
const maxActions = 16

// New returns a Runner of the machine.
func New(machine *router.Router, performers Performers) *Runner {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Runner{
		performers: performers,
		ctx:        ctx,
		cancel:     cancel,
		began:      time.Now(),
		machine:    machine,
		requests:   map[string]chan action.Action{},
		attempts:   map[string]context.CancelFunc{},
		operations: map[string]chan action.OperationResult{},
	}
	r.timer = time.AfterFunc(time.Hour, func() { r.Submit(event.Tick{}) })
	return r
}

// Close ends the calls under way and the timers.
func (r *Runner) Close() {
	r.cancel()
	r.timer.Stop()
}

// Submit takes in an event and performs what follows.
func (r *Runner) Submit(happened event.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx.Err() != nil {
		return
	}
	for _, next := range r.machine.Step(r.now(), happened) {
		r.perform(next)
	}
	if wake, ok := r.machine.NextWake(); ok {
		r.timer.Reset(max(0, wake.Since(r.now())).Duration())
	}
}

// Open registers a request and returns the channel of its actions.
func (r *Runner) Open(request string) <-chan action.Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	actions := make(chan action.Action, maxActions)
	r.requests[request] = actions
	return actions
}

// Attempt registers how to end the request's current attempt.
func (r *Runner) Attempt(request string, cancel context.CancelFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts[request] = cancel
}

// Done forgets a request.
func (r *Runner) Done(request string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.requests, request)
	delete(r.attempts, request)
}

// Operate submits an operator's event and waits for the result of its
// operation.
func (r *Runner) Operate(ctx context.Context, operation string, asked event.Event) (action.OperationResult, error) {
	results := make(chan action.OperationResult, 1)
	r.mu.Lock()
	r.operations[operation] = results
	r.mu.Unlock()
	r.Submit(asked)
	select {
	case result := <-results:
		return result, nil
	case <-ctx.Done():
		return action.OperationResult{}, ctx.Err()
	}
}

// Ready reports whether the machine can serve and is not stopping.
func (r *Runner) Ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Ready()
}

// View calls read with the machine, which read must not change or keep.
func (r *Runner) View(read func(now clock.Millis, machine *router.Router)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	read(r.now(), r.machine)
}

// now returns the present on the process's monotonic clock.
func (r *Runner) now() clock.Millis {
	return start.Add(clock.FromDuration(time.Since(r.began)))
}

func (r *Runner) perform(next action.Action) {
	switch next := next.(type) {
	case action.CallPlatform:
		go r.callPlatform(next)
	case action.Send:
		r.performers.Peers.Send(next.Address, next.Message)
	case action.Log:
		r.performers.Log(next.Entry)
	case action.FinishOperation:
		r.finishOperation(next)
	case action.Stop:
		go r.performers.Stopped()
	case action.Dispatch:
		r.pass(next.Request, next)
	case action.CancelRequest:
		r.pass(next.Request, next)
	case action.CancelAttempt:
		r.cancelAttempt(next.Request)
	case action.Refuse:
		r.pass(next.Request, next)
	case action.Respond:
		r.pass(next.Request, next)
	case action.EndStream:
		r.pass(next.Request, next)
	}
}

func (r *Runner) callPlatform(call action.CallPlatform) {
	answer := r.performers.Platform.Call(r.ctx, call.Op)
	r.Submit(event.PlatformResponded{Call: call.Call, Response: answer})
}

func (r *Runner) finishOperation(finished action.FinishOperation) {
	results, ok := r.operations[finished.Operation]
	if !ok {
		return
	}
	delete(r.operations, finished.Operation)
	results <- finished.Result
}

func (r *Runner) cancelAttempt(request string) {
	if cancel, ok := r.attempts[request]; ok {
		cancel()
	}
}

func (r *Runner) pass(request string, next action.Action) {
	actions, ok := r.requests[request]
	if !ok {
		return
	}
	actions <- next
}
