package registry

import "github.com/hyssopdoor/hyssopdoor/pkg/clock"

// Paused reports whether nothing may be sent to the server at now.
func (s Server) Paused(now clock.Millis) bool { return now < s.notice.returnsAt }

// ReturnsAt returns the end of the server's latest pause, with the delay of this instance; 0
// if there was none.
func (s Server) ReturnsAt() clock.Millis { return s.notice.returnsAt }

// MarkPaused records that the server, as it started at startedAt, wants to get nothing from
// this instance until the given time. This instance returns after a delay, which is not
// added again if the end is within it. An end before the known one changes nothing. It
// reports whether the pause began or was extended.
func (r *Registry) MarkPaused(now clock.Millis, id string, startedAt int64, until, delay clock.Millis) bool {
	key := start{id: id, startedAt: startedAt}
	updated := r.notices[key]
	if until <= updated.returnsAt {
		return false
	}
	updated.answered = true
	updated.returnsAt = until.Add(delay)
	r.setNotice(now, key, updated)
	return true
}
