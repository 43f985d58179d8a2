package orderer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/orderer"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/roster"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	model    = "m"
	turn     = 3 * clock.Second
	loadTime = 320 * clock.Millisecond
	// orderWait is how long the shell waits for the answer to an order.
	orderWait = 200 * clock.Millisecond
)

// engine is an engine of the tests: it takes one order at a time.
type engine struct {
	id       string
	version  int64
	target   int64
	accepted int64
	busyTo   clock.Millis
	dark     bool
}

func (w *world) engine(id string) *engine {
	for _, e := range w.engines {
		if e.id == id {
			return e
		}
	}
	w.t.Fatal("no engine " + id)
	return nil
}

func (e *engine) settle(now clock.Millis) {
	if e.target > e.version && now >= e.busyTo {
		e.version = e.target
	}
}

// given is an order that arrived.
type given struct {
	at     clock.Millis
	holder string
	fence  int64
}

// world is instances, engines and the lease's object in a store.
type world struct {
	t       *testing.T
	now     clock.Millis
	source  *rand.Rand
	orders  []*orderer.Orderer
	engines []*engine
	given   map[string][]given

	revision int64
	record   orderer.Record
	// deaf are instances that can't reach the store; frozen ones take no step.
	deaf   map[int]bool
	frozen map[int]clock.Millis
	// lost is the part of the store's answers that never come, late the part of the
	// orders that get no answer and are carried out seconds later; in hundredths.
	lost   int
	late   int
	unused bool // unused tells that the engines' weights are too old to serve.
	events []pendingEvent
}

type pendingEvent struct {
	at  clock.Millis
	run func()
}

func newWorld(t *testing.T, seed uint64, instances, engines int) *world {
	w := &world{t: t, now: clock.Second, source: rand.New(rand.NewPCG(seed, 1)), given: map[string][]given{}, deaf: map[int]bool{}, frozen: map[int]clock.Millis{}}
	for i := range instances {
		w.orders = append(w.orders, orderer.New(fmt.Sprintf("edge-%d@10.0.0.%d", i, i), turn))
	}
	for i := range engines {
		w.engines = append(w.engines, &engine{id: fmt.Sprint("e", i), version: 1})
	}
	return w
}

func (w *world) after(span clock.Millis, run func()) {
	w.events = append(w.events, pendingEvent{at: w.now.Add(span), run: run})
}

// put is the store: it takes an update whose revision is the object's.
func (w *world) put(update orderer.Update) objectstore.Response {
	if update.IfRevision != w.revision {
		return objectstore.Response{Outcome: objectstore.Conflict, Version: w.revision, Value: w.record.Encode()}
	}
	w.revision += 1 + int64(w.source.IntN(5))
	w.record = update.Record
	return objectstore.Response{Outcome: objectstore.Done, Version: w.revision}
}

func (w *world) perform(i int, steps []orderer.Step) {
	orders := w.orders[i]
	for _, step := range steps {
		switch step := step.(type) {
		case orderer.ReadLease:
			w.after(4, func() {
				answer := objectstore.Response{Outcome: objectstore.Done, Version: w.revision, Value: w.record.Encode()}
				if w.revision == 0 {
					answer = objectstore.Response{Outcome: objectstore.NotFound}
				}
				if w.deaf[i] {
					answer = objectstore.Response{Outcome: objectstore.Unknown}
				}
				orders.LeaseRead(w.now, answer)
			})
		case orderer.WriteLease:
			w.write(i, step.Update)
		case orderer.AskReport:
			w.after(5, func() { w.report(i, step.Server) })
		case orderer.Order:
			w.after(3, func() { w.order(i, step) })
		}
	}
}

func (w *world) write(i int, update orderer.Update) {
	if w.deaf[i] {
		w.after(900, func() {
			w.orders[i].LeaseWritten(w.now, update.Record, objectstore.Response{Outcome: objectstore.Unknown})
		})
		return
	}
	w.after(clock.Millis(2+w.source.IntN(20)), func() {
		answer := w.put(update)
		if w.source.IntN(100) < w.lost {
			answer = objectstore.Response{Outcome: objectstore.Unknown}
			w.after(900, func() { w.orders[i].LeaseWritten(w.now, update.Record, answer) })
			return
		}
		w.after(2, func() { w.orders[i].LeaseWritten(w.now, update.Record, answer) })
	})
}

func (w *world) report(i int, id string) {
	e := w.engine(id)
	e.settle(w.now)
	report := orderer.Report{Weights: map[string]int64{model: e.version}, Busy: e.target > e.version, Accepted: e.accepted, Born: 1}
	if e.dark {
		report = orderer.Report{Failed: true}
	}
	w.perform(i, w.orders[i].Reported(w.now, id, report))
}

// order delivers an order, unless its sender may not send it any more.
func (w *world) order(i int, order orderer.Order) {
	if w.now >= order.Until {
		w.orders[i].Replied(w.now, order.Server, orderer.Refused)
		return
	}
	w.given[order.Server] = append(w.given[order.Server], given{at: w.now, holder: order.Holder, fence: order.Fence})
	e := w.engine(order.Server)
	if w.source.IntN(100) < w.late {
		w.after(clock.Millis(2000+w.source.IntN(10_000)), func() { e.take(w.now, order) })
		w.after(orderWait, func() { w.orders[i].Replied(w.now, order.Server, orderer.Unheard) })
		return
	}
	w.orders[i].Replied(w.now, order.Server, e.take(w.now, order))
}

// take carries out an order, unless the engine loads or has accepted another one since.
func (e *engine) take(now clock.Millis, order orderer.Order) orderer.Reply {
	e.settle(now)
	if e.target > e.version || order.Accepted != e.accepted {
		return orderer.Refused
	}
	e.accepted++
	e.target, e.busyTo = order.Version, now.Add(loadTime)
	return orderer.Accepted
}

// run lets the world go on until the instant.
func (w *world) run(until clock.Millis) {
	for ; w.now < until; w.now += 10 {
		var due []pendingEvent
		var later []pendingEvent
		for _, event := range w.events {
			if event.at <= w.now {
				due = append(due, event)
			} else {
				later = append(later, event)
			}
		}
		w.events = later
		for _, event := range due {
			event.run()
		}
		for i, orders := range w.orders {
			if w.now < w.frozen[i] {
				continue
			}
			view := orderer.View{Rank: i, StoreSteady: !w.deaf[i]}
			for _, e := range w.engines {
				e.settle(w.now)
				view.Engines = append(view.Engines, orderer.Engine{Entry: roster.Entry{ID: e.id, Address: e.id, Born: 1, Weights: map[string]int64{model: e.version}}, Down: e.dark, Unused: w.unused})
			}
			w.perform(i, orders.Next(w.now, view))
		}
		if w.now%150 == 0 {
			w.gossip()
		}
	}
}

func (w *world) gossip() {
	for i, from := range w.orders {
		if w.now < w.frozen[i] {
			continue
		}
		for j, to := range w.orders {
			if i == j || w.now < w.frozen[j] {
				continue
			}
			to.PeerSaw(w.now, from.Sight(), from.Holding(w.now))
			if !w.deaf[j] && (j == 0 || (i == 0 && j == 1)) {
				w.perform(j, to.Grant(from.Wish(w.now)))
			}
		}
	}
}

func (w *world) name(version int64) {
	for _, orders := range w.orders {
		orders.Named(model, version, w.now, true)
	}
}

// updated returns how many living engines have the version.
func (w *world) updated(version int64) int {
	count := 0
	for _, e := range w.engines {
		e.settle(w.now)
		if e.version >= version {
			count++
		}
	}
	return count
}

// requireOneHolder holds the rule of the orders: fences never fall, and two holders
// never take turns within the least time between them.
func (w *world) requireOneHolder() {
	w.t.Helper()
	var all []given
	for _, orders := range w.given {
		for i, next := range orders {
			if i > 0 {
				require.GreaterOrEqual(w.t, next.fence, orders[i-1].fence, "%v", orders)
			}
		}
		all = append(all, orders...)
	}
	fences := map[int64]string{}
	for _, next := range all {
		if holder, ok := fences[next.fence]; ok {
			require.Equal(w.t, holder, next.holder, "two holders with one fence")
		}
		fences[next.fence] = next.holder
		for _, other := range all {
			if other.holder != next.holder {
				require.GreaterOrEqual(w.t, max(other.at.Since(next.at), next.at.Since(other.at)), turn, "%v and %v", next, other)
			}
		}
	}
}
