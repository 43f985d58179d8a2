// Package explainer keeps the log entries of the latest requests in bounded memory, so
// that operators can look up how a request was handled.
//
// # Usage
//
//	history := explainer.New(maxRequests)
//	history.Add(entry)
//	entries, ok := history.Explain("r-17")
package explainer

import "github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"

// maxEntriesPerRequest is the maximum number of entries kept for one request.
const maxEntriesPerRequest = 64

// Explainer is a bounded history of log entries. It is not safe for concurrent use.
type Explainer struct {
	entries      map[string][]eventlog.Entry
	arrivalOrder []string
	maxRequests  int
}

// New returns an Explainer that keeps the entries of at most maxRequests requests.
func New(maxRequests int) *Explainer {
	return &Explainer{entries: map[string][]eventlog.Entry{}, maxRequests: maxRequests}
}

// Add stores the entry if it is about a request. When there are too many requests,
// the oldest one is evicted.
func (e *Explainer) Add(entry eventlog.Entry) {
	if entry.Request == "" {
		return
	}
	entries, ok := e.entries[entry.Request]
	if !ok {
		e.evictOldest()
		e.arrivalOrder = append(e.arrivalOrder, entry.Request)
	}
	if len(entries) < maxEntriesPerRequest {
		e.entries[entry.Request] = append(entries, entry)
	}
}

// Explain returns the entries of the request, the oldest first.
func (e *Explainer) Explain(request string) ([]eventlog.Entry, bool) {
	entries, ok := e.entries[request]
	return entries, ok
}

func (e *Explainer) evictOldest() {
	for len(e.arrivalOrder) >= e.maxRequests {
		delete(e.entries, e.arrivalOrder[0])
		e.arrivalOrder = e.arrivalOrder[1:]
	}
}
