package replicator_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/replicator"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// configApply is the time from the acceptance of a desired state until all instances
	// use it, and keyWithdrawal that until a withdrawn key is no longer used.
	configApply   = 2 * clock.Second
	keyWithdrawal = 5 * clock.Second
	hopDelay      = 200 * clock.Millisecond
	tops          = 10
)

var timing = replicator.NewTiming(configApply, keyWithdrawal)

// instance is a simulated instance: the next poll of the store while it watches.
type instance struct {
	copies   *replicator.Replicator
	nextPoll clock.Millis
	polls    int
	// cutOff is set while the store does not respond to the instance; dead while it does
	// not run.
	cutOff, dead bool
}

// simulation has instances that all exchange their copies, each with a delay.
type simulation struct {
	now       clock.Millis
	instances []*instance
	random    *rand.Rand
}

func newSimulation(count int) *simulation {
	s := &simulation{now: 1, random: rand.New(rand.NewPCG(1, 2))}
	for i := range count {
		s.instances = append(s.instances, &instance{copies: replicator.New(s.now, uint32(i+1), timing)})
	}
	return s
}

// run advances the time, and returns the greatest age of a copy of a running instance
// after warmup.
func (s *simulation) run(duration, warmup clock.Millis) clock.Millis {
	var oldest clock.Millis
	end, start := s.now.Add(duration), s.now
	for ; s.now < end; s.now += 10 {
		for rank, in := range s.instances {
			if in.dead {
				continue
			}
			s.poll(rank, in)
			if s.now%200 == clock.Millis(rank%20)*10+1 {
				s.offer(rank, in)
			}
			if s.now.Since(start) > warmup {
				oldest = max(oldest, s.now.Since(in.copies.Copy(replicator.State).ConfirmedAt))
			}
		}
	}
	return oldest
}

func (s *simulation) poll(rank int, in *instance) {
	if !in.copies.Next(s.now, rank, tops).Watch || s.now < in.nextPoll {
		return
	}
	in.polls++
	in.nextPoll = s.now.Add(timing.Wait)
	if in.cutOff {
		in.copies.StoreFailed(s.now)
		return
	}
	in.copies.StoreResponded()
	for _, kind := range replicator.Kinds {
		in.copies.Updated(kind, replicator.Copy{Revision: 7, Through: 7, ConfirmedAt: s.now, Source: uint32(rank + 1)})
	}
}

// offer offers the instance's copies to all others, as they were some time ago.
func (s *simulation) offer(from int, in *instance) {
	held := in.copies.Copy(replicator.State)
	if held.ConfirmedAt == 0 {
		return
	}
	held.ConfirmedAt = held.ConfirmedAt.Add(-hopDelay)
	for to, other := range s.instances {
		if to == from || other.dead || s.random.IntN(50) == 0 {
			continue
		}
		offer := replicator.Offer{Kind: replicator.State, Neighbor: "n", Copy: held, SourceRank: int(held.Source) - 1}
		if !other.copies.Offer(s.now, offer, to) && other.copies.Copy(replicator.State).Revision < held.Revision {
			other.copies.Updated(replicator.State, held)
		}
	}
}

func (s *simulation) polls() int {
	polls := 0
	for _, in := range s.instances {
		polls += in.polls
	}
	return polls
}

// TestCallsDoNotGrowWithInstances verifies that in normal operation, start included, one
// instance calls the store however many there are, and that all copies stay recent.
func TestCallsDoNotGrowWithInstances(t *testing.T) {
	for name, count := range map[string]int{"7": 7, "67": 67, "295": 295} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(count)
			oldest := s.run(60*clock.Second, 5*clock.Second)
			require.LessOrEqual(t, s.polls(), int(66*clock.Second/timing.Wait), "calls for one kind in 60 s")
			require.Less(t, oldest, configApply, "age of a copy in normal operation")
		})
	}
}

// TestTakeover verifies that no copy becomes older than a desired state may be while the
// instances that watch die, or lose the store, one after another and together.
func TestTakeover(t *testing.T) {
	tests := map[string]func(s *simulation, rank int){
		"dies":            func(s *simulation, rank int) { s.instances[rank].dead = true },
		"loses the store": func(s *simulation, rank int) { s.instances[rank].cutOff = true },
	}
	for name, fail := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(67)
			s.run(10*clock.Second, 0)
			for rank := range 4 {
				fail(s, rank)
				require.Less(t, s.run(10*clock.Second, 0), configApply, "after the loss of rank %d", rank)
			}
			fail(s, 4)
			fail(s, 5)
			fail(s, 6)
			require.Less(t, s.run(10*clock.Second, 0), configApply, "after the loss of three at once")
		})
	}
}

// TestStoreAwayFromAll verifies that an outage of the store, and its end, bring no storm
// of calls: most instances don't try at all.
func TestStoreAwayFromAll(t *testing.T) {
	s := newSimulation(295)
	s.run(10*clock.Second, 0)
	before := s.polls()
	for _, in := range s.instances {
		in.cutOff = true
	}
	s.run(9*clock.Second, 0)
	require.LessOrEqual(t, s.polls()-before, 295, "calls while the store is away for 9 s: one an instance, as a bound")
	before = s.polls()
	for _, in := range s.instances {
		in.cutOff = false
	}
	s.run(4*clock.Second, 0)
	require.LessOrEqual(t, s.polls()-before, 100, "calls in the 4 s after its return")
	require.Less(t, s.run(5*clock.Second, 0), configApply)
}

// TestStartWithoutRank verifies that instances which are not listed yet wait for
// different times, so that those that start first provide the others with the objects.
func TestStartWithoutRank(t *testing.T) {
	watching := 0
	for i := range uint32(295) {
		copies := replicator.New(1, i*7919, timing)
		require.False(t, copies.Next(2*clock.Second, replicator.Unlisted, 0).Watch)
		if copies.Next(3*clock.Second, replicator.Unlisted, 0).Watch {
			watching++
		}
	}
	require.Less(t, watching, 60)
}

// TestConfirmations verifies which offers confirm a copy.
func TestConfirmations(t *testing.T) {
	tests := map[string]struct {
		offered    replicator.Copy
		confirms   bool
		fetchesNow bool
	}{
		"the same revision, a later time":    {replicator.Copy{Revision: 7, ConfirmedAt: 1500, Source: 2}, true, false},
		"the same revision, an earlier time": {replicator.Copy{Revision: 7, ConfirmedAt: 900, Source: 2}, false, false},
		"an older revision, a later time":    {replicator.Copy{Revision: 5, ConfirmedAt: 1500, Source: 2}, true, false},
		"a newer revision":                   {replicator.Copy{Revision: 9, ConfirmedAt: 1500, Source: 2}, false, true},
		"a time that is not known":           {replicator.Copy{Revision: 7, Source: 2}, false, false},
		"a newer one of unknown age":         {replicator.Copy{Revision: 9, Source: 2}, false, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			copies := replicator.New(1, 1, timing)
			copies.Updated(replicator.State, replicator.Copy{Revision: 7, Through: 7, ConfirmedAt: 1000})
			offer := replicator.Offer{Kind: replicator.State, Neighbor: "n", Copy: test.offered}
			require.Equal(t, test.confirms, copies.Offer(2000, offer, 3))
			require.Equal(t, test.fetchesNow, copies.Next(2000, 3, 10).FetchFrom == "n")
			require.Equal(t, int64(7), copies.Copy(replicator.State).Revision, "an offer changes no content")
		})
	}
}

// TestFetchIsRetried verifies that a failed fetch is retried after a pause, from the
// neighbor that offers the objects then.
func TestFetchIsRetried(t *testing.T) {
	copies := replicator.New(1, 1, timing)
	newer := func(neighbor string) replicator.Offer {
		return replicator.Offer{Kind: replicator.Servers, Neighbor: neighbor, Copy: replicator.Copy{Revision: 9, ConfirmedAt: 50}}
	}
	copies.Offer(100, newer("a"), 3)
	require.Equal(t, "a", copies.Next(100, 3, 10).FetchFrom)
	require.Empty(t, copies.Next(110, 3, 10).FetchFrom, "one fetch at a time")
	copies.FetchEnded(150, true)
	copies.Offer(160, newer("b"), 3)
	require.Empty(t, copies.Next(170, 3, 10).FetchFrom)
	require.Equal(t, "b", copies.Next(400, 3, 10).FetchFrom)
	copies.Updated(replicator.Servers, replicator.Copy{Revision: 9, ConfirmedAt: 380})
	copies.FetchEnded(420, false)
	require.Empty(t, copies.Next(430, 3, 10).FetchFrom)
}
