package desired

import "github.com/hyssopdoor/hyssopdoor/pkg/clock"

// Kind determines which requests of a route may be retried.
type Kind int

// The kinds.
const (
	// Safe requests may run more than once.
	Safe Kind = iota + 1
	// Unsafe requests run at most once.
	Unsafe
	// Stream requests have a response of numbered events. They are resumed at another
	// server only if the route is resumable.
	Stream
)

// String returns the kind's name.
func (k Kind) String() string {
	return [...]string{"unknown", "safe", "unsafe", "stream"}[k]
}

// Route routes the requests of a host and a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Split is the traffic split: services with weights.
	Split []WeightedService
	// MaxAttempts is the maximum number of servers that run one request.
	MaxAttempts int
	// Timeout is the time within which a response must end.
	Timeout clock.Millis
	// ResponseTarget is the target time to the response, or to the first event of a
	// stream, and EventGapTarget the target time between events.
	ResponseTarget clock.Millis
	EventGapTarget clock.Millis
	// Priority orders requests; 0 is the highest.
	Priority int
	// Open routes require no key.
	Open      bool
	Resumable bool
}

// WeightedService is a service with its weight in a traffic split.
type WeightedService struct {
	Service string
	Weight  int
}

// Repeatable reports whether a request may run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == Safe || (r.Kind == Stream && r.Resumable)
}

// LeadsTo reports whether the route may lead to the service.
func (r Route) LeadsTo(service string) bool {
	for _, weighted := range r.Split {
		if weighted.Service == service && weighted.Weight > 0 {
			return true
		}
	}
	return service != "" && service == r.Service(0)
}

// SoleService returns the service of a route that leads to one only.
func (r Route) SoleService() (string, bool) {
	sole := ""
	for _, weighted := range r.Split {
		if weighted.Weight <= 0 && len(r.Split) > 1 {
			continue
		}
		if sole != "" && sole != weighted.Service {
			return "", false
		}
		sole = weighted.Service
	}
	return sole, sole != ""
}

// Service returns the service for the hash, which must be evenly distributed over the
// requests.
func (r Route) Service(hash uint64) string {
	total := 0
	for _, weighted := range r.Split {
		total += weighted.Weight
	}
	if total <= 0 {
		if len(r.Split) == 0 {
			return ""
		}
		return r.Split[0].Service
	}
	remaining := int(hash % uint64(total))
	for _, weighted := range r.Split {
		if remaining < weighted.Weight {
			return weighted.Service
		}
		remaining -= weighted.Weight
	}
	return r.Split[len(r.Split)-1].Service
}
