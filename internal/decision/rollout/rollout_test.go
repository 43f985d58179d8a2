package rollout_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/rollout"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

func TestRollout(t *testing.T) {
	s := newSimulation(t, 1, 3, 9)
	s.run(2 * clock.Second)
	s.publish(2)
	s.run(4500)
	require.Equal(t, 9, s.updated(2), "nine engines, two at a time, in 2.5 s")
	s.requireOneHolder()
}

// TestMaxConcurrentLoads publishes a version while all engines serve: at most two load
// at once.
func TestMaxConcurrentLoads(t *testing.T) {
	s := newSimulation(t, 1, 1, 9)
	s.run(2 * clock.Second)
	s.publish(2)
	for s.updated(2) < 9 && s.now < 10*clock.Second {
		s.run(s.now + 10)
		loading := 0
		for _, e := range s.engines {
			if e.target > e.version {
				loading++
			}
		}
		require.LessOrEqual(t, loading, 2)
		require.LessOrEqual(t, len(s.controllers[0].LoadingEngines()), 2)
	}
}

// TestTooOldEnginesLoadTogether publishes a version when the weights of all engines are
// already too old to serve, as after a time without orders: no engine waits for the
// load of another one.
func TestTooOldEnginesLoadTogether(t *testing.T) {
	s := newSimulation(t, 1, 1, 9)
	s.tooOld = true
	s.run(2 * clock.Second)
	s.publish(2)
	s.run(s.now + 200 + loadTime)
	require.Equal(t, 9, s.updated(2))
}

// TestSkippedVersion verifies that a version which is superseded before it is loaded is
// skipped.
func TestSkippedVersion(t *testing.T) {
	s := newSimulation(t, 1, 1, 9)
	s.run(2 * clock.Second)
	s.publish(2)
	s.run(2500)
	s.publish(3)
	s.run(6 * clock.Second)
	require.Equal(t, 9, s.updated(3))
	orders := 0
	for _, received := range s.received {
		orders += len(received)
	}
	require.LessOrEqual(t, orders, 9+4, "only those that were under way load twice")
}

// TestUnansweredOrders publishes a version while half of the orders get no response and
// are carried out seconds later, if they are still valid: all engines load the newest
// weights within the required time.
func TestUnansweredOrders(t *testing.T) {
	const bound = 8400 * clock.Millisecond
	for seed := range uint64(30) {
		s := newSimulation(t, seed, 3, 9)
		s.delayedPercent = 50
		s.run(2 * clock.Second)
		s.publish(2)
		s.run(s.now + bound)
		require.Equal(t, 9, s.updated(2), "seed %d", seed)
		s.requireOneHolder()
	}
}

// TestNewestVersionAfterUnansweredOrder verifies that the next order to an engine whose
// order got no response is for the newest weights.
func TestNewestVersionAfterUnansweredOrder(t *testing.T) {
	s := newSimulation(t, 1, 1, 1)
	s.run(2 * clock.Second)
	s.delayedPercent = 100
	s.publish(2)
	s.run(s.now + 100)
	require.Len(t, s.received["e0"], 1)
	s.delayedPercent = 0
	s.publish(3)
	s.run(s.now + 1500)
	require.Equal(t, 1, s.updated(3))
	require.Len(t, s.received["e0"], 2, "no order for the weights in between")
}

// TestUnresponsiveEngines verifies that engines which give no report do not delay the
// update of the others.
func TestUnresponsiveEngines(t *testing.T) {
	s := newSimulation(t, 1, 2, 9)
	s.engines[0].unresponsive = true
	s.engines[1].unresponsive = true
	s.run(2 * clock.Second)
	s.publish(2)
	s.run(4500)
	require.Equal(t, 7, s.updated(2))
}

// TestHolderWithoutStore cuts off only the holder from the store: a peer renews its
// lease, and it remains the holder.
func TestHolderWithoutStore(t *testing.T) {
	s := newSimulation(t, 1, 3, 9)
	s.run(2 * clock.Second)
	s.publish(2)
	s.run(2300)
	require.True(t, s.controllers[0].HoldsLease(s.now))
	s.storeUnreachable[0] = true
	s.run(5 * clock.Second)
	require.Equal(t, 9, s.updated(2))
	for _, orders := range s.received {
		for _, order := range orders {
			require.Equal(t, "edge-0@10.0.0.0", order.holder)
		}
	}
}

// TestRestartedHolder verifies that a holder which restarts at its address need not
// wait for its own lease.
func TestRestartedHolder(t *testing.T) {
	s := newSimulation(t, 1, 3, 9)
	s.run(2 * clock.Second)
	s.publish(2)
	s.run(2600)
	s.controllers[0] = rollout.New("edge-0@10.0.0.0", minHandover)
	s.controllers[0].AddVersion(s.now, model, 2, s.now, true)
	s.run(5500)
	require.Equal(t, 9, s.updated(2))
	s.requireOneHolder()
}

// TestSingleHolder runs random sequences of paused instances, failures to reach the
// store, restarts, lost responses and new versions, and verifies that the orders of
// different holders are fenced and apart in time.
func TestSingleHolder(t *testing.T) {
	const seeds = 40
	holders := 0
	for seed := range uint64(seeds) {
		s := newSimulation(t, seed, 4, 5)
		s.lostPercent = int(seed % 4 * 10)
		version := int64(1)
		for s.now < 60*clock.Second {
			s.run(s.now + clock.Millis(200+s.random.IntN(1500)))
			i := s.random.IntN(len(s.controllers))
			switch s.random.IntN(6) {
			case 0, 1:
				version++
				s.publish(version)
			case 2:
				s.pausedUntil[i] = s.now + clock.Millis(s.random.IntN(7000))
			case 3:
				s.storeUnreachable[i] = true
			case 4:
				s.storeUnreachable[i] = false
			case 5:
				s.controllers[i] = rollout.New(fmt.Sprintf("edge-%d@10.0.0.%d", i, i), minHandover)
				for v := int64(2); v <= version; v++ {
					s.controllers[i].AddVersion(s.now, model, v, s.now, false)
				}
			}
		}
		s.requireOneHolder()
		seen := map[string]bool{}
		for _, orders := range s.received {
			for _, order := range orders {
				seen[order.holder] = true
			}
		}
		holders += len(seen)
		clear(s.storeUnreachable)
		clear(s.pausedUntil)
		s.lostPercent = 0
		s.run(s.now + 12*clock.Second)
		require.Equal(t, 5, s.updated(version), "seed %d: all engines load the newest weights", seed)
	}
	require.Greater(t, holders, 2*seeds, "the lease must have changed hands")
}

// TestSuperseded verifies that the age of a version counts from the first newer
// version, and that an observed time of publication replaces an estimate.
func TestSuperseded(t *testing.T) {
	controller := rollout.New("edge", minHandover)
	controller.AddVersion(0, model, 1, 0, true)
	controller.AddVersion(1000, model, 2, 1000, true)
	controller.AddVersion(4000, model, 3, 4000, true)
	since, outdated := controller.SupersededAt(model, 1)
	require.True(t, outdated)
	require.Equal(t, clock.Second, since)
	_, outdated = controller.SupersededAt(model, 3)
	require.False(t, outdated)

	late := rollout.New("late", minHandover)
	late.AddVersion(4000, model, 3, -2000, false)
	late.AddVersion(4000, model, 2, 1000, true)
	late.AddVersion(4000, model, 3, 4000, true)
	since, _ = late.SupersededAt(model, 2)
	require.Equal(t, 4*clock.Second, since, "a peer observed the publication")
	since, _ = late.SupersededAt(model, 1)
	require.Equal(t, clock.Second, since)

	started := rollout.New("started", minHandover)
	started.AddVersion(4000, model, 1, -9000, false)
	started.AddVersionAfterGap(4000, model, 3, 4000, -2000, true)
	since, _ = started.SupersededAt(model, 1)
	require.Equal(t, -2*clock.Second, since, "another version may have come first")
	since, _ = started.SupersededAt(model, 2)
	require.Equal(t, 4*clock.Second, since)
	started.AddVersion(4000, model, 2, 1000, true)
	since, _ = started.SupersededAt(model, 1)
	require.Equal(t, clock.Second, since, "it was version 2")

	// A restored store names 3 when 5 is known.
	for name, exact := range map[string]bool{"observed": true, "bounded": false} {
		restored := rollout.New("restored", minHandover)
		restored.AddVersion(0, model, 1, 0, true)
		restored.AddVersion(1200, model, 5, 1000, false)
		restored.AddVersion(9000, model, 3, 8500, exact)
		since, _ = restored.SupersededAt(model, 1)
		require.Equal(t, clock.Second, since, "3 is %s, and 5 was published before it", name)
	}
}
