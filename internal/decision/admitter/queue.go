package admitter

import (
	"cmp"
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// roundInterval is the time between two attempts to send waiting requests, and
	// minRoundInterval the same after one of this instance has ended.
	roundInterval    = 40 * clock.Millisecond
	minRoundInterval = 10 * clock.Millisecond
	// maxFailedTries limits the requests of a priority that find no server in a round: the
	// others would find none either, unless they need less memory.
	maxFailedTries = 2
	// maxConstrainedTries limits the constrained requests tried in a round.
	maxConstrainedTries = 4
	// maxTries limits all requests tried in a round, to bound its duration.
	maxTries = 32
	// hopelessDivisor divides the expected wait of a request that waits already: the expectation
	// varies with each burst of arrivals.
	hopelessDivisor = 2
	// turnAfter is the number of requests sent before the turn of a less urgent one.
	turnAfter = 7
)

// Capacity is the capacity of the servers of a service together.
type Capacity struct {
	Slots    int
	Requests int
}

// Plus returns the capacity with that of another server.
func (c Capacity) Plus(server Server) Capacity {
	return Capacity{Slots: c.Slots + server.Slots, Requests: c.Requests + server.Requests}
}

// compare orders requests by priority, and then by the end of their target time.
func compare(a, b Request) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.TargetAt, b.TargetAt), cmp.Compare(a.ID, b.ID))
}

// Enqueue lets the request wait.
func (a *Admitter) Enqueue(now clock.Millis, request Request) {
	a.Remove(request.ID)
	s := a.service(request.Service)
	if len(a.requests) == 0 {
		a.nextRound = now.Add(roundInterval)
	}
	index, _ := slices.BinarySearchFunc(s.waiting, request, compare)
	s.waiting = slices.Insert(s.waiting, index, request)
	s.waitedAt = now
	a.requests[request.ID] = request
}

// Remove lets the request no longer wait.
func (a *Admitter) Remove(id string) {
	request, ok := a.requests[id]
	if !ok {
		return
	}
	delete(a.requests, id)
	s := a.service(request.Service)
	if index, found := slices.BinarySearchFunc(s.waiting, request, compare); found {
		s.waiting = slices.Delete(s.waiting, index, index+1)
	}
}

// Waiting returns the number of waiting requests.
func (a *Admitter) Waiting() int { return len(a.requests) }

// Waits reports whether the request waits.
func (a *Admitter) Waits(id string) bool {
	_, ok := a.requests[id]
	return ok
}

// MustQueue reports whether a new request must wait behind others, which are at least as urgent.
func (a *Admitter) MustQueue(request Request) bool {
	for _, other := range a.service(request.Service).waiting {
		if other.Priority > request.Priority {
			return false
		}
		if !other.Constrained {
			return true
		}
	}
	return false
}

// SetCapacity records the capacity of the servers of a service, as a request found it. One that
// only some servers may take has not seen all of it.
func (a *Admitter) SetCapacity(request Request, capacity Capacity) {
	if s := a.service(request.Service); !request.Constrained || capacity.Slots > s.capacity.Slots {
		s.capacity = capacity
	}
}

// CapacityOf returns the capacity of the servers of a service as it was last recorded.
func (a *Admitter) CapacityOf(name string) Capacity { return a.service(name).capacity }

// ExpectedWait returns the time after which the request is expected to be sent if it waits.
func (a *Admitter) ExpectedWait(now clock.Millis, request Request) clock.Millis {
	s := a.service(request.Service)
	index, _ := slices.BinarySearchFunc(s.waiting, request, compare)
	sameClass := 1
	for _, other := range s.waiting[:index] {
		if other.Priority == request.Priority {
			sameClass++
		}
	}
	return a.wait(now, s, request.Priority, index, sameClass)
}

// wait returns the expected wait of a request of the priority with a number of others ahead. Of
// these and itself, sameClass are of its priority.
func (a *Admitter) wait(now clock.Millis, s *service, priority, ahead, sameClass int) clock.Millis {
	share := float64(s.capacity.Slots) * float64(clock.Second) / max(1, s.class(priority).durationMs) / float64(a.instances)
	rate := max(s.sent.rate(now), share, 0.1)
	left := rate
	for other, c := range s.classes {
		if other < priority {
			left -= c.arrivals.rate(now)
		}
	}
	seconds := float64(sameClass) * (turnAfter + 1) / rate
	if left > 0 {
		seconds = min(seconds, float64(ahead+1)/left)
	}
	return clock.Millis(seconds * float64(clock.Second))
}

// Hopeless returns the waiting requests that can't be served before their deadline any more,
// although they were expected to be: more urgent ones have arrived, or servers are slower. It
// returns none between two rounds.
func (a *Admitter) Hopeless(now clock.Millis) []Request {
	if len(a.requests) == 0 || now < a.nextRound {
		return nil
	}
	var hopeless []Request
	for _, name := range slices.Sorted(maps.Keys(a.services)) {
		s, ahead, sameClass := a.services[name], 0, map[int]int{}
		for _, request := range s.waiting {
			if now.Add(a.wait(now, s, request.Priority, ahead, sameClass[request.Priority]+1)/hopelessDivisor) > request.GiveUpAt {
				hopeless = append(hopeless, request)
				continue
			}
			ahead++
			sameClass[request.Priority]++
		}
	}
	return hopeless
}

// Useful reports whether the request is expected to be sent while it can still be served before
// its deadline. While less than half of the slots are taken and nothing waits, it always is.
func (a *Admitter) Useful(now clock.Millis, request Request) bool {
	if s := a.service(request.Service); len(s.waiting) == 0 && 2*s.capacity.Requests < s.capacity.Slots {
		return true
	}
	return now.Add(a.ExpectedWait(now, request)) <= request.GiveUpAt
}

// NextRound returns the time of the next round; false if nothing waits.
func (a *Admitter) NextRound() (clock.Millis, bool) { return a.nextRound, len(a.requests) > 0 }

// Round tries to send waiting requests, if it is time: the most urgent first, and each eighth
// one in turn from the less urgent. Try reports whether the request no longer waits.
func (a *Admitter) Round(now clock.Millis, try func(request Request, turn bool) bool) {
	if len(a.requests) == 0 || now < a.nextRound {
		return
	}
	a.lastRound, a.nextRound = now, now.Add(roundInterval)
	tries := maxTries
	for _, name := range slices.Sorted(maps.Keys(a.services)) {
		if s := a.services[name]; len(s.waiting) > 0 {
			s.waitedAt = now
			tries = a.roundOf(now, s, tries, try)
		}
	}
}

// roundOf is the round of one service. It returns the tries that are left.
func (a *Admitter) roundOf(now clock.Millis, s *service, tries int, try func(request Request, turn bool) bool) int {
	failed, constrained, turnFailed := map[int]int{}, 0, false
	for _, request := range slices.Clone(s.waiting) {
		if next, due := s.nextTurn(a.levels, now); due && !turnFailed && tries > 0 {
			tries--
			if turnFailed = !try(next, true); !turnFailed {
				s.streak = 0
				s.class(next.Priority).turnAt = now
			}
		}
		if tries == 0 {
			break
		}
		if !a.Waits(request.ID) || (request.Constrained && constrained >= maxConstrainedTries) || (!request.Constrained && failed[request.Priority] >= maxFailedTries) {
			continue
		}
		tries--
		if try(request, false) {
			continue
		}
		if request.Constrained {
			constrained++
		} else {
			failed[request.Priority]++
		}
	}
	return tries
}

// nextTurn returns the waiting request that is sent before more urgent ones, of the class whose
// last turn is the longest ago. It reports false if it is no such request's turn.
func (s *service) nextTurn(levels func(clock.Millis, Request) int, now clock.Millis) (Request, bool) {
	if s.streak < turnAfter {
		return Request{}, false
	}
	var next Request
	found := false
	last := -1
	for _, request := range s.waiting {
		if request.Constrained || (last >= 0 && request.Priority == last) {
			continue
		}
		last = request.Priority
		if levels(now, request) > 0 && (!found || s.class(request.Priority).turnAt < s.class(next.Priority).turnAt) {
			next, found = request, true
		}
	}
	return next, found
}
