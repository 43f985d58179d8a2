// Package cachetracker schedules the reads of the servers' lists of cached prompt parts,
// and tracks the position up to which each server was read. A server numbers the changes
// of its cache; a read returns those after the last one known.
//
// One instance reads a server at a time and broadcasts the changes to its peers. A peer
// that is a reader as well reads the server itself only if it has missed changes, or has
// received nothing for some time, so that an instance which has just started, or is
// partitioned from the others, does not depend on them. In a large cluster few instances
// are readers of a server. The others use the changes that they receive, even if some are
// missing: they know less of its cache then, and the readers are not asked again.
//
// Load pattern: prompts share more parts than the engines can cache, so that parts are
// evicted all the time; and all instances restart together while the engines keep
// running.
//
// # Usage
//
//	for _, request := range caches.Due(now, servers, rank) {
//		send(request)
//	}
//	switch caches.RecordRead(now, server, result) { ... }
//	switch caches.ReceiveDelta(now, server, delta.Result()) { ... }
package cachetracker

import "github.com/hyssopdoor/hyssopdoor/pkg/clock"

const (
	// readInterval is the time between two reads of a server. It is shorter than the
	// time for which a part that was sent there counts as cached without a report.
	readInterval = clock.Second
	// rankDelay is the additional delay for each rank. It allows for the time that the
	// instance of the previous rank may wait for changes in its read, and then for its
	// next broadcast.
	rankDelay = 1500 * clock.Millisecond
	// maxRank is the rank from which the delay no longer grows.
	maxRank = 3
	// readTimeout is the time after which a read without an outcome is abandoned.
	readTimeout = 3 * clock.Second
	// failureBackoff is the pause after a failed read: the server may be down.
	failureBackoff = 2 * clock.Second
	// maxDeltaChanges bounds the changes of one read that are broadcast; with more, the
	// peers read the server themselves.
	maxDeltaChanges = 96
)

// Server is a server with a cache.
type Server struct {
	ID      string
	Address string
	// StartedAt is the server's start as it is listed.
	StartedAt int64
	// Paused reports whether it must not be read now.
	Paused bool
}

// ReadRequest is a read to make: of the full cache, or of the changes after Since.
type ReadRequest struct {
	Server    string
	Address   string
	StartedAt int64
	Full      bool
	Since     int64
}

// Change is the number of tokens that the server has cached of a part; 0 after an
// eviction.
type Change struct {
	Key    uint64
	Tokens int64
}

// ReadResult is a server's response: its full cache, or the changes after Since.
type ReadResult struct {
	Full  bool
	Since int64
	// Epoch differs for each start of the server.
	Epoch int64
	// LastChange is the number of the last change.
	LastChange int64
	// ChangesLost is set if some changes after Since are missing.
	ChangesLost bool
	Changes     []Change
}

// Action is the required use of the changes of a read result.
type Action int

// The actions.
const (
	// Ignore means that the result has nothing new.
	Ignore Action = iota
	// Apply means that the changes continue the known state of the cache.
	Apply
	// Reset means that the known state of the cache is invalid and must be dropped
	// before the changes are applied.
	Reset
)

// CacheTracker is one instance's view of all servers. It is not safe for concurrent use.
type CacheTracker struct {
	servers map[string]*serverState
}

// serverState is the position up to which a server was read.
type serverState struct {
	address    string
	synced     bool // synced is false until the full cache was read.
	epoch      int64
	lastChange int64
	// lastRead is the time of the latest read by this instance or by a peer.
	lastRead clock.Millis
	// readStarted is the start of the read in progress; 0 for none.
	readStarted clock.Millis
	// changesMissed is set if the server must be read without the delay of the rank.
	changesMissed bool
	// backoffUntil is the end of the pause after a failed read.
	backoffUntil clock.Millis
	// reader is set if this instance reads the server if its peers don't, as of
	// rankKnownAt.
	reader      bool
	rankKnownAt clock.Millis
}

// New returns a CacheTracker without servers.
func New() *CacheTracker { return &CacheTracker{servers: map[string]*serverState{}} }

// NotReader is the rank of an instance that does not read a server.
const NotReader = -1

// Due returns the reads that are due. Rank returns the position of this instance in
// the order in which the instances read a server; 0 is the first.
func (c *CacheTracker) Due(now clock.Millis, servers []Server, rank func(server string) int) []ReadRequest {
	present := make(map[string]bool, len(servers))
	var requests []ReadRequest
	for _, server := range servers {
		present[server.ID] = true
		state, ok := c.servers[server.ID]
		if !ok || state.address != server.Address {
			state = &serverState{address: server.Address, reader: true}
			c.servers[server.ID] = state
		}
		if server.Paused || !state.due(now, func() int { return rank(server.ID) }) {
			continue
		}
		state.readStarted = now
		requests = append(requests, ReadRequest{Server: server.ID, Address: server.Address, StartedAt: server.StartedAt, Full: !state.synced, Since: state.lastChange})
	}
	for id := range c.servers {
		if !present[id] {
			delete(c.servers, id)
		}
	}
	return requests
}

func (s *serverState) due(now clock.Millis, rank func() int) bool {
	switch {
	case s.readStarted > 0 && now.Since(s.readStarted) < readTimeout, now < s.backoffUntil:
		return false
	case s.synced && !s.changesMissed && now.Since(s.lastRead) < readInterval:
		return false
	case !s.reader && now.Since(s.rankKnownAt) < readInterval:
		return false
	}
	position := rank()
	s.reader, s.rankKnownAt = position != NotReader, now
	if !s.reader {
		return false
	}
	return !s.synced || s.changesMissed || now.Since(s.lastRead) >= readInterval+rankDelay*clock.Millis(min(maxRank, position))
}

// RecordRead records the result of a read by this instance.
func (c *CacheTracker) RecordRead(now clock.Millis, server string, result ReadResult) Action {
	state, ok := c.servers[server]
	if !ok {
		return Ignore
	}
	state.readStarted = 0
	if !result.Full && result.Epoch != state.epoch {
		// The server has restarted, so that its earlier state is invalid. The next read
		// is of the full cache.
		state.synced, state.lastChange, state.changesMissed = false, 0, false
		return Reset
	}
	return state.advance(now, result)
}

// advance moves the position to the last change of the result, unless it is older.
func (s *serverState) advance(now clock.Millis, result ReadResult) Action {
	reset := result.Full || result.ChangesLost
	if !reset && result.LastChange < s.lastChange {
		return Ignore
	}
	hasChanges := result.LastChange > s.lastChange
	s.synced, s.changesMissed, s.lastRead = true, false, now
	s.epoch, s.lastChange = result.Epoch, result.LastChange
	switch {
	case reset:
		return Reset
	case hasChanges:
		return Apply
	default:
		return Ignore
	}
}

// RecordFailure records that a read by this instance failed.
func (c *CacheTracker) RecordFailure(now clock.Millis, server string) {
	if state, ok := c.servers[server]; ok {
		state.readStarted, state.backoffUntil = 0, now.Add(failureBackoff)
	}
}

// Forget drops the position of a server that has crashed.
func (c *CacheTracker) Forget(server string) { delete(c.servers, server) }

// ReceiveDelta records the result of a read by a peer. If it does not continue the known
// state, the server becomes due for a read.
func (c *CacheTracker) ReceiveDelta(now clock.Millis, server string, result ReadResult) Action {
	state, ok := c.servers[server]
	if ok && !state.reader {
		return state.advanceUnread(result)
	}
	if !ok || !state.synced {
		return Ignore
	}
	if state.epoch != result.Epoch || result.ChangesLost || result.Since > state.lastChange {
		state.changesMissed = true
		return Ignore
	}
	return state.advance(now, result)
}

// advanceUnread moves the position of a server of which this instance is no reader. Changes
// may be missing between the known state and the result.
func (s *serverState) advanceUnread(result ReadResult) Action {
	restarted := s.epoch != 0 && s.epoch != result.Epoch
	if !restarted && result.LastChange <= s.lastChange {
		return Ignore
	}
	s.epoch, s.lastChange = result.Epoch, result.LastChange
	if restarted {
		return Reset
	}
	return Apply
}

// Shareable reports whether the result can be broadcast. Peers make reads of the full
// cache, and reads with more than maxDeltaChanges changes, themselves.
func (r ReadResult) Shareable() bool {
	return !r.Full && !r.ChangesLost && len(r.Changes) <= maxDeltaChanges
}
