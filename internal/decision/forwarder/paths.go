package forwarder

import (
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/digest"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/pathfinder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/registry"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/relayer"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/tunnelverdict"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// maxWitnesses is the number of other instances that are asked whether they reach a server.
	maxWitnesses = 3
	// suspicionTimeout is the time after which missing answers of witnesses are not awaited any
	// more: that of a connect through another instance.
	suspicionTimeout = 700 * clock.Millisecond
	// controlInterval is the shortest time between two connects to other servers after a failure,
	// which show whether this instance is cut off.
	controlInterval = 100 * clock.Millisecond
	// cutOffCheckInterval is the time between two of them while it is cut off.
	cutOffCheckInterval = 300 * clock.Millisecond
	// controlProbes is the number of servers to which it connects then: some may have crashed
	// at the same time.
	controlProbes = 3
	// hopCost is the cost of a tunnel in milliseconds: another round trip.
	hopCost = 5.0
	// maxUnsent limits the attempts of a request of which nothing was sent.
	maxUnsent = 8
	// relayedCheckOdds is the number of checks of a server that is down of which one is made
	// through another instance as well.
	relayedCheckOdds = 4
)

// Hop is the instance through which a server is reached, with its peer address. The zero Hop
// stands for a connection of this instance itself.
type Hop struct {
	Instance string
	Address  string
}

// Direct reports whether no other instance is used.
func (h Hop) Direct() bool { return h.Instance == "" }

// way is how an attempt was sent.
type way struct {
	hop     Hop
	beganAt clock.Millis
	// startedAt is the start of the server as it was listed.
	startedAt int64
}

// suspicion is a server that this instance could not reach, while other instances are asked
// whether they do.
type suspicion struct {
	// gone reports whether the connection was refused.
	gone     bool
	deadline clock.Millis
	// missing are the witnesses that have not answered.
	missing map[string]bool
	// reached, refused and timedOut count those that have observed the server.
	reached, refused, timedOut int
}

// hops returns the instances that may open connections for this one, in a fixed order.
func (f *Forwarder) hops() []pathfinder.Hop {
	hops := make([]pathfinder.Hop, 0, len(f.peers))
	for _, id := range slices.Sorted(maps.Keys(f.peers)) {
		known := f.peers[id]
		// In a large cluster it is not known of the instances of other domains whether they run.
		alive := known.alive(f.now) || (!f.arrangement.Flat() && known.Domain != f.settings.Domain)
		if n, ok := f.neighbors[known.name]; ok && n.leaving {
			continue
		}
		hops = append(hops, pathfinder.Hop{Name: known.name, SameDomain: known.Domain == f.settings.Domain, Alive: alive})
	}
	return hops
}

func (f *Forwarder) hopNamed(name string) Hop {
	return Hop{Instance: name, Address: f.peers[digest.ID(name)].Address}
}

// hasWay reports whether requests can be sent to the server, by a connection of this instance or
// through another one. hasHop reports whether there is another one, as hasHop returns it.
func (f *Forwarder) hasWay(server string, hasHop bool) bool {
	return hasHop || !f.paths.Failed(server) && (len(f.peers) == 0 || !f.paths.CutOff())
}

func (f *Forwarder) hasHop() bool { return f.paths.HasHop(f.now, f.hops()) }

// wayTo returns how to reach the server now.
func (f *Forwarder) wayTo(server string) Hop {
	if !f.paths.Blocked(server) {
		return Hop{}
	}
	name, ok := f.paths.ChooseHop(f.now, server, f.hops(), f.random())
	if !ok {
		return Hop{}
	}
	return f.hopNamed(name)
}

// recordConnect records whether a connect of this instance reached the server.
func (f *Forwarder) recordConnect(server string, beganAt clock.Millis, reached bool) {
	cutOff := f.paths.CutOff()
	if f.paths.RecordConnect(f.now, server, beganAt, reached) {
		number := eventlog.PathBlocked
		if reached {
			number = eventlog.PathOpen
		}
		f.log(eventlog.New(number, "").With("server", server))
	}
	if f.paths.CutOff() != cutOff {
		f.nextControl = f.now
		f.log(eventlog.New(eventlog.CutOffChanged, "").With("cutOff", !cutOff))
	}
}

// recordUnreachable records that a connect of this instance to a server has failed. The server is
// reached through other instances from now on. They are asked whether it is the server that
// can't be reached.
func (f *Forwarder) recordUnreachable(id string, gone bool, beganAt clock.Millis) {
	f.recordConnect(id, beganAt, false)
	f.probeControl(id)
	server, ok := f.servers.Server(id)
	switch {
	case !ok:
	case !server.Down():
		f.suspect(id, gone)
	default:
		f.servers.MarkUnreachable(f.now, id)
		if gone && server.Unanswered() {
			f.suspect(id, true)
		}
	}
}

// probeControl connects to some servers that have not failed, to learn whether this instance is
// cut off.
func (f *Forwarder) probeControl(failed string) {
	if f.now < f.nextControl || f.paths.CutOff() {
		return
	}
	f.nextControl = f.now.Add(controlInterval)
	f.probeSome(controlProbes, func(server registry.Server) bool { return server.ID != failed && !f.paths.Failed(server.ID) })
}

// probeSome connects to some of the servers that fulfill the condition and may get requests.
func (f *Forwarder) probeSome(count int, condition func(registry.Server) bool) {
	others := slices.DeleteFunc(slices.Clone(f.servers.All()), func(server registry.Server) bool {
		return server.Down() || server.Paused(f.now) || !server.AcceptsRequests() || !condition(server)
	})
	for range min(count, len(others)) {
		index := int(f.jitter(int64(len(others))))
		f.controls[others[index].ID] = f.now
		f.emitProbe(others[index], Hop{})
		others = slices.Delete(others, index, index+1)
	}
}

func (f *Forwarder) emitProbe(server registry.Server, hop Hop) {
	f.emit(ProbePath{Server: server.ID, Address: server.Address, StartedAt: server.StartedAt, Via: hop, BeganAt: f.now})
}

// suspect asks other instances whether they reach a server. If there are none, what this instance
// has seen decides.
func (f *Forwarder) suspect(id string, gone bool) {
	server, ok := f.servers.Server(id)
	if !ok {
		return
	}
	if pending, ok := f.suspicions[id]; ok {
		pending.gone = pending.gone || gone
		return
	}
	if f.paths.CutOff() && len(f.peers) > 0 {
		// Requests that go through other instances show whether the server can be reached.
		f.findHop(server)
		return
	}
	witnesses := f.paths.Witnesses(f.now, id, f.hops(), maxWitnesses, f.random())
	if len(witnesses) == 0 {
		if len(f.peers) == 0 || !f.paths.CutOff() {
			f.concludeUnreachable(id, gone)
		}
		return
	}
	pending := &suspicion{gone: gone, deadline: f.now.Add(suspicionTimeout), missing: map[string]bool{}}
	f.suspicions[id] = pending
	for _, name := range witnesses {
		pending.missing[name] = true
		f.emitProbe(server, f.hopNamed(name))
	}
}

// findHop asks some other instances for a connection to the server, if none is known that opens one.
func (f *Forwarder) findHop(server registry.Server) {
	if f.now < f.nextHopSearch || f.paths.GoodHop(f.now, 0) != "" {
		return
	}
	f.nextHopSearch = f.now.Add(controlInterval)
	for _, name := range f.paths.Witnesses(f.now, server.ID, f.hops(), maxWitnesses, f.random()) {
		f.emitProbe(server, f.hopNamed(name))
	}
}

// handlePathProbed handles the outcome of a connect without a request.
func (f *Forwarder) handlePathProbed(probed PathProbed) {
	if probed.Via.Direct() {
		reached := probed.Verdict == tunnelverdict.Reached
		if f.controls[probed.Server] == probed.BeganAt {
			delete(f.controls, probed.Server)
		}
		f.recordConnect(probed.Server, probed.BeganAt, reached)
		if !reached {
			f.probeControl(probed.Server)
		}
		if server, ok := f.servers.Server(probed.Server); !reached && ok && !server.Down() {
			f.suspect(probed.Server, probed.Verdict == tunnelverdict.Refused)
		}
		return
	}
	f.recordHop(probed.Via, probed.Server, probed.Verdict, probed.Referral)
	server, ok := f.servers.Server(probed.Server)
	if !ok || server.StartedAt != probed.StartedAt {
		return
	}
	pending, asked := f.suspicions[probed.Server]
	if asked && pending.missing[probed.Via.Instance] {
		delete(pending.missing, probed.Via.Instance)
		pending.count(probed.Verdict)
		f.decideSuspicion(probed.Server)
		return
	}
	if probed.Verdict == tunnelverdict.Reached && server.Down() {
		f.recordReached(server)
	}
}

func (s *suspicion) count(verdict tunnelverdict.Verdict) {
	switch verdict {
	case tunnelverdict.Reached:
		s.reached++
	case tunnelverdict.Refused:
		s.refused++
	case tunnelverdict.Unanswered:
		s.timedOut++
	}
}

// decideSuspicion decides whether a server is down, once that is known.
func (f *Forwarder) decideSuspicion(id string) {
	pending := f.suspicions[id]
	switch {
	case pending.reached > 0:
		delete(f.suspicions, id)
		f.endCrashChecks(id, false)
	case len(pending.missing) > 0 && f.now < pending.deadline:
	default:
		delete(f.suspicions, id)
		if pending.refused+pending.timedOut > 0 {
			f.concludeUnreachable(id, pending.refused > 0 || (pending.gone && pending.timedOut == 0))
		}
	}
}

// endSuspicions decides about the servers whose witnesses do not answer.
func (f *Forwarder) endSuspicions() {
	for _, id := range slices.Sorted(maps.Keys(f.suspicions)) {
		if f.now >= f.suspicions[id].deadline {
			f.decideSuspicion(id)
		}
	}
}

// concludeUnreachable records that a server can't be reached, which is avoided until its next
// health check. Only a server that is gone has crashed: a sound one whose queue of new connections
// is full can't be reached either.
func (f *Forwarder) concludeUnreachable(id string, gone bool) {
	f.doubtStart(id)
	if gone {
		if f.servers.MarkGone(f.now, id) {
			f.handleServerCrash(id)
		}
		return
	}
	if f.servers.MarkUnreachable(f.now, id) {
		f.suspectServer(id, false)
	}
}

// recordHop records the outcome of a request for a tunnel, and the instance that was named instead;
// empty for none.
func (f *Forwarder) recordHop(hop Hop, server string, verdict tunnelverdict.Verdict, referral string) {
	f.paths.RecordHop(f.now, hop.Instance, server, verdict)
	if _, listed := f.peers[digest.ID(referral)]; listed && referral != "" {
		f.paths.RecordReferral(f.now, referral)
	}
}

// recordWay records what the end of an attempt shows about the way by which it was sent. It
// reports whether the request may be sent to the same server by another way.
func (f *Forwarder) recordWay(fl *flight, event AttemptEnded, server string) bool {
	used, ok := fl.ways[event.Attempt]
	if !ok {
		return false
	}
	delete(fl.ways, event.Attempt)
	unsent := event.Outcome == OutcomeNotSent
	if unsent {
		fl.unsent++
	}
	switch {
	case event.Outcome == OutcomeExpired:
		// This instance was paused, which says nothing about the way.
		fl.unsent++
		return true
	case used.hop.Direct() && unsent:
		f.recordUnreachable(server, event.ConnectionRefused, used.beganAt)
		return true
	case used.hop.Direct():
		f.recordConnect(server, used.beganAt, true)
		return false
	case !unsent:
		f.recordHop(used.hop, server, tunnelverdict.Reached, "")
		return false
	case event.Verdict.ObservesServer():
		f.recordHop(used.hop, server, event.Verdict, event.Referral)
		f.suspect(server, event.Verdict == tunnelverdict.Refused)
		return false
	default:
		f.recordHop(used.hop, server, event.Verdict, event.Referral)
		return true
	}
}

// checkBlockedPaths checks the blocked paths that are due. While this instance is cut off, it
// connects to any servers instead, also to one that has not failed: the others may have crashed.
func (f *Forwarder) checkBlockedPaths() {
	if f.paths.CutOff() {
		if f.now >= f.nextControl {
			f.nextControl = f.now.Add(cutOffCheckInterval)
			f.probeSome(1, func(server registry.Server) bool { return !f.paths.Failed(server.ID) })
			f.probeSome(1, func(registry.Server) bool { return true })
		}
		return
	}
	for _, id := range f.paths.DueChecks(f.now) {
		server, ok := f.servers.Server(id)
		switch {
		case !ok:
			f.paths.Forget(id)
		case !server.Down() && !server.Paused(f.now):
			f.emitProbe(server, Hop{})
		}
	}
}

// checkDownServer checks a server that is down, also through another instance where the path of
// this one may be blocked.
func (f *Forwarder) checkDownServer(server registry.Server) {
	f.emitHealthCheck(server)
	if !f.paths.CutOff() && f.jitter(relayedCheckOdds) != 0 {
		return
	}
	if name, ok := f.paths.ChooseHop(f.now, server.ID, f.hops(), f.random()); ok {
		f.emitProbe(server, f.hopNamed(name))
	}
}

// recordReached records that a server that was down can be reached.
func (f *Forwarder) recordReached(server registry.Server) {
	f.servers.RecordResult(f.now, server.ID, false)
	f.recoveredNotices.Add(f.now, server.ID, relayer.Own)
	f.logRecovered(server.ID, ownObservation)
	if f.paths.Failed(server.ID) {
		f.emitProbe(server, Hop{})
	}
}

// random returns a pseudo-random number.
func (f *Forwarder) random() uint64 { return uint64(f.jitter(1 << 62)) }
