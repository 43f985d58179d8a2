package router

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/leaser"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// pendingCall is a call to the platform that awaits its response.
type pendingCall interface {
	handleResponse(r *Router, response objectstore.Response)
}

type (
	manifestCall    struct{}
	watchCall       struct{}
	configShardCall struct{ digest string }
	instancesCall   struct{}
	refreshCall     struct{ sequence int }
	leaseReadCall   struct{ shard int }
	recordCall      struct{ request string }
	settleCall      struct{ attempt string }
	operationCall   struct{ operation string }
)

// divisionListCall reads the divisions of a shard that is held under the term.
type divisionListCall struct {
	shard int
	term  int64
}

// divisionReadCall reads a team's division. A positive increase claims more of the
// team's limit, in thousandths; 0 writes the share that is applied here.
type divisionReadCall struct {
	team     string
	increase int64
	retries  int
}

// divisionWriteCall writes the local domain's share.
type divisionWriteCall struct {
	divisionReadCall
	share int64
}

func (c divisionListCall) handleResponse(r *Router, response objectstore.Response) {
	r.handleDivisionList(c, response)
}
func (c divisionReadCall) handleResponse(r *Router, response objectstore.Response) {
	r.handleDivision(c, response)
}
func (c divisionWriteCall) handleResponse(r *Router, response objectstore.Response) {
	r.handleDivisionWritten(c, response)
}

// leaseWriteCall writes a lease. The lease's duration starts at requestedAt.
type leaseWriteCall struct {
	shard       int
	requestedAt clock.Millis
	write       leaser.Write
}

func (manifestCall) handleResponse(r *Router, response objectstore.Response) {
	r.handleManifest(response)
}
func (watchCall) handleResponse(r *Router, response objectstore.Response) {
	r.handleWatchResponse(response)
}
func (c configShardCall) handleResponse(r *Router, response objectstore.Response) {
	r.handleConfigShard(c.digest, response)
}
func (instancesCall) handleResponse(r *Router, response objectstore.Response) {
	r.handleInstanceList(response)
}
func (c refreshCall) handleResponse(r *Router, response objectstore.Response) {
	r.handleRefresh(c, response)
}
func (c leaseReadCall) handleResponse(r *Router, response objectstore.Response) {
	r.handleLeaseRead(c.shard, response)
}
func (c leaseWriteCall) handleResponse(r *Router, response objectstore.Response) {
	r.handleLeaseWritten(c, response)
}
func (c recordCall) handleResponse(r *Router, response objectstore.Response) {
	r.handleRecordResponse(c.request, response)
}
func (c settleCall) handleResponse(r *Router, response objectstore.Response) {
	r.handleSettleResponse(c.attempt, response)
}
func (c operationCall) handleResponse(r *Router, response objectstore.Response) {
	r.handleOperationResponse(c.operation, response)
}

func (r *Router) callPlatform(call pendingCall, op objectstore.Op) {
	r.lastCallID++
	r.pendingCalls[r.lastCallID] = call
	r.emit(action.CallPlatform{Call: r.lastCallID, Op: op})
}

func (r *Router) handlePlatformResponse(ev event.PlatformResponded) {
	call, ok := r.pendingCalls[ev.Call]
	if !ok {
		return
	}
	delete(r.pendingCalls, ev.Call)
	r.updatePlatformState(ev.Response)
	call.handleResponse(r, ev.Response)
}

// updatePlatformState logs when the platform becomes unreachable or reachable
// again, and broadcasts the change.
func (r *Router) updatePlatformState(response objectstore.Response) {
	down := response.Failed() && !response.RefusedByStore
	if down == r.platformDown {
		r.updateOutage()
		return
	}
	r.platformDown = down
	number := eventlog.PlatformRecovered
	if down {
		number = eventlog.PlatformFailed
	}
	r.log(eventlog.New(number, "").With("outcome", response.Outcome))
	r.broadcastHeartbeat()
	r.updateOutage()
}
