// Package paceestimator estimates how long the servers of a service take for a request, from what they
// took for others lately. A stream's length is known only as a limit that few streams reach, so that it
// has two estimates: for the average length, and for the longest, where a request that takes longer
// than expected does harm. The time between events is the average over all streams, as one
// that pauses for a second does not stay that slow.
//
// Load pattern: a burst of long prompts multiplies the time between the events of all streams within
// a second or two, while the streams that end meanwhile began before it. So the times of streams that
// still run count as well.
//
// # Usage
//
//	estimator := paceestimator.New()
//	estimator.RecordEvents(now, "engines", 5, 100)
//	estimator.RecordStream(now, "engines", 50, 48)
//	estimator.RecordResponse(now, "records", 60)
//	usual, longest, known := estimator.StreamTimes("engines", 50)
package paceestimator

import (
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// timePeriod is the time after which times count for one more period, and then no more, if there
	// are newer ones. lengthPeriod is the same for the lengths of streams, which depend on the callers.
	timePeriod   = clock.Second
	lengthPeriod = 10 * clock.Second
	// maxPaceAge is the age from which the time between events may be another one by now.
	maxPaceAge = 2 * timePeriod
)

// Estimator has the times of all services. It is not safe for concurrent use.
type Estimator struct {
	services map[string]service
}

// service has the times of a service's servers, in milliseconds.
type service struct {
	// gap is the time between two events of a stream, and response that of a whole response.
	gap      average
	response longest
	// gapRecordedAt is the time of the latest record of gap.
	gapRecordedAt clock.Millis
	// perToken is the length of streams in events for each output token that the request allowed, and
	// unlimited that of streams whose requests did not say.
	perToken, unlimited lengths
}

// New returns an Estimator that knows no times.
func New() *Estimator { return &Estimator{services: map[string]service{}} }

// RecordEvents records that a number of further events of a stream have arrived within a time.
func (e *Estimator) RecordEvents(now clock.Millis, name string, events int, elapsed clock.Millis) {
	if events <= 0 {
		return
	}
	s := e.services[name]
	s.gap, s.gapRecordedAt = s.gap.with(now, timePeriod, float64(elapsed), float64(events)), now
	e.services[name] = s
}

// RecordStream records the length of a stream that has ended, whose request allowed a number of
// output tokens; 0 if it did not say.
func (e *Estimator) RecordStream(now clock.Millis, name string, tokens int64, events int) {
	s := e.services[name]
	if tokens > 0 {
		s.perToken = s.perToken.with(now, float64(events), float64(tokens))
	} else {
		s.unlimited = s.unlimited.with(now, float64(events), 1)
	}
	e.services[name] = s
}

// RecordResponse records the time that a server took for a whole response.
func (e *Estimator) RecordResponse(now clock.Millis, name string, elapsed clock.Millis) {
	s := e.services[name]
	s.response = s.response.with(now, timePeriod, float64(elapsed))
	e.services[name] = s
}

// StreamTimes returns the time from the first event to the end of a stream whose request allows a number
// of output tokens, 0 if it does not say: for a stream of average length, and for the longest. It
// reports false if no stream of the service is known.
func (e *Estimator) StreamTimes(name string, tokens int64) (usual, longest clock.Millis, known bool) {
	s := e.services[name]
	length, limit := s.unlimited, 1.0
	if tokens > 0 {
		length, limit = s.perToken, float64(tokens)
	}
	if !length.longest.known || !s.gap.known {
		return 0, 0, false
	}
	gap := s.gap.value()
	return clock.Millis(limit * length.average.value() * gap), clock.Millis(limit * length.longest.value() * gap), true
}

// PaceCurrent reports whether events of the service's streams have arrived so lately that the times of
// StreamTimes still hold.
func (e *Estimator) PaceCurrent(now clock.Millis, name string) bool {
	s := e.services[name]
	return s.gap.known && now.Since(s.gapRecordedAt) < maxPaceAge
}

// ResponseTime returns the time of a whole response of a service. It reports false if none is known.
func (e *Estimator) ResponseTime(name string) (clock.Millis, bool) {
	response := e.services[name].response
	return clock.Millis(response.value()), response.known
}

// lengths are the average and the largest length.
type lengths struct {
	average average
	longest longest
}

func (l lengths) with(now clock.Millis, events, limit float64) lengths {
	return lengths{average: l.average.with(now, lengthPeriod, events, limit), longest: l.longest.with(now, lengthPeriod, events/limit)}
}

// longest is the largest value of the latest two periods with any.
type longest struct {
	known             bool
	period            clock.Millis
	current, previous float64
}

func (l longest) with(now, length clock.Millis, value float64) longest {
	if period := now / length; !l.known || period != l.period {
		l.previous = l.current
		l.period, l.current = period, 0
	}
	l.known, l.current = true, max(l.current, value)
	return l
}

func (l longest) value() float64 { return max(l.current, l.previous) }

// average is the largest of the averages of the latest two periods with any value.
type average struct {
	known      bool
	period     clock.Millis
	sum, count float64
	previous   float64
}

func (a average) with(now, length clock.Millis, sum, count float64) average {
	if period := now / length; !a.known || period != a.period {
		if a.known {
			a.previous = a.sum / a.count
		}
		a.period, a.sum, a.count = period, 0, 0
	}
	a.known, a.sum, a.count = true, a.sum+sum, a.count+count
	return a
}

func (a average) value() float64 { return max(a.sum/a.count, a.previous) }
