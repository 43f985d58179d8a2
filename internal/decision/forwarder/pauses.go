package forwarder

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/registry"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// Instances return to a server after the end of its pause with a random delay: of up to
	// a fraction of the pause, within these limits.
	returnDelayDivisor = 4
	minReturnDelay     = 200 * clock.Millisecond
	maxReturnDelay     = clock.Second
	// returnTime is the time after the return in which the requests that the server may
	// have at once grow, from one, by another one each returnStep.
	returnTime = clock.Second
	returnStep = 25 * clock.Millisecond
)

// handlePause handles a pause that a server asks for.
func (f *Forwarder) handlePause(notice ServerNotice) {
	if notice.InvalidPause != "" {
		f.log(eventlog.New(eventlog.ServerPauseInvalid, "").With("server", notice.Server).With("value", notice.InvalidPause))
	}
	if notice.Pause <= 0 {
		return
	}
	until := f.now.Add(notice.Pause)
	maxDelay := min(maxReturnDelay, max(minReturnDelay, notice.Pause/returnDelayDivisor))
	delay := clock.Millis(f.jitter(int64(maxDelay)))
	if f.servers.MarkPaused(f.now, notice.Server, notice.StartedAt, until, delay) {
		f.log(eventlog.New(eventlog.ServerPaused, "").With("server", notice.Server).With("pause", notice.Pause).With("delay", delay))
	}
}

// paused reports whether nothing may be sent to the server.
func (f *Forwarder) paused(id string) bool {
	server, ok := f.servers.Server(id)
	return ok && server.Paused(f.now)
}

// holdsBack reports whether a server that pauses, or has done so until just now, must not get
// another request.
func (f *Forwarder) holdsBack(server registry.Server) bool {
	switch returned := f.now.Since(server.ReturnsAt()); {
	case server.ReturnsAt() == 0 || returned >= returnTime:
		return false
	case returned < 0:
		return true
	default:
		return f.scheduler.ServerLoad(f.now, server.ID).Requests > int(returned/returnStep)
	}
}

// returnsInTime reports whether a server that is held back returns before the request has
// waited for too long.
func (f *Forwarder) returnsInTime(fl *flight, server registry.Server) bool {
	deadline := fl.waitDeadline
	if deadline == 0 {
		deadline = f.waitLimit(fl)
	}
	return f.holdsBack(server) && server.ReturnsAt() < deadline
}

// retryAfter returns the retry delay for the caller: if all servers of the service pause or
// have a limit, the time until the first one takes a request, and a random delay.
func (f *Forwarder) retryAfter(fl *flight) clock.Millis {
	first := clock.Millis(0)
	for _, server := range f.servers.Available(f.now, fl.service) {
		switch {
		case server.Down():
		case !server.Paused(f.now):
			wait, holds := f.limitWait(server)
			if wait == 0 || !holds {
				return f.jitteredRetryAfter()
			}
			if at := f.now.Add(wait); first == 0 || at < first {
				first = at
			}
		case first == 0 || server.ReturnsAt() < first:
			first = server.ReturnsAt()
		}
	}
	if first == 0 {
		return f.jitteredRetryAfter()
	}
	return first.Since(f.now) + clock.Millis(f.jitter(int64(defaultRetryAfter/2)))
}
