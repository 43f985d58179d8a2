package router

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/journal"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/leaser"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// pendingCall is what a call to the platform is for.
type pendingCall interface {
	answered(r *Router, answer objectstore.Answer)
}

type (
	manifestCall  struct{}
	watchCall     struct{}
	shardCall     struct{ digest string }
	instancesCall struct{}
	relistCall    struct{ number int }
	leaseReadCall struct{ shard int }
	recordCall    struct{ request string }
	settleCall    struct{ attempt string }
	operationCall struct{ operation string }
)

// divisionsCall reads the divisions of a shard held under the term.
type divisionsCall struct {
	shard int
	term  int64
}

// divisionCall reads a team's division, to take more of it or, with 0, to write
// what is applied here.
type divisionCall struct {
	team  string
	more  int64
	tries int
}

// divisionWriteCall writes the own domain's number.
type divisionWriteCall struct {
	divisionCall
	share int64
}

func (c divisionsCall) answered(r *Router, answer objectstore.Answer) { r.divisionsRead(c, answer) }
func (c divisionCall) answered(r *Router, answer objectstore.Answer)  { r.divisionRead(c, answer) }
func (c divisionWriteCall) answered(r *Router, answer objectstore.Answer) {
	r.divisionWritten(c, answer)
}

// leaseWriteCall remembers when it was asked, from which the lease counts.
type leaseWriteCall struct {
	shard int
	asked clock.Millis
	write leaser.Write
}

func (manifestCall) answered(r *Router, answer objectstore.Answer)    { r.manifestRead(answer) }
func (watchCall) answered(r *Router, answer objectstore.Answer)       { r.watched(answer) }
func (c shardCall) answered(r *Router, answer objectstore.Answer)     { r.shardRead(c.digest, answer) }
func (instancesCall) answered(r *Router, answer objectstore.Answer)   { r.instancesListed(answer) }
func (c relistCall) answered(r *Router, answer objectstore.Answer)    { r.relisted(c, answer) }
func (c leaseReadCall) answered(r *Router, answer objectstore.Answer) { r.leaseRead(c.shard, answer) }
func (c leaseWriteCall) answered(r *Router, answer objectstore.Answer) {
	r.leaseWritten(c, answer)
}
func (c recordCall) answered(r *Router, answer objectstore.Answer) {
	r.recordAnswered(c.request, answer)
}
func (c settleCall) answered(r *Router, answer objectstore.Answer) {
	r.settleAnswered(c.attempt, answer)
}
func (c operationCall) answered(r *Router, answer objectstore.Answer) {
	r.operationAnswered(c.operation, answer)
}

func (r *Router) call(purpose pendingCall, op objectstore.Op) {
	r.lastCall++
	r.calls[r.lastCall] = purpose
	r.emit(action.CallPlatform{Call: r.lastCall, Op: op})
}

func (r *Router) platformAnswered(happened event.PlatformAnswered) {
	purpose, ok := r.calls[happened.Call]
	if !ok {
		return
	}
	delete(r.calls, happened.Call)
	r.notePlatform(happened.Answer)
	purpose.answered(r, happened.Answer)
}

// notePlatform logs when the platform goes out of reach and comes back.
func (r *Router) notePlatform(answer objectstore.Answer) {
	down := answer.Failed() && !answer.Reached
	if down == r.platformDown {
		r.noteOutage()
		return
	}
	r.platformDown = down
	number := journal.PlatformRecovered
	if down {
		number = journal.PlatformFailed
	}
	r.log(journal.New(number, "").With("outcome", answer.Outcome))
	r.beat()
	r.noteOutage()
}
