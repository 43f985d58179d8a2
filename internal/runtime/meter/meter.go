// Package meter counts what an instance does, and keeps histograms of how long things
// took, published by expvar.
//
// # Usage
//
//	counts := meter.New()
//	counts.Entry(entry)
//	counts.Observe("answer", 120*clock.Millisecond)
//	counts.Handler()
package meter

import (
	"expvar"
	"fmt"
	"net/http"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/journal"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Meter is the counters of one instance. It is safe for concurrent use. It is
// not published globally, so that several instances fit in one process.
type Meter struct {
	vars *expvar.Map
	// events counts the log's events by name.
	events *expvar.Map
	spans  *spans
}

// New returns a Meter at zero.
func New() *Meter {
	vars := new(expvar.Map).Init()
	events := new(expvar.Map).Init()
	vars.Set("events", events)
	taken := newSpans()
	vars.Set("millis", expvar.Func(taken.read))
	return &Meter{vars: vars, events: events, spans: taken}
}

// Entry counts one event.
func (m *Meter) Entry(entry journal.Entry) {
	m.events.Add(entry.Number.String(), 1)
}

// Add adds to the named counter.
func (m *Meter) Add(name string, delta int64) {
	m.vars.Add(name, delta)
}

// Observe adds a span to the named histogram.
func (m *Meter) Observe(name string, span clock.Millis) { m.spans.observe(name, span) }

// Gauge publishes the value that read returns when the meter is read.
func (m *Meter) Gauge(name string, read func() any) {
	m.vars.Set(name, expvar.Func(read))
}

// Handler serves the counters as JSON, with those of the Go runtime.
func (m *Meter) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		fmt.Fprintf(w, "{\"hyssopdoor\": %s, \"memstats\": %s}\n", m.vars, expvar.Get("memstats"))
	})
}
