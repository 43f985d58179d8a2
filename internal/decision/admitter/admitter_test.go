package admitter_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/admitter"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const now = 100 * clock.Second

// newAdmitter returns an Admitter of one of some instances, with routes of two priorities.
func newAdmitter(instances int) *admitter.Admitter {
	a := admitter.New()
	a.SetInstances(instances, 0)
	a.SetPriorities(now, service, []int{0, 2})
	return a
}

func newRequest(id string, priority int) admitter.Request {
	return admitter.Request{ID: id, Service: service, Priority: priority, Target: 400, TargetAt: now + 400, GiveUpAt: now + 4000}
}

// TestAdmits guards against servers that get more than they can start, and against less urgent
// requests that take what more urgent ones need.
func TestAdmits(t *testing.T) {
	tests := map[string]struct {
		server   admitter.Server
		priority int
		want     bool
	}{
		"idle":                             {admitter.Server{Slots: 16}, 2, true},
		"unknown slots":                    {admitter.Server{Requests: 500}, 2, true},
		"a slot for an urgent request":     {admitter.Server{Slots: 16, Requests: 15}, 0, true},
		"that slot is not for others":      {admitter.Server{Slots: 16, Requests: 15}, 2, false},
		"a slot for a less urgent request": {admitter.Server{Slots: 16, Requests: 13}, 2, true},
		"a few queue until loads arrive":   {admitter.Server{Slots: 16, Requests: 19}, 0, true},
		"not more of them":                 {admitter.Server{Slots: 16, Requests: 20}, 0, false},
		"memory is short":                  {admitter.Server{Slots: 16, Requests: 2, MemoryTokens: 1000, NeededTokens: 1001}, 0, false},
		"memory is left for urgent ones":   {admitter.Server{Slots: 16, Requests: 2, MemoryTokens: 1000, NeededTokens: 900}, 2, false},
		"more memory than the server has":  {admitter.Server{Slots: 16, MemoryTokens: 1000, NeededTokens: 1001}, 0, true},
		"prompts are read within target":   {admitter.Server{Slots: 16, Requests: 4, QueueMs: 200}, 2, true},
		"prompts are not read in time":     {admitter.Server{Slots: 16, Requests: 4, QueueMs: 201}, 2, false},
		"urgent prompts are read first":    {admitter.Server{Slots: 16, Requests: 4, QueueMs: 900}, 0, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.want, newAdmitter(80).Admits(now, newRequest("r", test.priority), test.server))
		})
	}
}

// TestReserveEndsWithoutUrgentRequests guards against slots that stay free although no urgent
// request has arrived for a long time.
func TestReserveEndsWithoutUrgentRequests(t *testing.T) {
	a := newAdmitter(1)
	server := admitter.Server{ID: "e", Slots: 16, Requests: 15}
	require.False(t, a.Admits(now, newRequest("r", 2), server))
	require.True(t, a.Admits(now.Add(11*clock.Second), newRequest("r", 2), server))
}

// TestFreeSlotIsDivided guards against many instances that all send to the same free slot.
func TestFreeSlotIsDivided(t *testing.T) {
	const instances = 80
	admitted := 0
	for rank := range instances {
		a := newAdmitter(instances)
		a.SetInstances(instances, rank)
		a.Enqueue(now, newRequest("w", 0))
		for range 10 {
			if a.Admits(now, newRequest("w", 0), admitter.Server{ID: "e", Slots: 16, Requests: 17}) {
				admitted++
				a.Sent(now, newRequest(fmt.Sprint("w", admitted), 0), "e")
			}
		}
	}
	require.Equal(t, 3, admitted)
}

// TestOwnFreedSlotIsUsedAtOnce guards against a slot that idles until others learn of it.
func TestOwnFreedSlotIsUsedAtOnce(t *testing.T) {
	admitted := map[bool]int{}
	for rank := range 80 {
		for _, freed := range []bool{false, true} {
			a := newAdmitter(80)
			a.SetInstances(80, rank)
			a.Enqueue(now, newRequest("w", 0))
			if freed {
				a.Ended(now, service, 0, "e", 300)
			}
			if a.Admits(now.Add(50), newRequest("w", 0), admitter.Server{ID: "e", Slots: 16, Requests: 15}) {
				admitted[freed]++
			}
		}
	}
	require.Equal(t, 80, admitted[true])
	require.Less(t, admitted[false], 10)
}

// TestRejectingServerIsLeft guards against an instance that does not know the load, because it is
// cut off or has just started, and sends on to a full server.
func TestRejectingServerIsLeft(t *testing.T) {
	a := newAdmitter(8)
	server := admitter.Server{ID: "e", Slots: 16, Requests: 1}
	a.Rejected(now, service, server)
	require.False(t, a.Admits(now.Add(100), newRequest("r", 0), server))
	require.False(t, a.Admits(now.Add(300), newRequest("r", 2), admitter.Server{ID: "other", Slots: 16, Requests: 12}), "load that is not known is assumed elsewhere")
	require.True(t, a.Admits(now.Add(300), newRequest("r", 0), server))
	require.True(t, a.Admits(now.Add(9*clock.Second), newRequest("r", 2), admitter.Server{ID: "other", Slots: 16, Requests: 12}))
}

// TestOrderOfWaiting guards against new arrivals that overtake those that wait, and against an
// order that ignores urgency or target times.
func TestOrderOfWaiting(t *testing.T) {
	a := newAdmitter(1)
	early, late, less := newRequest("early", 0), newRequest("late", 0), newRequest("less", 2)
	late.TargetAt += 100
	less.TargetAt -= 100
	for _, request := range []admitter.Request{less, late, early} {
		a.Enqueue(now, request)
	}
	require.True(t, a.MustQueue(newRequest("new", 0)))
	require.True(t, a.MustQueue(newRequest("new", 2)))
	var order []string
	a.Round(now.Add(40), func(request admitter.Request, _ bool) bool {
		order = append(order, request.ID)
		a.Sent(now.Add(40), request, "e")
		return true
	})
	require.Equal(t, []string{"early", "late", "less"}, order)
	require.False(t, a.MustQueue(newRequest("new", 2)))
	require.Zero(t, a.Waiting())
}

// TestConstrainedRequestDoesNotBlock guards against a request with a single possible server behind
// which all others wait.
func TestConstrainedRequestDoesNotBlock(t *testing.T) {
	a := newAdmitter(1)
	constrained := newRequest("constrained", 0)
	constrained.Constrained = true
	a.Enqueue(now, constrained)
	require.False(t, a.MustQueue(newRequest("new", 0)))
}

// TestUseful guards against requests that are held although they can't be served any more, and
// against refusals while half of the slots are free.
func TestUseful(t *testing.T) {
	tests := map[string]struct {
		waiting  int
		capacity admitter.Capacity
		giveUpIn clock.Millis
		want     bool
	}{
		"free slots":                       {0, admitter.Capacity{Slots: 100, Requests: 49}, -1, true},
		"a slot is free in time":           {0, admitter.Capacity{Slots: 100, Requests: 100}, 500, true},
		"no slot is free in time":          {0, admitter.Capacity{Slots: 1, Requests: 1}, 400, false},
		"those that wait are sent in time": {99, admitter.Capacity{Slots: 100, Requests: 100}, 600, true},
		"too many wait":                    {99, admitter.Capacity{Slots: 100, Requests: 100}, 400, false},
		"too many wait at free slots":      {99, admitter.Capacity{Slots: 100, Requests: 10}, 400, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			a := newAdmitter(1)
			a.SetCapacity(newRequest("z", 0), test.capacity)
			for i := range test.waiting {
				a.Enqueue(now, newRequest(fmt.Sprint(i), 0))
			}
			request := newRequest("z", 0)
			request.TargetAt++
			request.GiveUpAt = now + test.giveUpIn
			require.Equal(t, test.want, a.Useful(now, request))
		})
	}
}

// BenchmarkRound measures a round while 700 requests wait and no server has capacity. Each try
// considers 140 servers.
func BenchmarkRound(b *testing.B) {
	a := newAdmitter(80)
	for i := range 700 {
		a.Enqueue(now, newRequest(fmt.Sprint(i), i%2*2))
	}
	ids := make([]string, 140)
	for i := range ids {
		ids[i] = fmt.Sprint("e", i)
	}
	tries := 0
	b.ResetTimer()
	for i := range b.N {
		at := now.Add(clock.Millis(i+1) * 40)
		a.Round(at, func(request admitter.Request, _ bool) bool {
			tries++
			for _, id := range ids {
				if a.Admits(at, request, admitter.Server{ID: id, Slots: 16, Requests: 20}) {
					return true
				}
			}
			return false
		})
	}
	b.ReportMetric(float64(tries)/float64(b.N), "tries/op")
}
