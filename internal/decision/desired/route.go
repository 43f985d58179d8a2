package desired

import "github.com/hyssopdoor/hyssopdoor/pkg/clock"

// Kind tells what may be repeated on a route.
type Kind int

// The kinds.
const (
	// Safe requests may run more than once.
	Safe Kind = iota + 1
	// Unsafe requests run at most once.
	Unsafe
	// Stream requests are answered by a series of numbered events; they may go on
	// at another server only where the route is resumable.
	Stream
)

// String returns the kind's name.
func (k Kind) String() string {
	return [...]string{"unknown", "safe", "unsafe", "stream"}[k]
}

// Route leads requests of a host and a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Split are the services with the weights by which requests are divided.
	Split []Portion
	// Attempts is the greatest number of servers that may run one request.
	Attempts int
	// Timeout is the longest wait for the end of an answer.
	Timeout clock.Millis
	// Target is the time to the answer, of a stream to the first event, and GapTarget
	// the pause between events, within which an answer is on time.
	Target    clock.Millis
	GapTarget clock.Millis
	// Rank orders requests; 0 goes first.
	Rank int
	// Open routes need no key.
	Open      bool
	Resumable bool
}

// Portion is a service's part of a route's requests.
type Portion struct {
	Service string
	Weight  int
}

// Repeatable reports whether a request may run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == Safe || (r.Kind == Stream && r.Resumable)
}

// Service returns the service for the number, which is spread evenly over the
// requests.
func (r Route) Service(number uint64) string {
	total := 0
	for _, portion := range r.Split {
		total += portion.Weight
	}
	if total <= 0 {
		if len(r.Split) == 0 {
			return ""
		}
		return r.Split[0].Service
	}
	at := int(number % uint64(total))
	for _, portion := range r.Split {
		if at < portion.Weight {
			return portion.Service
		}
		at -= portion.Weight
	}
	return r.Split[len(r.Split)-1].Service
}
