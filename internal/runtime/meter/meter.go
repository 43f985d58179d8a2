// Package meter has the metrics of an instance: counters and histograms of durations,
// published in the format of expvar.
//
// # Usage
//
//	metrics := meter.New()
//	metrics.CountEvent(entry)
//	metrics.Observe("answer", 120*clock.Millisecond)
//	metrics.Handler()
package meter

import (
	"expvar"
	"fmt"
	"net/http"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Meter has the metrics of one instance. It is safe for concurrent use. The variables are
// not published globally, so that several instances can run in one process.
type Meter struct {
	vars *expvar.Map
	// events counts the log events by name.
	events     *expvar.Map
	histograms *histograms
}

// New returns a Meter without any counts.
func New() *Meter {
	vars := new(expvar.Map).Init()
	events := new(expvar.Map).Init()
	vars.Set("events", events)
	durations := newHistograms()
	vars.Set("millis", expvar.Func(durations.snapshot))
	return &Meter{vars: vars, events: events, histograms: durations}
}

// CountEvent counts a log event.
func (m *Meter) CountEvent(entry eventlog.Entry) {
	m.events.Add(entry.Number.String(), 1)
}

// Add adds delta to the named counter.
func (m *Meter) Add(name string, delta int64) {
	m.vars.Add(name, delta)
}

// Observe adds a duration to the named histogram.
func (m *Meter) Observe(name string, duration clock.Millis) { m.histograms.observe(name, duration) }

// Gauge publishes a value. It calls read each time the metrics are served.
func (m *Meter) Gauge(name string, read func() any) {
	m.vars.Set(name, expvar.Func(read))
}

// Handler serves the metrics as JSON, together with the memory statistics of the Go runtime.
func (m *Meter) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		fmt.Fprintf(w, "{\"hyssopdoor\": %s, \"memstats\": %s}\n", m.vars, expvar.Get("memstats"))
	})
}
