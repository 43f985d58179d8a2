// Package runner drives the state machine of one instance: it submits events,
// wakes the machine when a timer is due and executes the actions that the
// machine returns. It makes no decisions of its own.
//
// # Usage
//
//	r := runner.New(machine, dependencies)
//	r.Submit(event.Started{})
//	defer r.Close()
package runner

import (
	"context"
	"sync"
	"time"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/bootclock"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/router"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Platform makes calls to the platform.
type Platform interface {
	Call(ctx context.Context, op objectstore.Op) objectstore.Response
}

// PeerSender sends messages to peers without blocking.
type PeerSender interface {
	Send(address string, message *peerv1.Message) bool
}

// Dependencies execute the actions of the machine.
type Dependencies struct {
	Platform Platform
	Peers    PeerSender
	// Log writes a log entry. It must not block.
	Log func(eventlog.Entry)
	// OnDrained is called once, when the machine has drained, with the number of interrupted
	// requests.
	OnDrained func(interrupted int)
}

// clockStart is the machine's time at startup. It is not 0 because 0 means "never".
const clockStart = clock.Second

// Runner drives one machine. It is safe for concurrent use.
type Runner struct {
	deps      Dependencies
	ctx       context.Context
	cancel    context.CancelFunc
	startedAt clock.Millis

	mu               sync.Mutex
	machine          *router.Router
	actionQueues     map[string]chan action.Action          // actionQueues are keyed by request.
	attemptCancels   map[string]attemptCancel               // attemptCancels are keyed by request.
	operationResults map[string]chan action.OperationResult // operationResults are keyed by operation.
	timer            *time.Timer
}

// attemptCancel cancels an attempt. Its function is nil if the attempt was cancelled before it began.
type attemptCancel struct {
	attempt string
	cancel  context.CancelFunc
}

// maxQueuedActions bounds the actions of one request that wait to be executed.
const maxQueuedActions = 16

// New returns a Runner of the machine.
func New(machine *router.Router, deps Dependencies) *Runner {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Runner{
		deps:             deps,
		ctx:              ctx,
		cancel:           cancel,
		startedAt:        bootclock.Now(),
		machine:          machine,
		actionQueues:     map[string]chan action.Action{},
		attemptCancels:   map[string]attemptCancel{},
		operationResults: map[string]chan action.OperationResult{},
	}
	r.timer = time.AfterFunc(time.Hour, func() { r.Submit(event.Tick{}) })
	return r
}

// Close cancels the platform calls in flight and stops the timer. Later events
// are ignored.
func (r *Runner) Close() {
	r.cancel()
	r.timer.Stop()
}

// Submit passes an event to the machine and executes the resulting actions.
func (r *Runner) Submit(input event.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx.Err() != nil {
		return
	}
	for _, output := range r.machine.Step(r.now(), input) {
		r.execute(output)
	}
	if wake, ok := r.machine.NextWake(); ok {
		r.timer.Reset(max(0, wake.Since(r.now())).Duration())
	}
}

// OpenRequest registers a request and returns the channel of its actions.
func (r *Runner) OpenRequest(request string) <-chan action.Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	actions := make(chan action.Action, maxQueuedActions)
	r.actionQueues[request] = actions
	return actions
}

// SetAttemptCancel registers the function that cancels the attempt of the request. It calls the
// function if the machine has cancelled the attempt already.
func (r *Runner) SetAttemptCancel(request, attempt string, cancel context.CancelFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if current, ok := r.attemptCancels[request]; ok && current.attempt == attempt && current.cancel == nil {
		cancel()
		return
	}
	r.attemptCancels[request] = attemptCancel{attempt: attempt, cancel: cancel}
}

// CloseRequest unregisters a request.
func (r *Runner) CloseRequest(request string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.actionQueues, request)
	delete(r.attemptCancels, request)
}

// RunOperation submits the event of an operator's operation and waits for its
// result.
func (r *Runner) RunOperation(ctx context.Context, operation string, input event.Event) (action.OperationResult, error) {
	results := make(chan action.OperationResult, 1)
	r.mu.Lock()
	r.operationResults[operation] = results
	r.mu.Unlock()
	r.Submit(input)
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

// StoppingRefusal returns the refusal of a request that is not run because the instance stops.
func (r *Runner) StoppingRefusal(request string) action.Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.StoppingRefusal(request)
}

// View calls read with the machine. The function must neither change nor retain
// the machine.
func (r *Runner) View(read func(now clock.Millis, machine *router.Router)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	read(r.now(), r.machine)
}

// now returns the machine's current time. It also counts while the host is suspended: a lease that
// expires meanwhile must not seem to be held afterwards.
func (r *Runner) now() clock.Millis {
	return clockStart.Add(bootclock.Now().Since(r.startedAt))
}

func (r *Runner) execute(output action.Action) {
	switch output := output.(type) {
	case action.CallPlatform:
		go r.callPlatform(output)
	case action.Send:
		r.deps.Peers.Send(output.Address, output.Message)
	case action.Log:
		r.deps.Log(output.Entry)
	case action.FinishOperation:
		r.finishOperation(output)
	case action.Stop:
		go r.deps.OnDrained(output.Interrupted)
	case action.Dispatch:
		r.enqueue(output.Request, output)
	case action.CancelRequest:
		r.enqueue(output.Request, output)
	case action.CancelAttempt:
		r.cancelAttempt(output)
	case action.Refuse:
		r.enqueue(output.Request, output)
	case action.Respond:
		r.enqueue(output.Request, output)
	case action.EndStream:
		r.enqueue(output.Request, output)
	}
}

func (r *Runner) callPlatform(call action.CallPlatform) {
	response := r.deps.Platform.Call(r.ctx, call.Op)
	r.Submit(event.PlatformResponded{Call: call.Call, Response: response})
}

func (r *Runner) finishOperation(finish action.FinishOperation) {
	results, ok := r.operationResults[finish.Operation]
	if !ok {
		return
	}
	delete(r.operationResults, finish.Operation)
	results <- finish.Result
}

func (r *Runner) cancelAttempt(output action.CancelAttempt) {
	if _, open := r.actionQueues[output.Request]; !open {
		return
	}
	if current := r.attemptCancels[output.Request]; current.attempt == output.Attempt && current.cancel != nil {
		current.cancel()
		return
	}
	r.attemptCancels[output.Request] = attemptCancel{attempt: output.Attempt}
}

// enqueue adds the action to the request's queue. It does nothing if the request
// is not registered.
func (r *Runner) enqueue(request string, output action.Action) {
	actions, ok := r.actionQueues[request]
	if !ok {
		return
	}
	actions <- output
}
