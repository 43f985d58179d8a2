package admitter

import (
	"math"

	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// meterTime is the time over which rates are averaged: a burst must show within a second.
const meterTime = clock.Second

// meter is a rate of events, with exponentially decreasing weight.
type meter struct {
	perSecond float64
	at        clock.Millis
}

// with returns the meter with another event at now.
func (m meter) with(now clock.Millis) meter {
	return meter{perSecond: m.rate(now) + float64(clock.Second)/float64(meterTime), at: now}
}

// rate returns the events per second at now.
func (m meter) rate(now clock.Millis) float64 {
	return m.perSecond * math.Exp(-float64(now.Since(m.at))/float64(meterTime))
}
