// Package cachetracker decides when an instance reads which prompt parts a server
// has cached, and keeps track of how far it has read. Each server numbers the changes
// of its cache; a reading has those after the last one known.
//
// One instance reads a server at a time, and tells the others what it read. They read
// for themselves only where they have missed something, or have heard nothing for
// long: an instance that is cut off from the others, or has just started, does not
// depend on them.
//
// Load pattern: prompts share more parts than the engines can keep, so that parts are
// dropped all the time; and whole fleets restart while the engines go on.
//
// # Usage
//
//	for _, read := range caches.Due(now, servers, turn) {
//		ask(read)
//	}
//	switch caches.Read(now, reading) { ... }
//	switch caches.Told(now, server, news.Reading()) { ... }
package cachetracker

import "github.com/hyssopdoor/hyssopdoor/pkg/clock"

const (
	// readEvery is the time between two readings of a server: half of the time for
	// which a part that was sent there counts as there in any case.
	readEvery = clock.Second
	// turnEvery is how much later the next instance reads, when the one before it has
	// told nothing: a reading that waits for changes, and a digest.
	turnEvery = 1500 * clock.Millisecond
	// lastTurn bounds the turns.
	lastTurn = 3
	// readTimeout is after how long a reading without an outcome is given up.
	readTimeout = 3 * clock.Second
	// failedRest is the rest after a failed reading: the server may be down.
	failedRest = 2 * clock.Second
	// maxNews bounds the changes that the others are told of one reading; of more they
	// read for themselves.
	maxNews = 96
)

// Server is a server with a cache.
type Server struct {
	ID      string
	Address string
}

// Read is a reading to make: of all that the server has, or of the changes after Since.
type Read struct {
	Server  string
	Address string
	All     bool
	Since   int64
}

// Change is what the server has of a part now; 0 tokens when it has dropped it.
type Change struct {
	Key    uint64
	Tokens int64
}

// Reading is what a server said: all that it has, or the changes after Since.
type Reading struct {
	All   bool
	Since int64
	// Epoch differs for each start of the server.
	Epoch int64
	// Next is the number of the last change.
	Next int64
	// Lost tells that changes between are not known.
	Lost    bool
	Changes []Change
}

// Verdict is what a reading is good for.
type Verdict int

// The verdicts.
const (
	// Stale means that it tells nothing new.
	Stale Verdict = iota
	// GoesOn means that it follows what is known.
	GoesOn
	// Anew means that nothing of what was known of the cache holds any more.
	Anew
)

// CacheTracker is one instance's view. It is not safe for concurrent use.
type CacheTracker struct {
	servers map[string]*position
}

// position is how far a server has been read.
type position struct {
	address string
	known   bool
	epoch   int64
	next    int64
	// at is when the latest reading was made here or told.
	at clock.Millis
	// since is when a reading that is under way was begun; 0 for none.
	since clock.Millis
	// behind tells that something was missed, so that it is read without a turn.
	behind bool
	// rest is until when the server is left alone after a failed reading.
	rest clock.Millis
}

// New returns a CacheTracker that knows no server.
func New() *CacheTracker { return &CacheTracker{servers: map[string]*position{}} }

// Due returns the readings that are due. Turn tells in which place this instance reads
// a server; 0 is the first.
func (c *CacheTracker) Due(now clock.Millis, servers []Server, turn func(server string) int) []Read {
	present := make(map[string]bool, len(servers))
	var reads []Read
	for _, server := range servers {
		present[server.ID] = true
		p, ok := c.servers[server.ID]
		if !ok || p.address != server.Address {
			p = &position{address: server.Address}
			c.servers[server.ID] = p
		}
		if !p.due(now, func() int { return turn(server.ID) }) {
			continue
		}
		p.since = now
		reads = append(reads, Read{Server: server.ID, Address: server.Address, All: !p.known, Since: p.next})
	}
	for id := range c.servers {
		if !present[id] {
			delete(c.servers, id)
		}
	}
	return reads
}

func (p *position) due(now clock.Millis, turn func() int) bool {
	switch {
	case p.since > 0 && now.Since(p.since) < readTimeout, now < p.rest:
		return false
	case !p.known, p.behind:
		return true
	case now.Since(p.at) < readEvery:
		return false
	}
	return now.Since(p.at) >= readEvery+turnEvery*clock.Millis(min(lastTurn, turn()))
}

// Read takes in an own reading.
func (c *CacheTracker) Read(now clock.Millis, server string, reading Reading) Verdict {
	p, ok := c.servers[server]
	if !ok {
		return Stale
	}
	p.since = 0
	if !reading.All && reading.Epoch != p.epoch {
		// What the server had before its restart does not hold; all that it has had
		// since then is read next.
		p.known, p.next, p.behind = false, 0, false
		return Anew
	}
	return p.take(now, reading)
}

// take goes on to what the reading knows.
func (p *position) take(now clock.Millis, reading Reading) Verdict {
	anew := reading.All || reading.Lost
	if !anew && reading.Next < p.next {
		return Stale
	}
	news := reading.Next > p.next
	p.known, p.behind, p.at = true, false, now
	p.epoch, p.next = reading.Epoch, reading.Next
	switch {
	case anew:
		return Anew
	case news:
		return GoesOn
	default:
		return Stale
	}
}

// Failed takes in that an own reading failed.
func (c *CacheTracker) Failed(now clock.Millis, server string) {
	if p, ok := c.servers[server]; ok {
		p.since, p.rest = 0, now.Add(failedRest)
	}
}

// Forget drops what is known of a server that has crashed.
func (c *CacheTracker) Forget(server string) { delete(c.servers, server) }

// Told takes in what another instance has read. Where it does not follow what is
// known here, the server is read.
func (c *CacheTracker) Told(now clock.Millis, server string, reading Reading) Verdict {
	p, ok := c.servers[server]
	if !ok || !p.known {
		return Stale
	}
	if p.epoch != reading.Epoch || reading.Lost || reading.Since > p.next {
		p.behind = true
		return Stale
	}
	return p.take(now, reading)
}

// Worth reports whether the others can use the reading: one of all, and one with more
// changes than a digest takes, they make themselves.
func (r Reading) Worth() bool { return !r.All && !r.Lost && len(r.Changes) <= maxNews }
