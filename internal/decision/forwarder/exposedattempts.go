package forwarder

import (
	"strconv"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/digest"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/exposurekeeper"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/registry"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// slowFactor is the time to the first event from which an attempt is slow, as a multiple
	// of the old version's mean on the route, and minSlowTime the least such time: shorter
	// ones are within what networks and machines vary.
	slowFactor  = 2.5
	minSlowTime = 100.0
	// firstEventWeight is the weight of the latest time in the mean.
	firstEventWeight = 0.05
	// settleInterruptedTime is the time in which it becomes known whether the server of an
	// interrupted attempt has crashed: it refuses connections, or is listed with another start.
	settleInterruptedTime = 1500 * clock.Millisecond
)

// exposureRoute is a route in a roll-out.
type exposureRoute struct {
	order uint32
	route uint32
}

// exposedAttempt is a running attempt at a service that is rolled out.
type exposedAttempt struct {
	exposureRoute
	service string
	target  bool
	server  registry.Server
	beganAt clock.Millis
	// started reports whether the first event has arrived, slow whether it was late, and
	// counted whether the attempt is counted or does not count.
	started, slow, counted bool
}

// interruptedAttempt is an attempt whose connection ended, until it is known whether its
// server has crashed. Crashes say nothing about a version: a single one ends all of the
// server's attempts.
type interruptedAttempt struct {
	attempt exposedAttempt
	at      clock.Millis
}

// beginExposed counts an attempt that is sent to a service that is rolled out.
func (f *Forwarder) beginExposed(fl *flight, server registry.Server, number int) {
	e, ok := f.exposures[server.Service]
	if !ok || e.final != exposurekeeper.Continue {
		return
	}
	attempt := exposedAttempt{
		exposureRoute: exposureRoute{order: e.id, route: digest.ID(fl.route.Name)}, service: server.Service,
		target: server.SoftwareVersion == e.order.Target, server: server, beganAt: f.now,
	}
	f.exposed[fl.attemptKey(number)] = attempt
	if number == 1 {
		e.own.AllRequests++
	}
	if attempt.target {
		fl.targetAttempts++
		e.own.TargetRequests++
	}
}

// exposeRunning records the attempts that run when an order arrives. They are not counted,
// but those on old servers must end before it is completed.
func (f *Forwarder) exposeRunning(e *exposure) {
	for _, fl := range f.flights {
		if !fl.attemptActive {
			continue
		}
		running := map[int]string{fl.attempt: fl.server}
		if fl.alternative != nil {
			running[fl.alternative.number] = fl.alternative.server
		}
		for number, id := range running {
			if server, ok := f.servers.Server(id); ok && server.Service == e.order.Service {
				f.exposed[fl.attemptKey(number)] = exposedAttempt{exposureRoute: exposureRoute{order: e.id}, service: server.Service, target: server.SoftwareVersion == e.order.Target, counted: true}
			}
		}
	}
}

// oldRunning returns the number of this instance's attempts on old servers. While the assignment
// of streams still leads there, it counts as one.
func (f *Forwarder) oldRunning(e *exposure) int64 {
	var running int64
	shares := f.assignmentInUse(e.order.Service).Record.Shares()
	delete(shares, e.order.Target)
	if len(shares) > 0 {
		running++
	}
	for _, attempt := range f.exposed {
		if attempt.service == e.order.Service && !attempt.target {
			running++
		}
	}
	return running
}

// startExposed records the first event of an attempt.
func (f *Forwarder) startExposed(fl *flight, number int) {
	attempt, ok := f.exposed[fl.attemptKey(number)]
	if !ok || attempt.counted || attempt.started {
		return
	}
	attempt.started, attempt.slow = true, f.judgeFirstEvent(attempt)
	if attempt.slow {
		attempt.counted = true
		f.countExposed(attempt, exposurekeeper.Counts{Slow: 1})
	}
	f.exposed[fl.attemptKey(number)] = attempt
}

// judgeFirstEvent reports whether the first event is late, and adds its time to the mean.
func (f *Forwarder) judgeFirstEvent(attempt exposedAttempt) bool {
	slow, elapsed := f.isLate(attempt), float64(f.now.Since(attempt.beganAt))
	if attempt.target {
		return slow
	}
	mean, known := f.firstEvents[attempt.exposureRoute]
	if !known {
		mean = elapsed
	}
	f.firstEvents[attempt.exposureRoute] = mean + firstEventWeight*(elapsed-mean)
	return slow
}

// isLate reports whether an attempt without an event is slow by now. Before an old server has
// answered on the route, none is.
func (f *Forwarder) isLate(attempt exposedAttempt) bool {
	mean, known := f.firstEvents[attempt.exposureRoute]
	return known && float64(f.now.Since(attempt.beganAt)) > max(minSlowTime, slowFactor*mean)
}

// recordExposedEnd counts the end of an attempt.
func (f *Forwarder) recordExposedEnd(event AttemptEnded) {
	key := event.Request + "/" + strconv.Itoa(event.Attempt)
	attempt, ok := f.exposed[key]
	if !ok || attempt.counted {
		return
	}
	attempt.counted = true
	switch {
	case event.Outcome == OutcomeCorrupted, event.Outcome == OutcomeCompleted && event.Status >= statusInternalError:
		f.countExposed(attempt, exposurekeeper.Counts{Failed: 1})
	case event.Outcome == OutcomeCompleted && !attempt.started && f.judgeFirstEvent(attempt):
		f.countExposed(attempt, exposurekeeper.Counts{Slow: 1})
	case event.Outcome == OutcomeCompleted:
		f.countExposed(attempt, exposurekeeper.Counts{OK: 1})
	case event.Outcome == OutcomeInterrupted:
		if fl, ok := f.flights[event.Request]; ok && fl.ways[event.Attempt].hop.Direct() {
			f.interrupted = append(f.interrupted, interruptedAttempt{attempt: attempt, at: f.now})
		}
	case event.Outcome.NotRun():
	default:
		attempt.counted = false
	}
	f.exposed[key] = attempt
}

// endAttempt ends an attempt that has ended or is cancelled. One that is cancelled without an
// event counts if it is late by then.
func (f *Forwarder) endAttempt(fl *flight, number int) {
	key := fl.attemptKey(number)
	f.scheduler.End(key)
	attempt, ok := f.exposed[key]
	if !ok {
		return
	}
	delete(f.exposed, key)
	if !attempt.counted && !attempt.started && f.isLate(attempt) {
		f.countExposed(attempt, exposurekeeper.Counts{Slow: 1})
	}
}

// countExposed adds the result of an attempt to this instance's counts.
func (f *Forwarder) countExposed(attempt exposedAttempt, result exposurekeeper.Counts) {
	e, ok := f.exposures[attempt.service]
	if !ok || e.id != attempt.order {
		return
	}
	compared := exposurekeeper.Comparison{Old: result}
	if attempt.target {
		compared = exposurekeeper.Comparison{Target: result}
		if result.Bad() > 0 {
			f.nextExposure = 0
		}
	}
	e.own = e.own.Plus(digest.ExposureSums{Routes: map[uint32]exposurekeeper.Comparison{attempt.route: compared}}, 1)
}

// settleInterrupted counts the interrupted attempts whose servers have not crashed and can be
// reached.
func (f *Forwarder) settleInterrupted() {
	kept := f.interrupted[:0]
	for _, interrupted := range f.interrupted {
		server, listed := f.servers.Server(interrupted.attempt.server.ID)
		switch {
		case !listed || server.Down() || server.StartedAt != interrupted.attempt.server.StartedAt || f.paths.Blocked(server.ID):
		case f.now.Since(interrupted.at) < settleInterruptedTime:
			kept = append(kept, interrupted)
		default:
			f.countExposed(interrupted.attempt, exposurekeeper.Counts{Failed: 1})
		}
	}
	f.interrupted = kept
}
