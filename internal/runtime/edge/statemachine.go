package edge

import (
	"sync"
	"time"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/replicator"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/bootclock"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// maxActions is the size of a request's queue of actions to perform.
const maxActions = 16

// stateMachine runs the state machine of package forwarder: one step at a time, for each
// event and when a timer expires.
type stateMachine struct {
	perform func(forwarder.Action)

	mu        sync.Mutex
	forwarder *forwarder.Forwarder
	now       clock.Millis // now is the time of the last step; it never goes back.
	timer     *time.Timer
	closed    bool
	requests  map[string]*pendingRequest
}

// pendingRequest is a request whose handler waits for actions.
type pendingRequest struct {
	actions chan forwarder.Action
	// cancels end the running attempts, by number. cancelled are the numbers of those
	// whose cancellation was requested.
	cancels   map[int]*cancellation
	cancelled map[int]bool
	// ended reports whether the request's last action is queued.
	ended bool
	// startAlternative starts an attempt beside the current one. It must not block.
	startAlternative func(forwarder.Dispatch)
}

func newStateMachine(fwd *forwarder.Forwarder, perform func(forwarder.Action)) *stateMachine {
	m := &stateMachine{forwarder: fwd, perform: perform, requests: map[string]*pendingRequest{}}
	m.timer = time.AfterFunc(time.Hour, func() { m.submit(forwarder.Tick{}) })
	return m
}

// submit processes an event and performs the resulting actions.
func (m *stateMachine) submit(event forwarder.Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.step(event)
}

// step does the same. The caller holds the lock.
func (m *stateMachine) step(event forwarder.Event) {
	if m.closed {
		return
	}
	m.now = max(m.now, bootclock.Now())
	for _, action := range m.forwarder.Step(m.now, event) {
		m.perform(action)
	}
	m.timer.Reset(max(0, m.forwarder.NextWake().Since(m.now)).Duration())
}

// begin reports the first event of an attempt, before it is forwarded. It reports false if the attempt
// was cancelled before: the state machine has gone on without the event.
func (m *stateMachine) begin(event forwarder.StreamStarted) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if request, ok := m.requests[event.Request]; ok && request.cancelled[event.Attempt] {
		return false
	}
	m.step(event)
	return true
}

// register adds a request and returns the queue of its actions. It reports false when the
// state machine is closed or another request in flight has the same identifier.
func (m *stateMachine) register(id string) (<-chan forwarder.Action, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.requests[id]; ok || m.closed {
		return nil, false
	}
	request := &pendingRequest{actions: make(chan forwarder.Action, maxActions), cancels: map[int]*cancellation{}, cancelled: map[int]bool{}}
	m.requests[id] = request
	return request.actions, true
}

// handleAlternatives sets the function that starts the request's alternatives.
func (m *stateMachine) handleAlternatives(id string, start func(forwarder.Dispatch)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if request, ok := m.requests[id]; ok {
		request.startAlternative = start
	}
}

// setCancel sets what cancels an attempt of the request. It cancels the attempt at once if
// that was requested before it began.
func (m *stateMachine) setCancel(id string, attempt int, c *cancellation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	request, ok := m.requests[id]
	if !ok || request.cancelled[attempt] {
		c.cancel()
		return
	}
	request.cancels[attempt] = c
}

// unregister removes a request and cancels its attempts.
func (m *stateMachine) unregister(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.requests[id].cancels {
		c.cancel()
	}
	delete(m.requests, id)
}

// deliver queues an action for its request. The caller holds the lock.
func (m *stateMachine) deliver(id string, action forwarder.Action) {
	if request, ok := m.requests[id]; ok {
		if _, dispatches := action.(forwarder.Dispatch); !dispatches {
			request.ended = true
		}
		request.actions <- action
	}
}

// startAlternative starts an attempt beside the current one. The caller holds the lock.
func (m *stateMachine) startAlternative(dispatch forwarder.Dispatch) {
	if request, ok := m.requests[dispatch.Request]; ok && request.startAlternative != nil {
		request.startAlternative(dispatch)
	}
}

// cancelAttempt cancels an attempt of the request. The caller holds the lock.
func (m *stateMachine) cancelAttempt(cancel forwarder.CancelAttempt) {
	request, ok := m.requests[cancel.Request]
	if !ok {
		return
	}
	request.cancelled[cancel.Attempt] = true
	if running, ok := request.cancels[cancel.Attempt]; ok {
		running.decide(m.now)
	}
}

// hasEnded reports whether it is decided how the request ends.
func (m *stateMachine) hasEnded(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	request, ok := m.requests[id]
	return !ok || request.ended
}

func (m *stateMachine) ready() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = max(m.now, bootclock.Now())
	return m.forwarder.ReadyAt(m.now)
}

func (m *stateMachine) inFlight() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.forwarder.InFlight()
}

// replica returns the state of the copy of a kind, and the current time.
func (m *stateMachine) replica(kind replicator.Kind) (replicator.Copy, clock.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.forwarder.Replica(kind), bootclock.Now()
}

// storeEra returns the highest era of the store that is known.
func (m *stateMachine) storeEra() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.forwarder.StoreEra()
}

func (m *stateMachine) status() forwarder.Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = max(m.now, bootclock.Now())
	return m.forwarder.StatusAt(m.now)
}

// ownEntry returns the instance's own entry in the store. It reports false before there is
// a copy of the entries.
func (m *stateMachine) ownEntry() (forwarder.Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.forwarder.OwnEntry()
}

func (m *stateMachine) unresponsivePeers() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.forwarder.UnresponsivePeers()
}

func (m *stateMachine) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	m.timer.Stop()
}
