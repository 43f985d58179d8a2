package forwarder

import (
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/journal"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// lookAgain is the time between two looks for a server that is expected soon.
	lookAgain = 20 * clock.Millisecond
	// waitPart is the part of the time that a request has for which it waits, when it
	// is not known how soon a server will be there.
	waitPart = 4
	// longestWait is the longest such wait: some loads of weights.
	longestWait = clock.Second
)

// await lets a request wait for a server that will take requests again soon; where
// none will, it is refused at once.
func (f *Forwarder) await(fl *flight) {
	if fl.waitEnd == 0 {
		fl.waitEnd = f.now.Add(min(longestWait, fl.left(f.now)/waitPart))
	}
	if !f.expected(fl) || f.now >= fl.waitEnd {
		f.refuse(fl, ReasonNoServer, f.soon())
		return
	}
	fl.waiting = true
	fl.due = f.now.Add(lookAgain)
}

// expected reports whether a server that the request may go to loads weights and will
// be there soon.
func (f *Forwarder) expected(fl *flight) bool {
	updating := f.updating()
	for _, server := range f.servers.Available(f.now, fl.service) {
		if updating[server.ID] && !server.Down() && !fl.tried[server.ID] {
			return true
		}
	}
	return false
}

func (f *Forwarder) timeOut() {
	for _, id := range slices.Sorted(maps.Keys(f.flights)) {
		fl := f.flights[id]
		if f.now < fl.due {
			continue
		}
		if f.now >= fl.end {
			f.cancel(fl)
			f.refuse(fl, ReasonTimeout, 0)
			continue
		}
		if fl.waiting {
			f.place(fl)
			continue
		}
		f.silent(fl)
	}
}

// silent gives up an attempt that does not answer, where there is another server.
func (f *Forwarder) silent(fl *flight) {
	fl.due = fl.end
	if len(f.candidates(fl)) == 0 || !f.budget.AcquireRetry(f.now, fl.service, f.members()) {
		return
	}
	f.log(journal.New(journal.AttemptFailed, fl.id()).With("server", fl.server).With("attempt", fl.attempt).With("failure", "silent"))
	f.servers.RecordResult(f.now, fl.server, true)
	f.check(fl.server)
	f.cancel(fl)
	f.places.End(fl.id())
	f.place(fl)
}

const (
	// gapTargets is how many times the target a pause in a stream may last, where the
	// stream can go on elsewhere.
	gapTargets = 2
	// leastGap is the shortest such pause: engines pause for the prompts of others.
	leastGap = clock.Second
)

// gapFor returns the longest pause between two events of the next attempt.
func (f *Forwarder) gapFor(fl *flight) clock.Millis {
	if !f.mayRepeat(fl) {
		return 0
	}
	return max(leastGap, gapTargets*fl.route.EventGapTarget)
}

// setDue sets when the flight must be looked at: at its end, or when an attempt
// that may be repeated has been silent for too long.
func (f *Forwarder) setDue(fl *flight) {
	fl.due = fl.end
	if !fl.sending || fl.answered || fl.abandoned || !f.mayRepeat(fl) {
		return
	}
	silence := max(leastSilence, fl.route.ResponseTarget*silenceTargets, clock.Millis(fl.expected*silenceTargets))
	fl.due = min(fl.end, f.now.Add(silence))
}
