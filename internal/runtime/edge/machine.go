package edge

import (
	"context"
	"sync"
	"time"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/bootclock"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// maxActions bounds the actions of one request that wait to be performed.
const maxActions = 16

// machine drives the state machine: one step at a time, woken when a timer is due.
type machine struct {
	perform func(forwarder.Action)

	mu        sync.Mutex
	decisions *forwarder.Forwarder
	last      clock.Millis
	timer     *time.Timer
	closed    bool
	requests  map[string]*pending
}

// pending is a request that waits for its next action.
type pending struct {
	actions chan forwarder.Action
	cancel  context.CancelFunc // cancel ends the attempt under way.
	attempt int
}

func newMachine(decisions *forwarder.Forwarder, perform func(forwarder.Action)) *machine {
	m := &machine{decisions: decisions, perform: perform, requests: map[string]*pending{}}
	m.timer = time.AfterFunc(time.Hour, func() { m.submit(forwarder.Tick{}) })
	return m
}

// submit takes in an event and performs what follows.
func (m *machine) submit(happened forwarder.Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return
	}
	m.last = max(m.last, bootclock.Now())
	for _, next := range m.decisions.Step(m.last, happened) {
		m.perform(next)
	}
	m.timer.Reset(max(0, m.decisions.NextWake().Since(m.last)).Duration())
}

// open registers a request. It reports false when its identifier is in use.
func (m *machine) open(id string) (<-chan forwarder.Action, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.requests[id]; ok || m.closed {
		return nil, false
	}
	waiting := &pending{actions: make(chan forwarder.Action, maxActions)}
	m.requests[id] = waiting
	return waiting.actions, true
}

// begin registers how to end the request's attempt.
func (m *machine) begin(id string, attempt int, cancel context.CancelFunc) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if waiting, ok := m.requests[id]; ok {
		waiting.cancel, waiting.attempt = cancel, attempt
	}
}

func (m *machine) done(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.requests, id)
}

// pass hands an action to its request. It is called within a step.
func (m *machine) pass(id string, next forwarder.Action) {
	if waiting, ok := m.requests[id]; ok {
		waiting.actions <- next
	}
}

// cancelAttempt ends the request's attempt. It is called within a step.
func (m *machine) cancelAttempt(cancelled forwarder.CancelAttempt) {
	if waiting, ok := m.requests[cancelled.Request]; ok && waiting.cancel != nil && waiting.attempt == cancelled.Attempt {
		waiting.cancel()
	}
}

func (m *machine) ready() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.last = max(m.last, bootclock.Now())
	return m.decisions.ReadyAt(m.last)
}

func (m *machine) inFlight() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.decisions.InFlight()
}

func (m *machine) silentPeers() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.decisions.Silent()
}

func (m *machine) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	m.timer.Stop()
}
