package forwarder_test

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/registry"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/scheduler"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// server is a simulated server.
type server struct {
	entry          registry.Entry
	acceptedOrders int64
	// down reports whether it refuses connections, and queueFull whether connects time out.
	down, queueFull bool
	drainingSince   clock.Millis
	// leaving reports whether all its responses say that it will stop, and pausedUntil is
	// the time until which it declines everything.
	leaving     bool
	pausedUntil clock.Millis
	// queue is the time for which streams, and all requests of engines, wait there before they begin.
	queue clock.Millis
	// limit is the limit that it names in its responses; nil for none.
	limit *limitPeriod
	// room is its capacity; nil for an unlimited one.
	room *room
	// cacheChanges are the changes of the cache since the server's start.
	cacheChanges []forwarder.CacheChange
	// cached has the parts in the cache, with their salt.
	cached map[string]bool
}

// request is a caller's request and its results.
type request struct {
	instance      int
	sentAt        clock.Millis
	kind          string
	runs          int
	finalActions  int
	finalAction   forwarder.Action
	attempts      int
	partDelivered bool
	lastDispatch  forwarder.Dispatch
	// owner is the attempt whose events are passed on, and heldFor the one for which they wait; 0 for none.
	owner, heldFor int
	// cancelled are the numbers of its cancelled attempts.
	cancelled []int
	// softwareVersions are those of the servers whose events it has received.
	softwareVersions map[string]bool
	// weights are the versions of the weights at the servers of its attempts, by number.
	weights map[int]int64
	parts   []scheduler.Part
}
