// Package explainer remembers the events of the latest requests, in bounded
// memory, to tell what became of a request.
//
// # Usage
//
//	memory := explainer.New(maxRequests)
//	memory.Add(entry)
//	entries, ok := memory.Explain("r-17")
package explainer

import "github.com/hyssopdoor/hyssopdoor/internal/decision/journal"

// maxEntries bounds the events that are kept of one request.
const maxEntries = 64

// Explainer is a memory of events. It is not safe for concurrent use.
type Explainer struct {
	entries map[string][]journal.Entry
	order   []string
	limit   int
}

// New returns an Explainer for the given number of requests.
func New(limit int) *Explainer {
	return &Explainer{entries: map[string][]journal.Entry{}, limit: limit}
}

// Add remembers the entry if it is about a request. The oldest request is
// forgotten when there are too many.
func (e *Explainer) Add(entry journal.Entry) {
	if entry.Request == "" {
		return
	}
	known, ok := e.entries[entry.Request]
	if !ok {
		e.makeRoom()
		e.order = append(e.order, entry.Request)
	}
	if len(known) < maxEntries {
		e.entries[entry.Request] = append(known, entry)
	}
}

// Explain returns the events of the request, the first one first.
func (e *Explainer) Explain(request string) ([]journal.Entry, bool) {
	entries, ok := e.entries[request]
	return entries, ok
}

func (e *Explainer) makeRoom() {
	for len(e.order) >= e.limit {
		delete(e.entries, e.order[0])
		e.order = e.order[1:]
	}
}
