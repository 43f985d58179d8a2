// Package retrybudget limits the retries that one instance sends to a service, so that
// all instances together stay within one budget.
//
// Load pattern: a third of a service's servers fail at once, and each failed request is
// retried when the remaining servers have the least capacity to spare.
//
// Within any window, the retries are at most a ratio of the requests for the service
// plus a fixed extra. Each instance applies the ratio to its own requests, so that the sum
// stays within the ratio. The extra is divided equally among the instances.
//
// # Usage
//
//	budget := retrybudget.New(ratio, extra, window)
//	budget.RecordRequest(now, "engines")
//	if budget.AcquireRetry(now, "engines", instances) { ... }
package retrybudget

import (
	"slices"

	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// restartReserve is the fraction of the extra that is never used, as an instance
	// loses the count of its retries in a restart.
	restartReserve = 0.5
	// maxTimestamps bounds the requests, and the retries, recorded of each service.
	maxTimestamps = 8192
)

// Budget has the retry budgets of all services. It is not safe for concurrent use.
type Budget struct {
	ratio    float64
	extra    int64
	window   clock.Millis
	services map[string]*serviceHistory
}

// serviceHistory has the times of requests and retries within the window, the oldest
// first.
type serviceHistory struct {
	requests []clock.Millis
	retries  []clock.Millis
}

// New returns a Budget that allows, within any window, the ratio of the requests plus
// the extra number, as retries.
func New(ratio float64, extra int64, window clock.Millis) *Budget {
	return &Budget{ratio: ratio, extra: extra, window: window, services: map[string]*serviceHistory{}}
}

func (b *Budget) historyOf(service string) *serviceHistory {
	history, ok := b.services[service]
	if !ok {
		history = &serviceHistory{}
		b.services[service] = history
	}
	return history
}

// RecordRequest records a caller's request for the service.
func (b *Budget) RecordRequest(now clock.Millis, service string) {
	history := b.historyOf(service)
	history.requests = append(dropBefore(history.requests, now.Add(-b.window)), now)
}

// AcquireRetry takes one retry from the service's budget, whose extra is divided among
// the given number of instances. It reports false if the budget is used up.
func (b *Budget) AcquireRetry(now clock.Millis, service string, instances int) bool {
	history := b.historyOf(service)
	history.requests = dropBefore(history.requests, now.Add(-b.window))
	history.retries = dropBefore(history.retries, now.Add(-b.window))
	ownExtra := float64(b.extra) * (1 - restartReserve) / float64(max(1, instances))
	if float64(len(history.retries)+1) > b.ratio*float64(len(history.requests))+ownExtra {
		return false
	}
	history.retries = append(history.retries, now)
	return true
}

// dropBefore returns the last maxTimestamps of the times that are not before start.
func dropBefore(times []clock.Millis, start clock.Millis) []clock.Millis {
	i, _ := slices.BinarySearch(times, start)
	i = max(i, len(times)-maxTimestamps)
	return slices.Delete(times, 0, i)
}
