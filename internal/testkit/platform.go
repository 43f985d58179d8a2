package testkit

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
	"github.com/hyssopdoor/hyssopdoor/internal/standin/store"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// watchWait is the longest wait of a watch.
const watchWait = 4 * clock.Second

// Platform is the fake platform of a Fleet.
type Platform struct {
	Store *store.Store
	// Down makes calls end without effect.
	Down bool
	// Slow is added before each call takes effect; when it is longer than the
	// callers' timeout, the call takes effect after they have given it up.
	Slow clock.Millis
	// LoseAnswers is how many of the next writes take effect without an answer.
	LoseAnswers int
	// ListLag is how late the instance list shows a change.
	ListLag clock.Millis
	// Writes and Reads count calls.
	Writes int
	Reads  int

	fleet    *Fleet
	watchers []watcher
}

// watcher is a watch that waits.
type watcher struct {
	op    objectstore.Watch
	reply func(objectstore.Response)
}

func newPlatform(f *Fleet) *Platform {
	return &Platform{Store: store.New(), ListLag: 200 * clock.Millisecond, fleet: f}
}

// call carries one call of a node.
func (p *Platform) call(n *Node, call action.CallPlatform) {
	answered := false
	answer := func(answer objectstore.Response) {
		if answered {
			return
		}
		answered = true
		n.deliver(0, event.PlatformResponded{Call: call.Call, Response: answer})
	}
	timeout := platformTimeout
	if _, ok := call.Op.(objectstore.Watch); ok {
		timeout += watchWait
	}
	p.fleet.After(timeout, func() { answer(objectstore.Response{Outcome: objectstore.Unknown}) })
	if p.Down {
		p.fleet.After(PlatformLatency, func() { answer(objectstore.Response{Outcome: objectstore.Refused}) })
		return
	}
	if p.unreachable(n) {
		return
	}
	p.fleet.After(PlatformLatency+p.Slow, func() {
		if !p.Down {
			p.arrive(n, call.Op, answer)
		}
	})
}

func (p *Platform) unreachable(n *Node) bool {
	return p.fleet.isCut(n.domain, PlatformDomain)
}

// arrive lets the call take effect and sends its answer back.
func (p *Platform) arrive(n *Node, op objectstore.Op, answer func(objectstore.Response)) {
	reply := func(result objectstore.Response) {
		p.fleet.After(PlatformLatency, func() {
			if !p.unreachable(n) && !p.Down {
				answer(result)
			}
		})
	}
	switch op := op.(type) {
	case objectstore.Put:
		p.put(op, reply)
	case objectstore.Watch:
		p.watch(op, reply)
	default:
		p.Reads++
		reply(p.read(op))
	}
}

func (p *Platform) read(op objectstore.Op) objectstore.Response {
	switch op := op.(type) {
	case objectstore.Get:
		return p.Store.Get(op)
	case objectstore.ListObjects:
		return p.Store.ListObjects(op)
	case objectstore.ListInstances:
		return p.Store.ListInstances(p.fleet.Now-p.ListLag, op)
	default:
		return objectstore.Response{Outcome: objectstore.Refused}
	}
}

func (p *Platform) put(op objectstore.Put, reply func(objectstore.Response)) {
	p.Writes++
	result := p.Store.Put(op)
	p.notify()
	if p.LoseAnswers > 0 {
		p.LoseAnswers--
		return
	}
	reply(result)
}

func (p *Platform) watch(op objectstore.Watch, reply func(objectstore.Response)) {
	p.Reads++
	if result := p.Store.Watch(op); result.Outcome == objectstore.Done {
		reply(result)
		return
	}
	p.watchers = append(p.watchers, watcher{op: op, reply: reply})
	p.fleet.After(watchWait, func() { reply(objectstore.Response{Outcome: objectstore.NotFound}) })
}

// notify answers the watches that have something new.
func (p *Platform) notify() {
	var waiting []watcher
	for _, watcher := range p.watchers {
		if result := p.Store.Watch(watcher.op); result.Outcome == objectstore.Done {
			watcher.reply(result)
			continue
		}
		waiting = append(waiting, watcher)
	}
	p.watchers = waiting
}
