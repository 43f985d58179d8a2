package router

import (
	"container/heap"

	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// due is what a timer is for.
type due interface{ run(r *Router) }

type (
	heartbeatDue  struct{}
	instancesDue  struct{}
	watchDue      struct{}
	shardsDue     struct{ revision int64 }
	drawDue       struct{ request, draw string }
	recordDue     struct{ request string }
	settleDue     struct{ attempt string }
	operationDue  struct{ operation string }
	explainingDue struct{ operation string }
	isolationDue  struct{ request string }
	periodDue     struct{}
	chooseDue     struct {
		request  string
		attempts int
	}
	guestDue     struct{ guest *flight }
	divisionsDue struct {
		shard int
		term  int64
	}
	takeDue struct {
		team string
		more int64
	}
	grantDue struct{}
)

// leaseDue is void when the lease has taken another turn.
type leaseDue struct {
	shard int
	turn  uint64
}

func (heartbeatDue) run(r *Router)    { r.heartbeat() }
func (instancesDue) run(r *Router)    { r.listInstances() }
func (watchDue) run(r *Router)        { r.watch() }
func (d shardsDue) run(r *Router)     { r.shardsMissing(d.revision) }
func (d leaseDue) run(r *Router)      { r.leaseTimer(d) }
func (d drawDue) run(r *Router)       { r.drawTimedOut(d.request, d.draw) }
func (d recordDue) run(r *Router)     { r.recordResumed(d.request) }
func (d settleDue) run(r *Router)     { r.settleResumed(d.attempt) }
func (d operationDue) run(r *Router)  { r.operationResumed(d.operation) }
func (d isolationDue) run(r *Router)  { r.isolationAgain(d.request) }
func (grantDue) run(r *Router)        { r.grantIsolation() }
func (periodDue) run(r *Router)       { r.dividePeriod() }
func (d divisionsDue) run(r *Router)  { r.reloadDivisions(d) }
func (d takeDue) run(r *Router)       { r.takeShare(d) }
func (d chooseDue) run(r *Router)     { r.chooseTimedOut(d) }
func (d guestDue) run(r *Router)      { r.guestTimedOut(d.guest) }
func (d explainingDue) run(r *Router) { r.explainingTimedOut(d.operation) }

// timer is one entry of the queue; number keeps equal instants in order.
type timer struct {
	at     clock.Millis
	number uint64
	due    due
}

// timerQueue is the timers by instant.
type timerQueue struct {
	heap   timerHeap
	number uint64
}

func (q *timerQueue) push(at clock.Millis, due due) {
	q.number++
	heap.Push(&q.heap, timer{at: at, number: q.number, due: due})
}

func (q *timerQueue) next() (clock.Millis, bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].at, true
}

func (q *timerQueue) pop() due {
	return heap.Pop(&q.heap).(timer).due
}

// timerHeap implements heap.Interface.
type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].number < h[j].number
}
func (h timerHeap) Swap(i, j int)   { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(entry any) { *h = append(*h, entry.(timer)) }
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	entry := (*h)[last]
	*h = (*h)[:last]
	return entry
}

func (r *Router) after(span clock.Millis, due due) {
	r.timers.push(r.now.Add(span), due)
}

func (r *Router) at(instant clock.Millis, due due) {
	r.timers.push(max(instant, r.now.Add(clock.Millisecond)), due)
}

func (r *Router) runTimers() {
	for {
		at, ok := r.timers.next()
		if !ok || at > r.now {
			return
		}
		r.timers.pop().run(r)
	}
}
