package versionassigner

import "github.com/hyssopdoor/hyssopdoor/pkg/clock"

const (
	// urgentInterval is the shortest time between two records while a version has servers
	// but no share, or the other way round.
	urgentInterval = 300 * clock.Millisecond
	// usualInterval is the same while the shares only differ from the servers.
	usualInterval = 2 * clock.Second
	// toleranceParts sets by which part of its servers a version may differ from its
	// share: each new record leaves the versions of some streams unknown for a time.
	toleranceParts = 4
	// leftStep is the part to which the time left has fallen when it is written again: a
	// reader that starts later counts from its own start.
	leftStep = 2
)

// View is what the next record depends on.
type View struct {
	Era    int64
	Routes string
	// Servers are the numbers of servers that accept requests, by version.
	Servers map[string]int
	// Clean reports whether all instances have the record and list the streams left that did
	// not begin by its current assignment. Left is the time for which there may be others.
	Clean bool
	Left  clock.Millis
	// Exceptions are the versions of the known streams that did not, by the hash of the stream.
	Exceptions map[uint64][]string
	// Age is the time for which the record has been known.
	Age clock.Millis
}

// Next returns the record that should replace this one, and whether it differs.
func (r Record) Next(view View) (Record, bool) {
	if !r.IsFor(view.Era, view.Routes) {
		return r.WithOrigin(view.Era, view.Routes), true
	}
	shares := Shares(view.Servers)
	if len(shares) == 0 {
		return r, false
	}
	if age := r.updateAge(shares); age > 0 && view.Age >= age {
		return r.WithCurrent(shares), true
	}
	switch {
	case r.Settled():
		return r, false
	case r.At(view.Age).Settled():
		return r.WithoutEarlier(), true
	case view.Clean && view.Left <= 0:
		_, fit := joinExceptions(nil, view.Exceptions)
		return r.WithoutEarlier().withExceptions(view.Exceptions), fit
	case view.Clean && (r.left == 0 || (view.Left <= r.left/leftStep && view.Age >= urgentInterval)):
		joined, fit := joinExceptions(r.exceptions, view.Exceptions)
		return r.WithLeft(view.Left).withExceptions(joined), fit
	default:
		return r, false
	}
}

// updateAge returns the age from which the record is replaced for the shares; 0 for never.
func (r Record) updateAge(shares map[string]int) clock.Millis {
	total, currentTotal := 0, 0
	for _, count := range shares {
		total += count
	}
	for version, count := range r.current {
		currentTotal += count
		if shares[version] == 0 {
			return urgentInterval
		}
	}
	age := clock.Millis(0)
	for version, count := range shares {
		current := r.current[version]
		if current == 0 {
			return urgentInterval
		}
		if difference := count*currentTotal - current*total; max(difference, -difference)*toleranceParts > count*currentTotal {
			age = usualInterval
		}
	}
	return age
}
