// Package admitter decides whether a request is sent to a server now, waits in the instance
// or is refused at once.
//
// Load pattern: for some seconds, requests with long prompts arrive at a multiple of the rate
// that the servers can take, beside short and more urgent ones. Servers that are sent more than
// they have slots for queue it up to a few times their slots and reject the rest, the urgent
// requests included, while the less urgent ones that they hold prevent any other order.
//
// A server gets only what it can start soon, so that the order is decided where the requests
// wait. A less urgent request leaves some slots and memory to more urgent ones. Loads of other
// instances are known some hundred milliseconds late. Therefore the most urgent requests may
// queue at a server for about that time, and a slot that many instances see is offered to a few
// of them at once. Nothing is held back at servers whose slots are not known.
//
// # Usage
//
//	admission := admitter.New()
//	if !admission.Admits(now, request, server) && admission.Useful(now, request) {
//		admission.Enqueue(now, request)
//	}
//	admission.Round(now, func(request admitter.Request, turn bool) bool { return send(request) })
package admitter

import (
	"math"

	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// loadAge is the usual age of the loads that other instances have placed.
	loadAge = 200 * clock.Millisecond
	// defaultDuration is the duration of an attempt before the first one has ended: about that
	// of a short prompt.
	defaultDuration = 500.0
	// durationWeight is the weight of the newest duration in the moving average.
	durationWeight = 0.05
	// urgentMemory is the time for which capacity is kept free after the last request of a
	// priority arrived.
	urgentMemory = 10 * clock.Second
	// A rejection raises the load that is assumed to be hidden by hiddenWeight of what was missed,
	// up to maxHidden of the slots. It is forgotten within hiddenTime. An instance that is cut off
	// from half of the others misses half of the load for as long as that lasts.
	hiddenWeight = 0.1
	hiddenTime   = 1 * clock.Second
	maxHidden    = 0.75
)

// Request is a request that needs a slot of a server.
type Request struct {
	ID      string
	Service string
	// Priority is its urgency; 0 is the most urgent.
	Priority int
	// Target is the target time to the response, and TargetAt the time at which that ends.
	Target   clock.Millis
	TargetAt clock.Millis
	// GiveUpAt is the latest start at which it can still be served before its deadline.
	GiveUpAt clock.Millis
	// Constrained reports whether only some servers of the service may take it.
	Constrained bool
}

// Admitter decides for the requests of one instance. It is not safe for concurrent use.
type Admitter struct {
	services map[string]*service
	// requests are the waiting requests by identifier.
	requests  map[string]Request
	instances int
	rank      int
	nextRound clock.Millis
	lastRound clock.Millis
}

// service is the state of one service.
type service struct {
	// waiting are the waiting requests in the order in which they are sent.
	waiting []Request
	// capacity is that of its servers when a request last found none.
	capacity Capacity
	// waitedAt is the latest time at which a request waited.
	waitedAt clock.Millis
	// hidden is the load that rejections have shown and that was not known, as a part of the
	// slots, at hiddenSince.
	hidden      float64
	hiddenSince clock.Millis
	// sent is the rate at which this instance sends requests.
	sent    meter
	classes map[int]*class
	// streak is the number of requests sent since the latest turn of a less urgent one.
	streak int
	// servers has what this instance has recently done at each server.
	servers map[string]recent
}

// class is the state of the requests of one priority.
type class struct {
	arrivals meter
	// arrivedAt is the time of the latest arrival; 0 for none.
	arrivedAt  clock.Millis
	durationMs float64
	turnAt     clock.Millis
}

// recent is what an instance has done at a server that others may not know yet.
type recent struct {
	// freed are the slots that its requests have freed and that it may use at once.
	freed   int
	freedAt clock.Millis
	// sent are the requests that it has sent in the period.
	sent   int
	period clock.Millis
	// rejectedAt is the time at which the server last rejected a request; 0 for never.
	rejectedAt clock.Millis
}

// New returns an Admitter for a single instance, without waiting requests.
func New() *Admitter {
	return &Admitter{services: map[string]*service{}, requests: map[string]Request{}, instances: 1}
}

// SetInstances sets the number of instances and this one's rank among them, from 0.
func (a *Admitter) SetInstances(instances, rank int) {
	a.instances, a.rank = max(1, instances), rank
}

// SetPriorities sets the priorities of the routes that lead to the service.
func (a *Admitter) SetPriorities(now clock.Millis, name string, priorities []int) {
	for _, priority := range priorities {
		// At the start, the first requests of each priority may be about to arrive.
		if c := a.service(name).class(priority); c.arrivedAt == 0 {
			c.arrivedAt = now
		}
	}
}

// Arrived records the arrival of a request.
func (a *Admitter) Arrived(now clock.Millis, name string, priority int) {
	c := a.service(name).class(priority)
	c.arrivals, c.arrivedAt = c.arrivals.with(now), now
}

// Sent records that a request was sent to a server. It no longer waits.
func (a *Admitter) Sent(now clock.Millis, request Request, server string) {
	a.Remove(request.ID)
	s := a.service(request.Service)
	s.sent = s.sent.with(now)
	if s.contended(now) {
		known := s.servers[server].at(now)
		known.sent++
		known.freed = max(0, known.freed-1)
		s.servers[server] = known
	}
	if n := len(s.waiting); n > 0 && request.Priority < s.waiting[n-1].Priority {
		s.streak++
	}
}

// Ended records the end of a request at a server, with its duration there.
func (a *Admitter) Ended(now clock.Millis, name string, priority int, server string, duration clock.Millis) {
	s := a.service(name)
	c := s.class(priority)
	c.durationMs += durationWeight * (float64(duration) - c.durationMs)
	if !s.contended(now) {
		clear(s.servers)
		return
	}
	known := s.servers[server].at(now)
	known.freed, known.freedAt = known.freed+1, now
	s.servers[server] = known
	a.nextRound = min(a.nextRound, max(now, a.lastRound.Add(minRoundInterval)))
}

// Rejected records that a server has rejected a request, which shows that it is full although
// that was not known. The loads of other servers are then assumed to be higher too.
func (a *Admitter) Rejected(now clock.Millis, name string, server Server) {
	s := a.service(name)
	known := s.servers[server.ID].at(now)
	known.rejectedAt, known.freed = now, 0
	s.servers[server.ID] = known
	s.waitedAt = now
	if server.Slots == 0 {
		return
	}
	hidden, missed := s.hiddenAt(now), min(maxHidden, 1-float64(server.Requests)/float64(server.Slots))
	s.hidden, s.hiddenSince = hidden+max(0, missed-hidden)*hiddenWeight, now
}

// hiddenAt returns the load of servers that this instance does not know, as a part of their slots.
func (s *service) hiddenAt(now clock.Millis) float64 {
	return s.hidden * math.Exp(-float64(now.Since(s.hiddenSince))/float64(hiddenTime))
}

// at returns what is still recent at now.
func (r recent) at(now clock.Millis) recent {
	if period := now / loadAge; r.period != period {
		r.period, r.sent = period, 0
	}
	if now.Since(r.freedAt) > loadAge {
		r.freed = 0
	}
	return r
}

// Duration returns the usual duration of a request of the priority at a server.
func (a *Admitter) Duration(name string, priority int) clock.Millis {
	return clock.Millis(a.service(name).class(priority).durationMs)
}

func (a *Admitter) service(name string) *service {
	s, ok := a.services[name]
	if !ok {
		s = &service{classes: map[int]*class{}, servers: map[string]recent{}}
		a.services[name] = s
	}
	return s
}

func (s *service) class(priority int) *class {
	c, ok := s.classes[priority]
	if !ok {
		c = &class{durationMs: defaultDuration}
		s.classes[priority] = c
	}
	return c
}
