package limitsharer

import (
	"cmp"
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// defaultRoom is the room of a server whose slots are not known, and freshRoom that of one that
	// has just started.
	defaultRoom = 8
	freshRoom   = 2
	// A rejection leaves these hundredths of the requests that the server had, at once and as
	// the ceiling.
	roomAfterRejection    = 70
	ceilingAfterRejection = 90
	// Nothing is sent after a rejection for stopTime, divided by the rejections that the server
	// bears, within these limits: the requests that are under way may be rejected too.
	stopTime    = 2200 * clock.Millisecond
	minStopTime = 250 * clock.Millisecond
	maxStopTime = 1100 * clock.Millisecond
	// mergeTime is the time in which further rejections belong to the same shortage.
	mergeTime = 200 * clock.Millisecond
	// The room grows by a growPart of the ceiling, at least by one, each growInterval, and beyond
	// the ceiling by one each probeInterval.
	growInterval  = 250 * clock.Millisecond
	growPart      = 16
	probeInterval = 4 * clock.Second
)

// Lifted stands for a server that is not brittle any more in a RoomNotice.
const Lifted = -1

// RoomNotice is what is known of a brittle server, as instances exchange it.
type RoomNotice struct {
	Start
	Version uint32
	// Rejections is the number of rejections a second that the server bears, or Lifted.
	Rejections int
	// Room is the number of requests that all instances together may have there. It grows fast up
	// to the Ceiling, the last number that the server is known to take, and slowly up to Slots.
	Room    int
	Ceiling int
	Slots   int
}

// newer reports whether the notice replaces another one about the same start.
func (n RoomNotice) newer(other RoomNotice) bool {
	if n.Version != other.Version {
		return n.Version > other.Version
	}
	return n.Room < other.Room
}

type roomEntry struct {
	notice    RoomNotice
	changedAt clock.Millis
	// growsFrom is the time from which the room grows, if nothing is stopped.
	growsFrom clock.Millis
	// stoppedUntil is the time until which nothing is sent.
	stoppedUntil clock.Millis
}

// room returns the room as it has grown until now.
func (e roomEntry) room(now clock.Millis) int {
	elapsed := max(0, now.Since(max(e.growsFrom, e.stoppedUntil)))
	step := max(1, e.notice.Ceiling/growPart)
	grown := e.notice.Room + int(elapsed/growInterval)*step
	if grown <= e.notice.Ceiling {
		return grown
	}
	untilCeiling := clock.Millis((e.notice.Ceiling-e.notice.Room)/step) * growInterval
	return min(e.notice.Slots, e.notice.Ceiling+int(max(0, elapsed-untilCeiling)/probeInterval))
}

// stopFor returns the time for which nothing is sent after a rejection.
func (n RoomNotice) stopFor() clock.Millis {
	return min(maxStopTime, max(minStopTime, stopTime/clock.Millis(max(1, n.Rejections))))
}

// Rooms has the requests that all instances together may have at brittle servers, which crash for
// rejections, and this instance's part of them. As with limits, an equal part for each instance would
// be nothing for some servers in a large cluster: then only some instances have one. It is
// not safe for concurrent use.
type Rooms struct {
	entries map[Start]roomEntry
}

// NewRooms returns a Rooms without brittle servers.
func NewRooms() *Rooms { return &Rooms{entries: map[Start]roomEntry{}} }

// SetBrittle records that a server said that it is brittle. Slots is the number of requests that it
// runs at once; 0 if unknown. Fresh reports whether it has just started. It reports whether that is
// new.
func (r *Rooms) SetBrittle(now clock.Millis, start Start, rejections, slots int, fresh bool) bool {
	found, known := r.entries[start]
	if known && found.notice.Rejections == rejections {
		return false
	}
	if slots <= 0 {
		slots = defaultRoom
	}
	notice := RoomNotice{Start: start, Version: found.notice.Version + 1, Rejections: rejections, Room: slots, Ceiling: slots, Slots: slots}
	switch {
	case known && found.notice.Rejections != Lifted:
		notice.Room, notice.Ceiling, notice.Slots = found.room(now), found.notice.Ceiling, found.notice.Slots
	case fresh:
		notice.Room = min(slots, freshRoom)
	}
	r.set(now, notice, found.stoppedUntil)
	return true
}

// Lift records that a server said nothing of it in a response to a request that was sent while it
// was known to be brittle. It reports whether it was.
func (r *Rooms) Lift(now clock.Millis, start Start) bool {
	found, known := r.entries[start]
	if !known || found.notice.Rejections == Lifted {
		return false
	}
	r.set(now, RoomNotice{Start: start, Version: found.notice.Version + 1, Rejections: Lifted}, 0)
	return true
}

// Reject records a rejection by a brittle server that had a number of requests, as far as is known.
// It reports whether the room has changed.
func (r *Rooms) Reject(now clock.Millis, start Start, requests int) bool {
	found, known := r.entries[start]
	if !known || found.notice.Rejections == Lifted || found.stoppedUntil.Since(now) > found.notice.stopFor()-mergeTime {
		return false
	}
	notice := found.notice
	taken := min(found.room(now), max(1, requests))
	notice.Version++
	notice.Room, notice.Ceiling = max(1, taken*roomAfterRejection/100), max(1, taken*ceilingAfterRejection/100)
	r.set(now, notice, now.Add(notice.stopFor()))
	return true
}

// Assume lowers the ceiling of a server that lists more slots and has not rejected a request since
// its start. It is no change for the other instances: each of them assumes the same from what it
// knows of other servers.
func (r *Rooms) Assume(now clock.Millis, start Start, ceiling int) {
	found, known := r.entries[start]
	if !known || found.notice.Rejections == Lifted || found.notice.Ceiling < found.notice.Slots || ceiling >= found.notice.Slots {
		return
	}
	found.notice.Room, found.notice.Ceiling = min(found.room(now), ceiling), ceiling
	found.growsFrom = now
	r.entries[start] = found
}

// Merge takes over what another instance knows, and returns what is new.
func (r *Rooms) Merge(now clock.Millis, notices []RoomNotice) []RoomNotice {
	var changed []RoomNotice
	for _, notice := range notices {
		found, known := r.entries[notice.Start]
		if known && !notice.newer(found.notice) {
			continue
		}
		stoppedUntil := found.stoppedUntil
		if known && found.notice.Rejections != Lifted && notice.Rejections != Lifted && notice.Room < found.room(now) {
			stoppedUntil = max(stoppedUntil, now.Add(notice.stopFor()))
		}
		r.set(now, notice, stoppedUntil)
		changed = append(changed, notice)
	}
	return changed
}

func (r *Rooms) set(now clock.Millis, notice RoomNotice, stoppedUntil clock.Millis) {
	if _, known := r.entries[notice.Start]; !known && len(r.entries) >= maxEntries {
		oldest := slices.MinFunc(slices.Collect(maps.Values(r.entries)), compareRoomAge)
		delete(r.entries, oldest.notice.Start)
	}
	r.entries[notice.Start] = roomEntry{notice: notice, changedAt: now, growsFrom: now, stoppedUntil: stoppedUntil}
}

func compareRoomAge(a, b roomEntry) int {
	return cmp.Or(cmp.Compare(a.changedAt, b.changedAt), cmp.Compare(a.notice.Server, b.notice.Server), cmp.Compare(a.notice.StartedAt, b.notice.StartedAt))
}

// Brittle reports whether the server is brittle, and the rejections a second that it bears.
func (r *Rooms) Brittle(start Start) (rejections int, brittle bool) {
	found, known := r.entries[start]
	return found.notice.Rejections, known && found.notice.Rejections != Lifted
}

// Known reports whether it is known whether the server is brittle.
func (r *Rooms) Known(start Start) bool {
	_, known := r.entries[start]
	return known
}

// Room returns the number of requests that all instances together may have at a brittle server.
func (r *Rooms) Room(now clock.Millis, start Start) int { return r.entries[start].room(now) }

// Ceiling returns the last number of requests that a brittle server is known to take.
func (r *Rooms) Ceiling(start Start) int { return r.entries[start].notice.Ceiling }

// Stopped reports whether nothing may be sent to the server.
func (r *Rooms) Stopped(now clock.Millis, start Start) bool {
	return now < r.entries[start].stoppedUntil
}

// Part returns the part of a room of the instance with the given rank among a number of instances.
func Part(room, rank, instances int) int {
	holders := max(1, min(room, instances))
	if rank >= holders {
		return 0
	}
	part := room / holders
	if rank < room%holders {
		part++
	}
	return part
}

// Changes returns what has changed recently, for the other instances.
func (r *Rooms) Changes(now clock.Millis) []RoomNotice {
	return r.collect(func(e roomEntry) bool { return now.Since(e.changedAt) <= repeatTime })
}

// Snapshot returns what is known, the latest changes first.
func (r *Rooms) Snapshot() []RoomNotice { return r.collect(func(roomEntry) bool { return true }) }

func (r *Rooms) collect(wanted func(roomEntry) bool) []RoomNotice {
	var found []roomEntry
	for _, e := range r.entries {
		if wanted(e) {
			found = append(found, e)
		}
	}
	slices.SortFunc(found, func(a, b roomEntry) int { return compareRoomAge(b, a) })
	var notices []RoomNotice
	for _, e := range found[:min(maxSent, len(found))] {
		notices = append(notices, e.notice)
	}
	return notices
}
