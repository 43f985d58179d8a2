package registry

import (
	"cmp"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// maxNotices limits the starts of servers of which notices are kept. Those of servers that are
// not listed are kept too: the store may lose its latest changes and list them again.
const maxNotices = 2048

// start identifies one start of a server: its identifier may be used again after that, and
// so may its address.
type start struct {
	id        string
	startedAt int64
}

// notice is what a server said of itself in the heads of its responses. It holds whatever
// the server's entry in the store says.
type notice struct {
	// leavingSince is the time at which it was first known to leave; 0 if it is not.
	leavingSince clock.Millis
	// returnsAt is the end of its latest pause; 0 if there was none.
	returnsAt clock.Millis
	// answered reports whether the server said it in a response to this instance.
	answered bool
	// receivedAt is the time of its latest change.
	receivedAt clock.Millis
}

func startOf(entry Entry) start { return start{id: entry.ID, startedAt: entry.StartedAt} }

// LeavingSince returns the time at which the server was first known to leave by its own
// responses; 0 if it is not.
func (s Server) LeavingSince() clock.Millis { return s.notice.leavingSince }

// AcceptsRequests reports whether the server accepts new requests: neither its entry nor its
// responses say that it leaves.
func (s Server) AcceptsRequests() bool { return !s.Draining && s.notice.leavingSince == 0 }

// MarkLeaving records that the server, as it started at startedAt, said in a response that
// it leaves; answered reports whether that was a response to this instance. It reports false
// if it was known to leave.
func (r *Registry) MarkLeaving(now clock.Millis, id string, startedAt int64, answered bool) bool {
	key := start{id: id, startedAt: startedAt}
	updated := r.notices[key]
	if updated.leavingSince != 0 && (updated.answered || !answered) {
		return false
	}
	updated.answered = updated.answered || answered
	if updated.leavingSince != 0 {
		r.setNotice(now, key, updated)
		return false
	}
	updated.leavingSince = now
	r.setNotice(now, key, updated)
	return true
}

// Leaving returns the servers of the service that accept no new requests only because they
// were first known to leave within the given time, sorted by identifier.
func (r *Registry) Leaving(now clock.Millis, service string, within clock.Millis) []Server {
	var leaving []Server
	for _, server := range r.All() {
		if server.Service == service && !server.Draining && server.LeavingSince() != 0 && now.Since(server.LeavingSince()) < within {
			leaving = append(leaving, server)
		}
	}
	return leaving
}

// mayConcern reports whether a response to this instance may have come from this start of the
// server, though the instance knew only of another one under the same identifier then.
func (r *Registry) mayConcern(entry Entry) bool {
	for key, other := range r.notices {
		if other.answered && key.id == entry.ID && key.startedAt != entry.StartedAt {
			return true
		}
	}
	return false
}

// setNotice stores a notice, also for a server that is not listed.
func (r *Registry) setNotice(now clock.Millis, key start, updated notice) {
	if len(r.notices) >= maxNotices {
		r.dropOldNotices()
	}
	updated.receivedAt = now
	r.notices[key] = updated
	if server, ok := r.servers[key.id]; ok && server.StartedAt == key.startedAt {
		server.notice = updated
		r.put(server)
	}
}

// dropOldNotices drops the oldest quarter of the notices of servers that are not listed.
func (r *Registry) dropOldNotices() {
	var unlisted []start
	for key := range r.notices {
		if server, ok := r.servers[key.id]; !ok || server.StartedAt != key.startedAt {
			unlisted = append(unlisted, key)
		}
	}
	slices.SortFunc(unlisted, func(a, b start) int { return cmp.Compare(r.notices[a].receivedAt, r.notices[b].receivedAt) })
	for _, key := range unlisted[:len(unlisted)/4] {
		delete(r.notices, key)
	}
}
