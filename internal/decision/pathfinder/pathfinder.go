// Package pathfinder decides by which way an instance reaches the backend servers: by its own
// connections, or through another instance that opens the connection for it (a hop).
//
// Load pattern: an instance loses its network path to some or all servers for seconds, while its
// callers and the other instances still reach it; so may most instances at the same time.
//
// That a connect fails is evidence of two facts: of the path, and of the server. This package
// keeps the first one only. A path counts as blocked after a connect that failed, until a later
// one succeeds. If connects to several servers have failed and none has succeeded since, the
// instance counts as cut off, and all paths as blocked.
//
// # Usage
//
//	paths := pathfinder.New()
//	paths.RecordConnect(now, "engine-1", beganAt, false)
//	if paths.Blocked("engine-1") {
//		hop, ok := paths.ChooseHop(now, "engine-1", hops, random)
//	}
package pathfinder

import (
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/tunnelverdict"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// minFailures is the number of servers that must be out of reach for an instance to count as
	// cut off: a single one may have crashed.
	minFailures = 2
	// checkInterval is the time between two checks of a blocked path.
	checkInterval = clock.Second
	// hopPause is the time for which an instance that can't be a hop is not asked, and
	// fullHopPause the same for one that has too many tunnels.
	hopPause     = clock.Second
	fullHopPause = 200 * clock.Millisecond
	// goodTime is the time for which an instance that was a hop is asked first, and referralTime the
	// same for one that another instance has named. At most maxGoodHops are kept.
	goodTime     = 5 * clock.Second
	referralTime = clock.Second
	maxGoodHops  = 8
	// exploreOdds is the number of choices of which one is made among all hops.
	exploreOdds = 8
	// maxHopPauses limits the pauses that are kept, for hops and for pairs of hop and server.
	maxHopPauses = 4096
)

// Hop is another instance that may open connections for this one.
type Hop struct {
	Name string
	// SameDomain reports whether it is in this instance's failure domain, and Alive whether it is
	// known to be reachable.
	SameDomain bool
	Alive      bool
}

// path is the state of the path to one server.
type path struct {
	// reachedAt and failedAt are the beginnings of the latest connects that succeeded and failed.
	reachedAt, failedAt clock.Millis
	nextCheck           clock.Millis
}

func (p path) blocked() bool { return p.failedAt > p.reachedAt }

// hopServer is a pair of a hop and a server.
type hopServer struct{ hop, server string }

// Pathfinder has the paths of one instance. It is not safe for concurrent use.
type Pathfinder struct {
	paths map[string]path
	// blocked has the servers whose paths are blocked.
	blocked map[string]bool
	// lastReached is the beginning of the latest connect to any server that succeeded, and failed
	// has the servers to which later connects failed.
	lastReached clock.Millis
	failed      map[string]bool
	// hopPauses and pairPauses are the times until which hops are not asked.
	hopPauses  map[string]clock.Millis
	pairPauses map[hopServer]clock.Millis
	// good are the times until which hops are asked first.
	good map[string]clock.Millis
}

// New returns a Pathfinder that takes all paths for open.
func New() *Pathfinder {
	return &Pathfinder{paths: map[string]path{}, blocked: map[string]bool{}, failed: map[string]bool{}, hopPauses: map[string]clock.Millis{}, pairPauses: map[hopServer]clock.Millis{}, good: map[string]clock.Millis{}}
}

// RecordConnect records a connect of this instance itself, which began at beganAt. It reports
// whether the path is newly blocked or open again.
func (p *Pathfinder) RecordConnect(now clock.Millis, server string, beganAt clock.Millis, reached bool) bool {
	known := p.paths[server]
	if reached {
		known.reachedAt = max(known.reachedAt, beganAt)
	} else {
		known.failedAt = max(known.failedAt, beganAt)
		known.nextCheck = now.Add(checkInterval)
	}
	p.paths[server] = known
	changed := p.blocked[server] != known.blocked()
	if known.blocked() {
		p.blocked[server] = true
	} else {
		delete(p.blocked, server)
	}
	switch {
	case beganAt <= p.lastReached:
	case reached:
		p.lastReached = beganAt
		p.dropEarlierFailures(now)
	default:
		p.failed[server] = true
	}
	return changed
}

// dropEarlierFailures drops the failures from before the latest success. The other paths that
// are blocked are checked soon: they may be open again, too.
func (p *Pathfinder) dropEarlierFailures(now clock.Millis) {
	for server := range p.failed {
		known := p.paths[server]
		if known.failedAt > p.lastReached {
			continue
		}
		delete(p.failed, server)
		known.nextCheck = min(known.nextCheck, now)
		p.paths[server] = known
	}
}

// CutOff reports whether this instance seems to reach no server at all.
func (p *Pathfinder) CutOff() bool { return len(p.failed) >= minFailures }

// ReachedSince reports whether a connect of this instance, begun at the time or later, reached a
// server.
func (p *Pathfinder) ReachedSince(at clock.Millis) bool { return p.lastReached >= at }

// Blocked reports whether this instance's own connections do not get to the server.
func (p *Pathfinder) Blocked(server string) bool { return p.CutOff() || p.blocked[server] }

// AllOpen reports whether no path is blocked.
func (p *Pathfinder) AllOpen() bool { return len(p.blocked) == 0 && !p.CutOff() }

// Failed reports whether this instance's latest connect to the server has failed.
func (p *Pathfinder) Failed(server string) bool { return p.blocked[server] }

// Retain forgets the servers for which keep reports false.
func (p *Pathfinder) Retain(keep func(server string) bool) {
	for server := range p.paths {
		if !keep(server) {
			p.Forget(server)
		}
	}
}

// Forget forgets a server, for example one that has started anew.
func (p *Pathfinder) Forget(server string) {
	delete(p.paths, server)
	delete(p.blocked, server)
	delete(p.failed, server)
}

// DueChecks returns the servers whose blocked paths are due for a check, sorted. The next check of
// each is due after an interval.
func (p *Pathfinder) DueChecks(now clock.Millis) []string {
	var due []string
	for server := range p.blocked {
		if now >= p.paths[server].nextCheck {
			due = append(due, server)
		}
	}
	slices.Sort(due)
	for _, server := range due {
		known := p.paths[server]
		known.nextCheck = now.Add(checkInterval)
		p.paths[server] = known
	}
	return due
}

// RecordHop records the outcome of a request for a tunnel to a server.
func (p *Pathfinder) RecordHop(now clock.Millis, hop, server string, verdict tunnelverdict.Verdict) {
	switch {
	case verdict == tunnelverdict.Reached:
		delete(p.hopPauses, hop)
		delete(p.pairPauses, hopServer{hop, server})
		p.keepGood(now, hop, goodTime)
	case verdict.ConcernsInstance():
		pause := hopPause
		if verdict == tunnelverdict.Full {
			pause = fullHopPause
		}
		if len(p.hopPauses) >= maxHopPauses {
			clear(p.hopPauses)
		}
		p.hopPauses[hop] = now.Add(pause)
		delete(p.good, hop)
	default:
		if len(p.pairPauses) >= maxHopPauses {
			clear(p.pairPauses)
		}
		p.pairPauses[hopServer{hop, server}] = now.Add(hopPause)
	}
}

// RecordReferral records that another instance has named a hop.
func (p *Pathfinder) RecordReferral(now clock.Millis, hop string) {
	if now >= p.hopPauses[hop] && now >= p.good[hop] {
		p.keepGood(now, hop, referralTime)
	}
}

func (p *Pathfinder) keepGood(now clock.Millis, hop string, duration clock.Millis) {
	maps.DeleteFunc(p.good, func(_ string, until clock.Millis) bool { return now >= until })
	if _, known := p.good[hop]; known || len(p.good) < maxGoodHops {
		p.good[hop] = max(p.good[hop], now.Add(duration))
	}
}

// GoodHop returns a hop that was used just now, to name it to another instance; empty for none.
func (p *Pathfinder) GoodHop(now clock.Millis, random uint64) string {
	names := slices.Sorted(maps.Keys(p.good))
	names = slices.DeleteFunc(names, func(hop string) bool { return now >= p.good[hop] || now < p.hopPauses[hop] })
	if len(names) == 0 {
		return ""
	}
	return names[random%uint64(len(names))]
}

// usable reports whether the hop may be asked for a tunnel to the server.
func (p *Pathfinder) usable(now clock.Millis, hop, server string) bool {
	return now >= p.hopPauses[hop] && now >= p.pairPauses[hopServer{hop, server}]
}

// HasHop reports whether one of the hops may be asked.
func (p *Pathfinder) HasHop(now clock.Millis, hops []Hop) bool {
	return slices.ContainsFunc(hops, func(hop Hop) bool { return now >= p.hopPauses[hop.Name] })
}

// ChooseHop chooses the hop for a tunnel to the server: mostly one that was used just now. Else a hop of the same failure domain is drawn
// from all of the domain, so that the few that are usable get no more than their part; if the
// drawn one is not usable, one of the usable hops of all domains is chosen, those that are known
// to be alive first. It reports false if none is usable.
func (p *Pathfinder) ChooseHop(now clock.Millis, server string, hops []Hop, random uint64) (string, bool) {
	good := slices.DeleteFunc(slices.Clone(hops), func(hop Hop) bool {
		return now >= p.good[hop.Name] || !p.usable(now, hop.Name, server)
	})
	if len(good) > 0 && random%exploreOdds != 0 {
		return good[(random/exploreOdds)%uint64(len(good))].Name, true
	}
	random /= exploreOdds
	own := slices.DeleteFunc(slices.Clone(hops), func(hop Hop) bool { return !hop.SameDomain })
	if len(own) > 0 {
		if drawn := own[random%uint64(len(own))]; drawn.Alive && p.usable(now, drawn.Name, server) {
			return drawn.Name, true
		}
	}
	usable := slices.DeleteFunc(slices.Clone(hops), func(hop Hop) bool { return !p.usable(now, hop.Name, server) })
	if alive := slices.DeleteFunc(slices.Clone(usable), func(hop Hop) bool { return !hop.Alive }); len(alive) > 0 {
		usable = alive
	}
	if len(usable) == 0 {
		return "", false
	}
	return usable[(random/uint64(max(1, len(own))))%uint64(len(usable))].Name, true
}

// Witnesses returns up to count hops to ask whether they reach a server, in random order.
func (p *Pathfinder) Witnesses(now clock.Millis, server string, hops []Hop, count int, random uint64) []string {
	var witnesses []string
	usable := slices.DeleteFunc(slices.Clone(hops), func(hop Hop) bool { return !hop.Alive || !p.usable(now, hop.Name, server) })
	for len(usable) > 0 && len(witnesses) < count {
		index := int(random % uint64(len(usable)))
		random = random/uint64(len(usable)) + random<<7
		witnesses = append(witnesses, usable[index].Name)
		usable = slices.Delete(usable, index, index+1)
	}
	return witnesses
}
