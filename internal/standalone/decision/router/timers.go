package router

import (
	"container/heap"

	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// timerEvent is the event that a timer triggers.
type timerEvent interface{ fire(r *Router) }

type (
	heartbeatTimer    struct{}
	instancesTimer    struct{}
	watchTimer        struct{}
	configShardsTimer struct{ revision int64 }
	acquireTimer      struct{ request, acquisition string }
	recordTimer       struct{ request string }
	settleTimer       struct{ attempt string }
	operationTimer    struct{ operation string }
	explainTimer      struct{ operation string }
	isolationTimer    struct{ request string }
	rebalanceTimer    struct{}
	choiceTimer       struct {
		request  string
		attempts int
	}
	delegatedRequestTimer struct{ delegated *flight }
	divisionsTimer        struct {
		shard int
		term  int64
	}
	claimShareTimer struct {
		team     string
		increase int64
	}
	isolationGrantTimer struct{}
	workEndTimer        struct{}
)

// leaseTimer is invalid once the lease has a newer generation.
type leaseTimer struct {
	shard      int
	generation uint64
}

func (heartbeatTimer) fire(r *Router)          { r.heartbeat() }
func (instancesTimer) fire(r *Router)          { r.listInstances() }
func (watchTimer) fire(r *Router)              { r.watchManifest() }
func (t configShardsTimer) fire(r *Router)     { r.retryMissingConfigShards(t.revision) }
func (t leaseTimer) fire(r *Router)            { r.handleLeaseTimer(t) }
func (t acquireTimer) fire(r *Router)          { r.handleAcquireTimeout(t.request, t.acquisition) }
func (t recordTimer) fire(r *Router)           { r.resumeRecording(t.request) }
func (t settleTimer) fire(r *Router)           { r.resumeSettling(t.attempt) }
func (t operationTimer) fire(r *Router)        { r.resumeOperation(t.operation) }
func (t isolationTimer) fire(r *Router)        { r.retryIsolation(t.request) }
func (isolationGrantTimer) fire(r *Router)     { r.grantIsolatedRuns() }
func (rebalanceTimer) fire(r *Router)          { r.rebalanceShares() }
func (t divisionsTimer) fire(r *Router)        { r.retryLoadDivisions(t) }
func (t claimShareTimer) fire(r *Router)       { r.claimUnallocatedShare(t) }
func (t choiceTimer) fire(r *Router)           { r.handleChoiceTimeout(t) }
func (t delegatedRequestTimer) fire(r *Router) { r.expireDelegatedRequest(t.delegated) }
func (workEndTimer) fire(r *Router)            { r.endWork() }
func (t explainTimer) fire(r *Router)          { r.handleExplainTimeout(t.operation) }

// timer is one entry of the queue; sequence orders timers of the same time.
type timer struct {
	at       clock.Millis
	sequence uint64
	event    timerEvent
}

// timerQueue holds the timers ordered by time.
type timerQueue struct {
	heap         timerHeap
	lastSequence uint64
}

func (q *timerQueue) push(at clock.Millis, ev timerEvent) {
	q.lastSequence++
	heap.Push(&q.heap, timer{at: at, sequence: q.lastSequence, event: ev})
}

func (q *timerQueue) next() (clock.Millis, bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].at, true
}

func (q *timerQueue) pop() timerEvent {
	return heap.Pop(&q.heap).(timer).event
}

// timerHeap implements heap.Interface.
type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}
func (h timerHeap) Swap(i, j int)   { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(entry any) { *h = append(*h, entry.(timer)) }
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	entry := (*h)[last]
	*h = (*h)[:last]
	return entry
}

// scheduleAfter schedules the event after the delay.
func (r *Router) scheduleAfter(delay clock.Millis, ev timerEvent) {
	r.timers.push(r.now.Add(delay), ev)
}

// scheduleAt schedules the event at the instant, or in a millisecond if that is later.
func (r *Router) scheduleAt(instant clock.Millis, ev timerEvent) {
	r.timers.push(max(instant, r.now.Add(clock.Millisecond)), ev)
}

func (r *Router) runTimers() {
	for {
		at, ok := r.timers.next()
		if !ok || at > r.now {
			return
		}
		r.timers.pop().fire(r)
	}
}
