package testkit

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
	"github.com/hyssopdoor/hyssopdoor/internal/standin/store"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// watchTimeout is the maximum time that a watch waits for a change.
const watchTimeout = 4 * clock.Second

// Platform is the fake platform of a Cluster.
type Platform struct {
	Store *store.Store
	// Down makes all calls fail without effect.
	Down bool
	// Delay is added before each call takes effect. If it exceeds the callers'
	// timeout, a call takes effect after the caller has timed out.
	Delay clock.Millis
	// DropResponses is the number of next writes that take effect but whose
	// responses are lost.
	DropResponses int
	// ListLag is the delay after which the instance list shows a change.
	ListLag clock.Millis
	// Writes and Reads count the calls; a watch is a read.
	Writes int
	Reads  int

	cluster *Cluster
	watches []pendingWatch
}

// pendingWatch is a watch that waits for a change.
type pendingWatch struct {
	op      objectstore.Watch
	respond func(objectstore.Response)
}

func newPlatform(c *Cluster) *Platform {
	return &Platform{Store: store.New(), ListLag: 200 * clock.Millisecond, cluster: c}
}

// call simulates a call of an instance to the platform. The instance receives one
// response: the platform's, or the outcome Unknown after the timeout.
func (p *Platform) call(instance *Instance, call action.CallPlatform) {
	responded := false
	deliver := func(response objectstore.Response) {
		if responded {
			return
		}
		responded = true
		instance.deliver(0, event.PlatformResponded{Call: call.Call, Response: response})
	}
	timeout := platformTimeout
	if _, ok := call.Op.(objectstore.Watch); ok {
		timeout += watchTimeout
	}
	p.cluster.AfterFunc(timeout, func() { deliver(objectstore.Response{Outcome: objectstore.Unknown}) })
	if p.Down {
		p.cluster.AfterFunc(PlatformLatency, func() { deliver(objectstore.Response{Outcome: objectstore.Refused}) })
		return
	}
	if p.unreachable(instance) {
		return
	}
	p.cluster.AfterFunc(PlatformLatency+p.Delay, func() {
		if !p.Down {
			p.execute(instance, call.Op, deliver)
		}
	})
}

func (p *Platform) unreachable(instance *Instance) bool {
	return p.cluster.isPartitioned(instance.domain, PlatformDomain)
}

// execute applies the operation and sends its response to the instance.
func (p *Platform) execute(instance *Instance, op objectstore.Op, deliver func(objectstore.Response)) {
	respond := func(response objectstore.Response) {
		p.cluster.AfterFunc(PlatformLatency, func() {
			if !p.unreachable(instance) && !p.Down {
				deliver(response)
			}
		})
	}
	switch op := op.(type) {
	case objectstore.Put:
		p.put(op, respond)
	case objectstore.Watch:
		p.watch(op, respond)
	default:
		p.Reads++
		respond(p.read(op))
	}
}

func (p *Platform) read(op objectstore.Op) objectstore.Response {
	switch op := op.(type) {
	case objectstore.Get:
		return p.Store.Get(op)
	case objectstore.ListObjects:
		return p.Store.ListObjects(op)
	case objectstore.ListInstances:
		return p.Store.ListInstances(p.cluster.Now-p.ListLag, op)
	default:
		return objectstore.Response{Outcome: objectstore.Refused}
	}
}

// put writes an object, unless its version conflicts, and notifies watches.
func (p *Platform) put(op objectstore.Put, respond func(objectstore.Response)) {
	p.Writes++
	response := p.Store.Put(op)
	p.notify()
	if p.DropResponses > 0 {
		p.DropResponses--
		return
	}
	respond(response)
}

// watch responds when the object has changed, or with the outcome NotFound after
// watchTimeout.
func (p *Platform) watch(op objectstore.Watch, respond func(objectstore.Response)) {
	p.Reads++
	if response := p.Store.Watch(op); response.Outcome == objectstore.Done {
		respond(response)
		return
	}
	p.watches = append(p.watches, pendingWatch{op: op, respond: respond})
	p.cluster.AfterFunc(watchTimeout, func() { respond(objectstore.Response{Outcome: objectstore.NotFound}) })
}

// notify responds to the watches whose object has changed.
func (p *Platform) notify() {
	var pending []pendingWatch
	for _, watch := range p.watches {
		if response := p.Store.Watch(watch.op); response.Outcome == objectstore.Done {
			watch.respond(response)
			continue
		}
		pending = append(pending, watch)
	}
	p.watches = pending
}
