// Package limitsharer keeps the limits that servers named, in requests a second from all
// instances together, and this instance's share of them.
//
// Load pattern: a server in need takes one request a second from hundreds of instances, each
// of which receives more than that. An even share for each of them would be nothing, or in
// sum too much as soon as some save theirs up.
//
// So only a few instances send to a limited server: its holders, about twice as many as it
// takes requests in a second. They follow from rendezvous hashes of the listed instances, so
// that all instances compute alike who they are. Each holder has a token bucket with an equal
// part of the limit, which is empty at first and saves up hardly more than one request.
//
// What a server named last holds for all instances. Each change by a response gets a higher
// version, which wins where instances exchange what they know; of equal versions, the lower
// limit wins. A limit belongs to one start of a server.
//
// # Usage
//
//	limits := limitsharer.New()
//	limits.SetLimit(now, start, limitsharer.PerSecond(1.5))
//	limits.Lift(now, start)
//	holders := limits.Holders(start)
//	if limits.Available(now, start, holders) { limits.Take(now, start, holders) }
package limitsharer

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// holderLimit is the part of a limit for which there is one holder, beside extraHolders.
	// In any four seconds, holders that have saved up a request each then send less than one
	// and a half times the limit and five requests. With a holder for each 1000, a holder's part
	// was above half of the requests that one of 295 instances receives, and was left unused.
	holderLimit  = 500
	extraHolders = 3
	// burstTime is the time for which a holder saves up its part, if that is more than one
	// request.
	burstTime = 250 * clock.Millisecond
	// minLimit is the limit that is used instead of a lower one: some requests must show
	// when the server takes more again.
	minLimit = Limit(200)
	// maxLimit is used instead of a higher limit.
	maxLimit = Limit(1_000_000_000)
	// maxEntries limits the limits that are kept.
	maxEntries = 2048
	// maxSent limits those in one message, and repeatTime is the time for which a change is
	// repeated in each.
	maxSent    = 64
	repeatTime = 700 * clock.Millisecond
)

// Limit is a number of requests in 1000 seconds.
type Limit int64

// None stands for no limit in a Notice.
const None Limit = -1

// PerSecond returns the limit for a number of requests a second, which is not negative.
func PerSecond(requests float64) Limit {
	return Limit(math.Round(min(requests*1000, float64(maxLimit))))
}

// rate returns the requests in a millisecond that may be sent.
func (l Limit) rate() float64 { return float64(max(l, minLimit)) / 1e6 }

// Start is one start of a server.
type Start struct {
	Server    string
	StartedAt int64
}

// Notice is what is known of a server's limit, as instances exchange it.
type Notice struct {
	Start
	Version uint32
	Limit   Limit // Limit is None after the server has lifted it.
}

// newer reports whether the notice replaces another one about the same start.
func (n Notice) newer(other Notice) bool {
	if n.Version != other.Version {
		return n.Version > other.Version
	}
	return n.Limit != None && (other.Limit == None || n.Limit < other.Limit)
}

type entry struct {
	notice    Notice
	changedAt clock.Millis
	// level is the number of requests that this instance may send at refilledAt.
	level      float64
	refilledAt clock.Millis
}

// Sharer has the limits of one instance. It is not safe for concurrent use.
type Sharer struct {
	entries map[Start]entry
}

// New returns a Sharer without limits.
func New() *Sharer { return &Sharer{entries: map[Start]entry{}} }

// SetLimit records the limit that a server named in a response to this instance. It reports
// whether it is another one than before.
func (s *Sharer) SetLimit(now clock.Millis, start Start, limit Limit) bool {
	limit = min(limit, maxLimit)
	found, known := s.entries[start]
	if known && found.notice.Limit == limit {
		return false
	}
	s.set(now, Notice{Start: start, Version: found.notice.Version + 1, Limit: limit})
	return true
}

// Lift records that a server named no limit in a response to a request that was sent while
// one was known. It reports whether there was one.
func (s *Sharer) Lift(now clock.Millis, start Start) bool {
	found, known := s.entries[start]
	if !known || found.notice.Limit == None {
		return false
	}
	s.set(now, Notice{Start: start, Version: found.notice.Version + 1, Limit: None})
	return true
}

// Merge takes over what another instance knows, and returns what is new.
func (s *Sharer) Merge(now clock.Millis, notices []Notice) []Notice {
	var changed []Notice
	for _, notice := range notices {
		if found, known := s.entries[notice.Start]; !known || notice.newer(found.notice) {
			s.set(now, notice)
			changed = append(changed, notice)
		}
	}
	return changed
}

// set stores a notice. The bucket of a limit that is new is empty.
func (s *Sharer) set(now clock.Millis, notice Notice) {
	found, known := s.entries[notice.Start]
	if !known && len(s.entries) >= maxEntries {
		oldest := slices.MinFunc(slices.Collect(maps.Values(s.entries)), compareAge)
		delete(s.entries, oldest.notice.Start)
	}
	if !known || found.notice.Limit == None {
		found.level, found.refilledAt = 0, now
	}
	found.notice, found.changedAt = notice, now
	s.entries[notice.Start] = found
}

func compareAge(a, b entry) int {
	return cmp.Or(cmp.Compare(a.changedAt, b.changedAt), cmp.Compare(a.notice.Server, b.notice.Server), cmp.Compare(a.notice.StartedAt, b.notice.StartedAt))
}

// Limited reports whether the server takes a limited number of requests.
func (s *Sharer) Limited(start Start) bool {
	found, known := s.entries[start]
	return known && found.notice.Limit != None
}

// Holders returns the number of instances that may send to a limited server.
func (s *Sharer) Holders(start Start) int {
	return int(s.entries[start].notice.Limit/holderLimit) + extraHolders
}

// refilled returns the entry as it is at now, and this instance's part of the rate.
func (e entry) refilled(now clock.Millis, holders int) (entry, float64) {
	rate := e.notice.Limit.rate() / float64(max(1, holders))
	e.level = min(e.level+rate*float64(now.Since(e.refilledAt)), max(1, rate*float64(burstTime)))
	e.refilledAt = now
	return e, rate
}

// Available reports whether this instance, one of a number of holders, may send a request now.
func (s *Sharer) Available(now clock.Millis, start Start, holders int) bool {
	return s.WaitTime(now, start, holders) == 0
}

// WaitTime returns the time until this instance may send a request.
func (s *Sharer) WaitTime(now clock.Millis, start Start, holders int) clock.Millis {
	found, rate := s.entries[start].refilled(now, holders)
	return clock.Millis(math.Ceil(max(0, 1-found.level) / rate))
}

// Empty empties the bucket of an instance that has become a holder.
func (s *Sharer) Empty(now clock.Millis, start Start) {
	if found, known := s.entries[start]; known {
		found.level, found.refilledAt = min(0, found.level), now
		s.entries[start] = found
	}
}

// Take records that this instance sends a request. The level may become negative, for requests
// that were sent although none was available.
func (s *Sharer) Take(now clock.Millis, start Start, holders int) {
	found, known := s.entries[start]
	if !known || found.notice.Limit == None {
		return
	}
	found, _ = found.refilled(now, holders)
	found.level--
	s.entries[start] = found
}

// Changes returns what has changed recently, for the other instances.
func (s *Sharer) Changes(now clock.Millis) []Notice {
	return s.collect(func(e entry) bool { return now.Since(e.changedAt) <= repeatTime })
}

// Snapshot returns what is known, the latest changes first.
func (s *Sharer) Snapshot() []Notice {
	return s.collect(func(entry) bool { return true })
}

func (s *Sharer) collect(wanted func(entry) bool) []Notice {
	var found []entry
	for _, e := range s.entries {
		if wanted(e) {
			found = append(found, e)
		}
	}
	slices.SortFunc(found, func(a, b entry) int { return compareAge(b, a) })
	var notices []Notice
	for _, e := range found[:min(maxSent, len(found))] {
		notices = append(notices, e.notice)
	}
	return notices
}

// Within returns how many requests this instance may send until the time wait has passed.
func (s *Sharer) Within(now clock.Millis, start Start, holders int, wait clock.Millis) int {
	found, rate := s.entries[start].refilled(now, holders)
	return int(max(0, found.level+rate*float64(wait)))
}
