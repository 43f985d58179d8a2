package rollout_test

import (
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/rollout"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// eraSeeds is the number of random sequences of TestSingleHolderAcrossEras.
var eraSeeds = flag.Int("eraSeeds", 20, "the number of random sequences with eras")

// TestLeaseIsLost makes the store come back from a copy without the lease, or with an older
// one, while another instance holds it: orders of two holders stay apart, and all engines
// are updated.
func TestLeaseIsLost(t *testing.T) {
	tests := map[string]clock.Millis{"the lease was not there": 2 * clock.Second, "it was held by the same instance": 300, "nothing was lost": 0}
	for name, age := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, 1, 3, 9)
			s.run(2 * clock.Second)
			s.publish(2)
			s.run(2600)
			require.True(t, s.controllers[0].HoldsLease(s.now))
			s.pausedUntil[0] = s.now + 700
			s.goBack(age)
			s.run(s.now + 12*clock.Second)
			require.Equal(t, 9, s.updated(2))
			s.requireOneHolder()
		})
	}
}

// TestHolderStopsInAnotherEra verifies that a holder sends no orders once it knows of a later
// era, and that it does not take a late response for its lease.
func TestHolderStopsInAnotherEra(t *testing.T) {
	s := newSimulation(t, 1, 1, 9)
	s.run(2 * clock.Second)
	s.publish(2)
	s.run(2300)
	holder := s.controllers[0]
	require.True(t, holder.HoldsLease(s.now))
	observed := holder.Observation()
	holder.SeeEra(s.now, 2)
	require.False(t, holder.HoldsLease(s.now))
	require.Equal(t, rollout.Observation{Era: 2}, holder.Observation())
	record := rollout.Record{Holder: observed.Holder, Writes: observed.Writes + 1}
	for _, response := range []objectstore.Response{
		{Outcome: objectstore.Done, Era: 1, Version: observed.Revision + 1},
		{Outcome: objectstore.Conflict, Era: 1, Version: observed.Revision + 1, Value: record.Encode()},
		{Outcome: objectstore.Done, Era: 2, Version: observed.Revision + 1},
	} {
		holder.HandleLeaseWritten(s.now, record, response)
		require.False(t, holder.HoldsLease(s.now))
	}
	holder.HandlePeerState(s.now, rollout.Observation{Era: 1, Revision: observed.Revision + 9, Holder: observed.Holder, Writes: record.Writes}, false)
	require.False(t, holder.HoldsLease(s.now))
	require.Empty(t, holder.Relay(rollout.Update{Record: rollout.Record{Holder: "edge-9", Writes: 3}, Era: 1, IfRevision: observed.Revision}))
}

// TestFewReadsOfTheLease verifies that a new era does not make all instances read the lease.
func TestFewReadsOfTheLease(t *testing.T) {
	controllers := make([]*rollout.Controller, 295)
	for i := range controllers {
		controllers[i] = rollout.New(fmt.Sprint("edge-", i), minHandover)
		controllers[i].SeeEra(clock.Second, 1)
		controllers[i].HandleLeaseRead(clock.Second, objectstore.Response{Outcome: objectstore.NotFound, Era: 1})
		controllers[i].SeeEra(2*clock.Second, 2)
	}
	reads := 0
	for now := 2 * clock.Second; now < 6*clock.Second; now += 100 {
		for rank, controller := range controllers {
			reads += len(controller.Next(now, rollout.View{Rank: rank, StoreReachable: true}))
		}
	}
	require.LessOrEqual(t, reads, 1)
}

// TestSingleHolderAcrossEras adds stores that come back older to random sequences of paused
// instances, failures to reach the store, restarts, lost responses and new versions.
func TestSingleHolderAcrossEras(t *testing.T) {
	seeds := *eraSeeds
	holders, eras := 0, 0
	for seed := range uint64(seeds) {
		s := newSimulation(t, seed, 4, 5)
		s.lostPercent = int(seed % 4 * 10)
		version := int64(1)
		for s.now < 60*clock.Second {
			s.run(s.now + clock.Millis(200+s.random.IntN(1500)))
			i := s.random.IntN(len(s.controllers))
			switch s.random.IntN(8) {
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
			case 6, 7:
				s.goBack(clock.Millis(s.random.IntN(8000)))
				eras++
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
		s.run(s.now + 16*clock.Second)
		require.Equal(t, 5, s.updated(version), "seed %d: all engines load the newest weights", seed)
	}
	require.Greater(t, holders, 3*seeds/2, "the lease must have changed hands")
	require.Greater(t, eras, 5*seeds, "the store must have come back older")
}
