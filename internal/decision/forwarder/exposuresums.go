package forwarder

import (
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/digest"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/exposurekeeper"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// unknownOrderTime is the time for which an order is passed on that this instance knows only from
// digests: its copies of the store's objects arrive by then.
const unknownOrderTime = 30 * clock.Second

// exposureContact is the time between two digests of a neighbor within which what it has
// counted in between is added: at the top level, digests are up to a second apart, and some
// are lost.
const exposureContact = 3 * clock.Second

// orderState is what all instances share of an order.
type orderState struct {
	// seenAt is the time at which the first instance saw the order, and receivedAt that at which
	// this one first received it.
	seenAt, receivedAt clock.Millis
	phase              exposurekeeper.Phase
	movingSince        clock.Millis
}

// enter records a phase, and for how long the traffic has been moving.
func (s *orderState) enter(now clock.Millis, phase exposurekeeper.Phase, movingFor clock.Millis) {
	s.phase = max(s.phase, phase)
	if began := now.Add(-movingFor); phase == exposurekeeper.Move && (s.movingSince == 0 || began < s.movingSince) {
		s.movingSince = began
	}
}

// exposureSums has what other instances have counted of the roll-outs, by order.
type exposureSums struct {
	orders map[uint32]*orderState
	// below and elsewhere are the counts of instances in this one's subtree and of all
	// others, since this instance knows them.
	below, elsewhere map[uint32]digest.ExposureSums
	received         map[string]receivedExposures
}

// receivedExposures are the latest sums of a neighbor. Counted reports whether those of an
// upstream contain this instance's own.
type receivedExposures struct {
	incarnation uint32
	role        role
	counted     bool
	at          clock.Millis
	sums        map[uint32]digest.ExposureSums
}

func newExposureSums() exposureSums {
	return exposureSums{orders: map[uint32]*orderState{}, below: map[uint32]digest.ExposureSums{}, elsewhere: map[uint32]digest.ExposureSums{}, received: map[string]receivedExposures{}}
}

// see records an order, its age and its phase.
func (s *exposureSums) see(now clock.Millis, seen digest.Exposure) {
	state, known := s.orders[seen.Order]
	if !known {
		state = &orderState{seenAt: now, receivedAt: now}
		s.orders[seen.Order] = state
	}
	state.seenAt = min(state.seenAt, now.Add(-seen.Age))
	state.enter(now, seen.Phase, seen.MovingFor)
}

// mergeExposures records what a neighbor and those that it speaks for have counted. Own is
// this instance's share of the sums, and counted whether they contain it.
func (f *Forwarder) mergeExposures(message digest.Digest, own map[uint32]digest.ExposureSums, counted bool) {
	if !f.followsRollouts {
		return
	}
	n := f.neighbors[message.Name]
	last, known := f.exposureSums.received[message.Name]
	// What a neighbor counted while it was not in contact may have arrived by others, and an
	// upstream that starts anew no longer contains all of this instance's own counts.
	continues := known && last.role == n.role && last.counted == counted && f.now.Since(last.at) < exposureContact
	if last.incarnation != message.Incarnation {
		continues = continues && n.role != upstream
		last.sums = nil
	}
	latest := receivedExposures{incarnation: message.Incarnation, role: n.role, counted: counted, at: f.now}
	if len(message.Exposures) > 0 {
		latest.sums = make(map[uint32]digest.ExposureSums, len(message.Exposures))
	}
	totals := f.exposureSums.elsewhere
	if n.role == below {
		totals = f.exposureSums.below
	}
	for _, received := range message.Exposures {
		state, heard := f.exposureSums.orders[received.Order]
		before := exposurekeeper.Trial
		if heard {
			before = state.phase
		}
		f.exposureSums.see(f.now, received)
		if received.Phase > before {
			f.nextExposure = 0
			f.expediteRelay()
		}
		sums := received.Sums.Plus(own[received.Order], -1)
		latest.sums[received.Order] = sums
		if continues {
			totals[received.Order] = totals[received.Order].Plus(sums, 1).Plus(last.sums[received.Order], -1)
		}
	}
	f.exposureSums.received[message.Name] = latest
	f.forgetExposures()
}

// forgetExposures drops the counts of orders that are not in the store, and those of
// neighbors that are gone.
func (f *Forwarder) forgetExposures() {
	if len(f.exposureSums.orders) == 0 {
		return
	}
	current := map[uint32]bool{}
	for _, e := range f.exposures {
		current[e.id] = true
	}
	for id, state := range f.exposureSums.orders {
		if !current[id] && f.now.Since(state.receivedAt) > 2*unknownOrderTime {
			delete(f.exposureSums.orders, id)
			delete(f.exposureSums.below, id)
			delete(f.exposureSums.elsewhere, id)
		}
	}
	maps.DeleteFunc(f.exposureSums.received, func(_ string, received receivedExposures) bool { return f.now.Since(received.at) > neighborTimeout })
}

// sharedOrders returns the orders that are passed on, sorted: those in progress, and those
// that this instance has received lately.
func (f *Forwarder) sharedOrders() []uint32 {
	ended := map[uint32]bool{}
	for _, e := range f.exposures {
		ended[e.id] = e.final != exposurekeeper.Continue
	}
	var ids []uint32
	for id, state := range f.exposureSums.orders {
		if final, known := ended[id]; (known && !final) || (!known && f.now.Since(state.receivedAt) < unknownOrderTime) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// ownExposure returns what this instance has counted itself.
func (f *Forwarder) ownExposure(id uint32) digest.ExposureSums {
	for _, e := range f.exposures {
		if e.id == id {
			own := e.own
			own.OldRunning = f.oldRunning(e)
			return own
		}
	}
	return digest.ExposureSums{}
}

// subtreeExposures returns the sums over this instance and those below it, by order.
func (f *Forwarder) subtreeExposures() map[uint32]digest.ExposureSums {
	sums := map[uint32]digest.ExposureSums{}
	for _, id := range f.sharedOrders() {
		sums[id] = f.withCounts(f.ownExposure(id), f.exposureSums.below[id], id, below)
	}
	return sums
}

// allExposures returns the sums over all instances that this one knows of, by order.
func (f *Forwarder) allExposures() map[uint32]digest.ExposureSums {
	sums := f.subtreeExposures()
	for id := range sums {
		sums[id] = f.withCounts(sums[id], f.exposureSums.elsewhere[id], id, top, upstream)
	}
	return sums
}

// allExposure returns the sums over all instances of one roll-out.
func (f *Forwarder) allExposure(e *exposure) digest.ExposureSums {
	sums := f.withCounts(f.ownExposure(e.id), f.exposureSums.below[e.id], e.id, below)
	return f.withCounts(sums, f.exposureSums.elsewhere[e.id], e.id, top, upstream)
}

// withCounts adds the counts, and the requests that run at the reachable neighbors in the roles.
func (f *Forwarder) withCounts(sums, counts digest.ExposureSums, id uint32, roles ...role) digest.ExposureSums {
	counts.OldRunning = 0
	for name, received := range f.exposureSums.received {
		if n, ok := f.neighbors[name]; ok && n.role == received.role && n.reachable(f.now) && slices.Contains(roles, n.role) {
			counts.OldRunning += max(0, received.sums[id].OldRunning)
		}
	}
	return sums.Plus(counts, 1)
}

// exposuresOf returns the sums as they are sent.
func (f *Forwarder) exposuresOf(sums map[uint32]digest.ExposureSums) []digest.Exposure {
	var exposures []digest.Exposure
	for _, id := range slices.Sorted(maps.Keys(sums)) {
		state := f.exposureSums.orders[id]
		shared := digest.Exposure{Order: id, Age: f.now.Since(state.seenAt), Phase: state.phase, Sums: sums[id]}
		if state.phase == exposurekeeper.Move {
			shared.MovingFor = f.now.Since(state.movingSince)
		}
		exposures = append(exposures, shared)
	}
	return exposures
}
