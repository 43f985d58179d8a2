// Package originkeeper keeps where streams began, at one instance: those that began there,
// and those of other instances for which it is one of the keepers.
//
// Load pattern: while engines of several software versions serve side by side, the callers
// of broken streams come back at any instance, also after the one that began them has
// stopped. What two versions write does not fit together, so that a stream whose origin
// no instance knows can't go on.
//
// An origin is dropped some minutes after it was last put, when no caller comes back any
// more. The number of origins is limited; if there are too many, the oldest are dropped
// earlier. Two different origins of one stream make it unknown: none of them can be
// trusted.
//
// # Usage
//
//	keeper := originkeeper.New()
//	keeper.Put(now, "stream-1", originkeeper.Origin{Service: "engines", SoftwareVersion: "v1"})
//	origin, known := keeper.Find(now, "stream-1")
package originkeeper

import "github.com/hyssopdoor/hyssopdoor/pkg/clock"

const (
	// lifetime is the time for which an origin is kept: longer than any caller waits for
	// a stream.
	lifetime = 5 * clock.Minute
	// maxOrigins limits the origins that are kept.
	maxOrigins = 16_384
	// maxNameBytes limits the length of each name; longer ones are not kept.
	maxNameBytes = 256
)

// Origin is where a stream began. It may go on only at servers of the same service and of
// the same version of their software. Values are immutable.
type Origin struct {
	Service         string
	SoftwareVersion string
}

// Keeper has the origins of streams. It is not safe for concurrent use.
type Keeper struct {
	entries map[string]entry
	// order has the streams in the order of the last Put; one that was put again is in
	// it more than once.
	order   []put
	puts    uint64
	dropped int64
}

// entry is the origin of one stream.
type entry struct {
	origin      Origin
	conflicting bool
	expiresAt   clock.Millis
	put         uint64 // put is the number of the last Put.
}

type put struct {
	stream string
	number uint64
}

// New returns a Keeper without origins.
func New() *Keeper { return &Keeper{entries: map[string]entry{}} }

// Put adds the origin of a stream, or keeps a known one for longer.
func (k *Keeper) Put(now clock.Millis, stream string, origin Origin) {
	if max(len(stream), len(origin.Service), len(origin.SoftwareVersion)) > maxNameBytes {
		return
	}
	k.expire(now)
	known, found := k.entries[stream]
	k.puts++
	k.entries[stream] = entry{
		origin: origin, conflicting: found && (known.conflicting || known.origin != origin),
		expiresAt: now.Add(lifetime), put: k.puts,
	}
	k.order = append(k.order, put{stream: stream, number: k.puts})
	for len(k.order) > maxOrigins {
		if k.removeFirst() {
			k.dropped++
		}
	}
}

// Find returns the origin of a stream, if it is known.
func (k *Keeper) Find(now clock.Millis, stream string) (Origin, bool) {
	known, found := k.entries[stream]
	if !found || known.conflicting || now >= known.expiresAt {
		return Origin{}, false
	}
	return known.origin, true
}

// Conflicting reports whether different origins of the stream were put.
func (k *Keeper) Conflicting(now clock.Millis, stream string) bool {
	known, found := k.entries[stream]
	return found && known.conflicting && now < known.expiresAt
}

// Len returns the number of streams whose origin is kept.
func (k *Keeper) Len() int { return len(k.entries) }

// Dropped returns how many origins were dropped because there were too many.
func (k *Keeper) Dropped() int64 { return k.dropped }

func (k *Keeper) expire(now clock.Millis) {
	for len(k.order) > 0 {
		first := k.order[0]
		if known := k.entries[first.stream]; known.put == first.number && now < known.expiresAt {
			return
		}
		k.removeFirst()
	}
}

// removeFirst removes the oldest Put. It reports whether the stream is now unknown.
func (k *Keeper) removeFirst() bool {
	first := k.order[0]
	k.order = k.order[1:]
	if k.entries[first.stream].put != first.number {
		return false
	}
	delete(k.entries, first.stream)
	return true
}
