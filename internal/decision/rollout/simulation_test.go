package rollout_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/registry"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/rollout"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	model       = "m"
	minHandover = 3 * clock.Second
	loadTime    = 320 * clock.Millisecond
	// orderTimeout is the time for which an instance waits for the response to an order.
	orderTimeout = 200 * clock.Millisecond
)

// engine is a simulated engine. It carries out one order at a time.
type engine struct {
	id           string
	version      int64
	target       int64 // target is the version of the last accepted order.
	accepted     int64 // accepted counts the accepted orders.
	loadedAt     clock.Millis
	unresponsive bool
}

func (s *simulation) engine(id string) *engine {
	for _, e := range s.engines {
		if e.id == id {
			return e
		}
	}
	s.t.Fatal("no engine " + id)
	return nil
}

// finishLoad completes the load if its time is over.
func (e *engine) finishLoad(now clock.Millis) {
	if e.target > e.version && now >= e.loadedAt {
		e.version = e.target
	}
}

// receivedOrder is an order that an engine received.
type receivedOrder struct {
	at     clock.Millis
	holder string
	fence  int64
}

// simulation runs instances, engines and the lease's object of a store in simulated
// time.
type simulation struct {
	t           *testing.T
	now         clock.Millis
	random      *rand.Rand
	controllers []*rollout.Controller // controllers has one for each instance.
	engines     []*engine
	received    map[string][]receivedOrder // received is keyed by engine ID.

	stored storedLease
	// history has the states of the lease's object with their times, for goBack. Its
	// revisions are those of the store at that time.
	history []storedLease
	// storeUnreachable has the instances that can't reach the store, and pausedUntil
	// the end of an instance's pause.
	storeUnreachable map[int]bool
	pausedUntil      map[int]clock.Millis
	// lostPercent is the percentage of the store's responses that are lost;
	// delayedPercent is the percentage of the orders that get no response and are
	// carried out seconds later.
	lostPercent    int
	delayedPercent int
	tooOld         bool // tooOld is set if the engines' weights are too old to serve.
	events         []pendingEvent
}

// storedLease is the state of the lease's object, which does not exist at revision 0.
type storedLease struct {
	at       clock.Millis
	era      int64
	revision int64
	record   rollout.Record
}

// response returns the store's response with the object.
func (l storedLease) response(outcome objectstore.Outcome) objectstore.Response {
	return objectstore.Response{Outcome: outcome, Era: l.era, Version: l.revision, Value: l.record.Encode()}
}

type pendingEvent struct {
	at  clock.Millis
	run func()
}

func newSimulation(t *testing.T, seed uint64, instances, engines int) *simulation {
	s := &simulation{t: t, now: clock.Second, random: rand.New(rand.NewPCG(seed, 1)), stored: storedLease{era: 1}, received: map[string][]receivedOrder{}, storeUnreachable: map[int]bool{}, pausedUntil: map[int]clock.Millis{}}
	for i := range instances {
		s.controllers = append(s.controllers, rollout.New(fmt.Sprintf("edge-%d@10.0.0.%d", i, i), minHandover))
	}
	for i := range engines {
		s.engines = append(s.engines, &engine{id: fmt.Sprint("e", i), version: 1})
	}
	return s
}

func (s *simulation) after(delay clock.Millis, run func()) {
	s.events = append(s.events, pendingEvent{at: s.now.Add(delay), run: run})
}

// put writes the update to the store if its condition is met.
func (s *simulation) put(update rollout.Update) objectstore.Response {
	if update.IfRevision != s.stored.revision {
		return s.stored.response(objectstore.Conflict)
	}
	s.stored.at = s.now
	s.stored.revision += 1 + int64(s.random.IntN(5))
	s.stored.record = update.Record
	s.history = append(s.history, s.stored)
	return s.stored.response(objectstore.Done)
}

// receive passes the era of a response on before it is used. A response of an earlier era
// says nothing.
func (s *simulation) receive(controller *rollout.Controller, response objectstore.Response) objectstore.Response {
	if response.Outcome == objectstore.Unknown {
		return response
	}
	controller.SeeEra(s.now, response.Era)
	if response.Era < controller.Observation().Era {
		return objectstore.Response{Outcome: objectstore.Unknown}
	}
	return response
}

// goBack replaces the store by its copy of some time ago and begins the next era.
func (s *simulation) goBack(age clock.Millis) {
	era := s.stored.era + 1
	copied := storedLease{}
	for i, state := range s.history {
		if state.at > s.now-age {
			s.history = s.history[:i]
			break
		}
		copied = state
	}
	s.stored = copied
	s.stored.era = era
}

func (s *simulation) perform(i int, steps []rollout.Step) {
	controller := s.controllers[i]
	for _, step := range steps {
		switch step := step.(type) {
		case rollout.ReadLease:
			s.after(4, func() {
				response := s.stored.response(objectstore.Done)
				if s.stored.revision == 0 {
					response = objectstore.Response{Outcome: objectstore.NotFound, Era: s.stored.era}
				}
				if s.storeUnreachable[i] {
					response = objectstore.Response{Outcome: objectstore.Unknown}
				}
				controller.HandleLeaseRead(s.now, s.receive(controller, response))
			})
		case rollout.WriteLease:
			s.writeLease(i, step.Update)
		case rollout.RequestReport:
			s.after(5, func() { s.report(i, step.Server) })
		case rollout.Order:
			s.after(3, func() { s.deliver(i, step) })
		}
	}
}

func (s *simulation) writeLease(i int, update rollout.Update) {
	if s.storeUnreachable[i] {
		s.after(900, func() {
			s.controllers[i].HandleLeaseWritten(s.now, update.Record, objectstore.Response{Outcome: objectstore.Unknown})
		})
		return
	}
	s.after(clock.Millis(2+s.random.IntN(20)), func() {
		response := s.put(update)
		if s.random.IntN(100) < s.lostPercent {
			response = objectstore.Response{Outcome: objectstore.Unknown}
			s.after(900, func() { s.controllers[i].HandleLeaseWritten(s.now, update.Record, response) })
			return
		}
		s.after(2, func() {
			s.controllers[i].HandleLeaseWritten(s.now, update.Record, s.receive(s.controllers[i], response))
		})
	})
}

func (s *simulation) report(i int, id string) {
	e := s.engine(id)
	e.finishLoad(s.now)
	report := rollout.Report{WeightVersions: map[string]int64{model: e.version}, Busy: e.target > e.version, AcceptedOrders: e.accepted, StartedAt: 1}
	if e.unresponsive {
		report = rollout.Report{Failed: true}
	}
	s.perform(i, s.controllers[i].HandleReport(s.now, id, report))
}

// deliver delivers an order, unless its deadline has passed.
func (s *simulation) deliver(i int, order rollout.Order) {
	if s.now >= order.Deadline {
		s.controllers[i].HandleOrderOutcome(s.now, order.Server, rollout.Refused)
		return
	}
	s.received[order.Server] = append(s.received[order.Server], receivedOrder{at: s.now, holder: order.Holder, fence: order.Fence})
	e := s.engine(order.Server)
	if s.random.IntN(100) < s.delayedPercent {
		s.after(clock.Millis(2000+s.random.IntN(10_000)), func() { e.handle(s.now, order) })
		s.after(orderTimeout, func() { s.controllers[i].HandleOrderOutcome(s.now, order.Server, rollout.NoResponse) })
		return
	}
	s.controllers[i].HandleOrderOutcome(s.now, order.Server, e.handle(s.now, order))
}

// handle starts the load, unless the engine is loading or has accepted another order
// since the order was made.
func (e *engine) handle(now clock.Millis, order rollout.Order) rollout.OrderOutcome {
	e.finishLoad(now)
	if e.target > e.version || order.AcceptedOrders != e.accepted {
		return rollout.Refused
	}
	e.accepted++
	e.target, e.loadedAt = order.Version, now.Add(loadTime)
	return rollout.Accepted
}

// run advances the simulation to the given time.
func (s *simulation) run(until clock.Millis) {
	for ; s.now < until; s.now += 10 {
		var due []pendingEvent
		var later []pendingEvent
		for _, event := range s.events {
			if event.at <= s.now {
				due = append(due, event)
			} else {
				later = append(later, event)
			}
		}
		s.events = later
		for _, event := range due {
			event.run()
		}
		for i, controller := range s.controllers {
			if s.now < s.pausedUntil[i] {
				continue
			}
			view := rollout.View{Rank: i, StoreReachable: !s.storeUnreachable[i]}
			for _, e := range s.engines {
				e.finishLoad(s.now)
				view.Engines = append(view.Engines, rollout.Engine{Entry: registry.Entry{ID: e.id, Address: e.id, StartedAt: 1, WeightVersions: map[string]int64{model: e.version}}, Down: e.unresponsive, TooOld: s.tooOld})
			}
			s.perform(i, controller.Next(s.now, view))
		}
		if s.now%150 == 0 {
			s.broadcast()
		}
	}
}

// broadcast sends the state of each instance to all others, and its relay request to the
// other instance with the lowest rank.
func (s *simulation) broadcast() {
	for i, from := range s.controllers {
		if s.now < s.pausedUntil[i] {
			continue
		}
		for j, to := range s.controllers {
			if i == j || s.now < s.pausedUntil[j] {
				continue
			}
			to.SeeEra(s.now, from.Observation().Era)
			to.HandlePeerState(s.now, from.Observation(), from.HoldsLease(s.now))
			if !s.storeUnreachable[j] && (j == 0 || (i == 0 && j == 1)) {
				s.perform(j, to.Relay(from.RelayRequest(s.now)))
			}
		}
	}
}

// publish publishes the version to all instances.
func (s *simulation) publish(version int64) {
	for _, controller := range s.controllers {
		controller.AddVersion(s.now, model, version, s.now, true)
	}
}

// updated returns the number of engines that have loaded the version or a newer one.
func (s *simulation) updated(version int64) int {
	count := 0
	for _, e := range s.engines {
		e.finishLoad(s.now)
		if e.version >= version {
			count++
		}
	}
	return count
}

// requireOneHolder verifies that the fencing tokens of an engine's orders never
// decrease, that no two holders share one, and that the orders of two holders are at
// least minHandover apart.
func (s *simulation) requireOneHolder() {
	s.t.Helper()
	var all []receivedOrder
	for _, orders := range s.received {
		for i, next := range orders {
			if i > 0 {
				require.GreaterOrEqual(s.t, next.fence, orders[i-1].fence, "%v", orders)
			}
		}
		all = append(all, orders...)
	}
	holders := map[int64]string{}
	for _, next := range all {
		if holder, ok := holders[next.fence]; ok {
			require.Equal(s.t, holder, next.holder, "two holders with one fence")
		}
		holders[next.fence] = next.holder
		for _, other := range all {
			if other.holder != next.holder {
				require.GreaterOrEqual(s.t, max(other.at.Since(next.at), next.at.Since(other.at)), minHandover, "%v and %v", next, other)
			}
		}
	}
}
