package admitter

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/balancer"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// reserveDivisor is the part of the slots and of the memory that a request leaves free for
	// each more urgent priority. Two of 16 slots start an urgent request at once while a slot
	// becomes free every 30 ms.
	reserveDivisor = 8
	// maxReservedLevels limits the priorities for which a part is left free.
	maxReservedLevels = 2
	// maxQueueDivisor limits the requests that queue at a server, as a part of its slots.
	maxQueueDivisor = 4
	// targetDivisor is the part of its target time that a less urgent request may spend in the
	// queue for the reading of prompts.
	targetDivisor = 2
	// offersPerSlot is the number of instances to which a free slot is offered at once. Some of
	// them have nothing that waits; the others may send too much by that number less one.
	offersPerSlot = 1
	// contendedTime is the time after which slots are free for all again when nothing waits.
	contendedTime = clock.Second
)

// Server is a server as a request would find it.
type Server struct {
	ID string
	// Slots is the number of requests that it runs at once; 0 if unknown.
	Slots    int
	Requests int
	// QueueMs is the time in milliseconds that it takes to read the prompts ahead.
	QueueMs float64
	// MemoryTokens is its memory in tokens, 0 if unknown, and NeededTokens are those that it
	// needs for the present requests and this one.
	MemoryTokens int64
	NeededTokens int64
}

// Admits reports whether the request may be sent to the server now.
func (a *Admitter) Admits(now clock.Millis, request Request, server Server) bool {
	return a.admits(now, request, server, a.levels(now, request))
}

// AdmitsTurn reports the same for a request whose turn it is. It leaves nothing free for more
// urgent ones.
func (a *Admitter) AdmitsTurn(now clock.Millis, request Request, server Server) bool {
	return a.admits(now, request, server, 0)
}

func (a *Admitter) admits(now clock.Millis, request Request, server Server, levels int) bool {
	if server.Slots == 0 {
		return true
	}
	s := a.service(request.Service)
	known := s.servers[server.ID].at(now)
	if known.rejectedAt > 0 && now.Since(known.rejectedAt) < loadAge {
		return false
	}
	if server.Requests == 0 {
		return true
	}
	free := s.limit(server.Slots, request.Priority, levels) - server.Requests - int(s.hiddenAt(now)*float64(server.Slots))
	if free <= 0 {
		return false
	}
	if memory := server.MemoryTokens - server.MemoryTokens*int64(levels)/reserveDivisor; server.MemoryTokens > 0 && server.NeededTokens > memory {
		return false
	}
	if levels > 0 && server.QueueMs > float64(max(loadAge, request.Target/targetDivisor)) {
		return false
	}
	return known.freed > 0 || !s.contended(now) || known.sent < a.part(now, server.ID, (free+known.sent)*offersPerSlot)
}

// limit returns the number of requests that a server may have for another one of the priority
// to be sent there.
func (s *service) limit(slots, priority, levels int) int {
	if levels > 0 {
		return max(slots/2, slots-levels*max(1, slots/reserveDivisor))
	}
	// As many requests queue as end before this instance learns of it.
	ends := float64(slots) * float64(loadAge) / max(1, s.class(priority).durationMs)
	return slots + max(1, min(slots/maxQueueDivisor, int(ends)))
}

// levels returns the number of more urgent priorities for which capacity is left free.
func (a *Admitter) levels(now clock.Millis, request Request) int {
	levels := 0
	for priority, c := range a.service(request.Service).classes {
		if priority < request.Priority && c.arrivedAt > 0 && now.Since(c.arrivedAt) < urgentMemory {
			levels++
		}
	}
	return min(levels, maxReservedLevels)
}

// part returns the part of the offers of a server's slots that this instance may use in the
// present period. Offers that can't be divided go to other instances in each period.
func (a *Admitter) part(now clock.Millis, server string, offers int) int {
	instances := uint64(a.instances)
	offset := balancer.Rendezvous(uint64(now/loadAge), server) % instances
	part := offers / a.instances
	if (uint64(a.rank)+offset)%instances < uint64(offers%a.instances) {
		part++
	}
	return part
}

// contended reports whether requests wait, or have waited or been rejected a moment ago. Then
// the slots that become free are divided among the instances.
func (s *service) contended(now clock.Millis) bool {
	return len(s.waiting) > 0 || (s.waitedAt > 0 && now.Since(s.waitedAt) < contendedTime)
}
