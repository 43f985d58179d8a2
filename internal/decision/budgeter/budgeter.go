// Package budgeter bounds the repeats that one instance sends to a service, so that
// all instances together stay within one budget.
//
// Load pattern: a third of a service's servers fail at once, and each request that
// failed is sent again at the moment when the rest has the least room.
//
// Within any window, repeats are at most a ratio of the requests for the service
// plus an extra. The ratio is kept by each instance for its own requests, so the
// sum holds by itself; of the extra each member has an equal part.
//
// # Usage
//
//	budget := budgeter.New(ratio, extra, window)
//	budget.Request(now, "engines")
//	if budget.Take(now, "engines", members) { ... }
package budgeter

import (
	"slices"

	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// reserve is the part of the budget that is kept for repeats which this instance
	// forgot in a restart: half of the extra.
	reserve = 0.5
	// maxRemembered bounds the instants remembered of each service.
	maxRemembered = 8192
)

// Budgeter is the budgets of all services. It is not safe for concurrent use.
type Budgeter struct {
	ratio    float64
	extra    int64
	window   clock.Millis
	services map[string]*history
}

// history has the instants of the window, the oldest first.
type history struct {
	requests []clock.Millis
	repeats  []clock.Millis
}

// New returns a Budgeter of the ratio and the extra within any window.
func New(ratio float64, extra int64, window clock.Millis) *Budgeter {
	return &Budgeter{ratio: ratio, extra: extra, window: window, services: map[string]*history{}}
}

func (b *Budgeter) of(service string) *history {
	known, ok := b.services[service]
	if !ok {
		known = &history{}
		b.services[service] = known
	}
	return known
}

// Request counts a caller's request for the service.
func (b *Budgeter) Request(now clock.Millis, service string) {
	known := b.of(service)
	known.requests = append(since(known.requests, now.Add(-b.window)), now)
}

// Take takes one repeat. It reports false when the budget has none left.
func (b *Budgeter) Take(now clock.Millis, service string, members int) bool {
	known := b.of(service)
	known.requests = since(known.requests, now.Add(-b.window))
	known.repeats = since(known.repeats, now.Add(-b.window))
	own := float64(b.extra) * (1 - reserve) / float64(max(1, members))
	if float64(len(known.repeats)+1) > b.ratio*float64(len(known.requests))+own {
		return false
	}
	known.repeats = append(known.repeats, now)
	return true
}

// since returns the instants after start, at most maxRemembered.
func since(instants []clock.Millis, start clock.Millis) []clock.Millis {
	i, _ := slices.BinarySearch(instants, start)
	i = max(i, len(instants)-maxRemembered)
	return slices.Delete(instants, 0, i)
}
