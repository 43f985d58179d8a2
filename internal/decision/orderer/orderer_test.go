package orderer_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/orderer"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

func TestRound(t *testing.T) {
	w := newWorld(t, 1, 3, 9)
	w.run(2 * clock.Second)
	w.name(2)
	w.run(4500)
	require.Equal(t, 9, w.updated(2), "nine engines, two at a time, in 2.5 s")
	w.requireOneHolder()
}

// TestTwoAtATime replays a naming while all engines serve: at most two load at once.
func TestTwoAtATime(t *testing.T) {
	w := newWorld(t, 1, 1, 9)
	w.run(2 * clock.Second)
	w.name(2)
	for w.updated(2) < 9 && w.now < 10*clock.Second {
		w.run(w.now + 10)
		loading := 0
		for _, e := range w.engines {
			if e.target > e.version {
				loading++
			}
		}
		require.LessOrEqual(t, loading, 2)
		require.LessOrEqual(t, len(w.orders[0].Updating()), 2)
	}
}

// TestTooOldEnginesLoadTogether replays weights that nobody could order engines to until
// all of them were too old to serve: none waits for another one's load.
func TestTooOldEnginesLoadTogether(t *testing.T) {
	w := newWorld(t, 1, 1, 9)
	w.unused = true
	w.run(2 * clock.Second)
	w.name(2)
	w.run(w.now + 200 + loadTime)
	require.Equal(t, 9, w.updated(2))
}

// TestSkippedVersion holds that weights which are out of date before they are loaded
// are skipped.
func TestSkippedVersion(t *testing.T) {
	w := newWorld(t, 1, 1, 9)
	w.run(2 * clock.Second)
	w.name(2)
	w.run(2500)
	w.name(3)
	w.run(6 * clock.Second)
	require.Equal(t, 9, w.updated(3))
	orders := 0
	for _, given := range w.given {
		orders += len(given)
	}
	require.LessOrEqual(t, orders, 9+4, "only those that were under way load twice")
}

// TestOrdersWithoutAnswer replays a naming while half of the orders get no answer and
// are carried out seconds later, if they still hold: all engines come to the newest
// weights within the users' bound for that.
func TestOrdersWithoutAnswer(t *testing.T) {
	const bound = 8400 * clock.Millisecond
	for seed := range uint64(30) {
		w := newWorld(t, seed, 3, 9)
		w.late = 50
		w.run(2 * clock.Second)
		w.name(2)
		w.run(w.now + bound)
		require.Equal(t, 9, w.updated(2), "seed %d", seed)
		w.requireOneHolder()
	}
}

// TestNewestAfterAnOrderWithoutAnswer holds that an engine whose order got no answer is
// next ordered to the newest weights.
func TestNewestAfterAnOrderWithoutAnswer(t *testing.T) {
	w := newWorld(t, 1, 1, 1)
	w.run(2 * clock.Second)
	w.late = 100
	w.name(2)
	w.run(w.now + 100)
	require.Len(t, w.given["e0"], 1)
	w.late = 0
	w.name(3)
	w.run(w.now + 1500)
	require.Equal(t, 1, w.updated(3))
	require.Len(t, w.given["e0"], 2, "no order for the weights in between")
}

// TestDarkEngineHoldsNobodyUp replays engines that give no report.
func TestDarkEngineHoldsNobodyUp(t *testing.T) {
	w := newWorld(t, 1, 2, 9)
	w.engines[0].dark = true
	w.engines[1].dark = true
	w.run(2 * clock.Second)
	w.name(2)
	w.run(4500)
	require.Equal(t, 7, w.updated(2))
}

// TestHolderWithoutStore replays a holder that is cut off from the store alone: a peer
// renews its lease, and it goes on.
func TestHolderWithoutStore(t *testing.T) {
	w := newWorld(t, 1, 3, 9)
	w.run(2 * clock.Second)
	w.name(2)
	w.run(2300)
	require.True(t, w.orders[0].Holding(w.now))
	w.deaf[0] = true
	w.run(5 * clock.Second)
	require.Equal(t, 9, w.updated(2))
	for _, orders := range w.given {
		for _, next := range orders {
			require.Equal(t, "edge-0@10.0.0.0", next.holder)
		}
	}
}

// TestHolderThatStartsAgain holds that a holder which starts again at its place need
// not wait for its own lease.
func TestHolderThatStartsAgain(t *testing.T) {
	w := newWorld(t, 1, 3, 9)
	w.run(2 * clock.Second)
	w.name(2)
	w.run(2600)
	w.orders[0] = orderer.New("edge-0@10.0.0.0", turn)
	w.orders[0].Named(model, 2, w.now, true)
	w.run(5500)
	require.Equal(t, 9, w.updated(2))
	w.requireOneHolder()
}

// TestOneHolder draws freezes, cuts from the store, restarts, lost answers and namings,
// and holds the rule of the orders under them.
func TestOneHolder(t *testing.T) {
	const seeds = 40
	holders := 0
	for seed := range uint64(seeds) {
		w := newWorld(t, seed, 4, 5)
		w.lost = int(seed % 4 * 10)
		version := int64(1)
		for w.now < 60*clock.Second {
			w.run(w.now + clock.Millis(200+w.source.IntN(1500)))
			i := w.source.IntN(len(w.orders))
			switch w.source.IntN(6) {
			case 0, 1:
				version++
				w.name(version)
			case 2:
				w.frozen[i] = w.now + clock.Millis(w.source.IntN(7000))
			case 3:
				w.deaf[i] = true
			case 4:
				w.deaf[i] = false
			case 5:
				w.orders[i] = orderer.New(fmt.Sprintf("edge-%d@10.0.0.%d", i, i), turn)
				for v := int64(2); v <= version; v++ {
					w.orders[i].Named(model, v, w.now, false)
				}
			}
		}
		w.requireOneHolder()
		seen := map[string]bool{}
		for _, orders := range w.given {
			for _, next := range orders {
				seen[next.holder] = true
			}
		}
		holders += len(seen)
		clear(w.deaf)
		clear(w.frozen)
		w.lost = 0
		w.run(w.now + 12*clock.Second)
		require.Equal(t, 5, w.updated(version), "seed %d: all engines come to the newest weights", seed)
	}
	require.Greater(t, holders, 2*seeds, "the lease must have changed hands")
}

// TestAgeOfNamings holds that the age counts from the first newer version, and that a
// peer's word replaces what was not seen here.
func TestAgeOfNamings(t *testing.T) {
	orders := orderer.New("edge", turn)
	orders.Named(model, 1, 0, true)
	orders.Named(model, 2, 1000, true)
	orders.Named(model, 3, 4000, true)
	since, old := orders.Superseded(model, 1)
	require.True(t, old)
	require.Equal(t, clock.Second, since)
	_, old = orders.Superseded(model, 3)
	require.False(t, old)

	late := orderer.New("late", turn)
	late.Named(model, 3, -2000, false)
	late.Named(model, 2, 1000, true)
	late.Named(model, 3, 4000, true)
	since, _ = late.Superseded(model, 2)
	require.Equal(t, 4*clock.Second, since, "a peer saw it")
	since, _ = late.Superseded(model, 1)
	require.Equal(t, clock.Second, since)
}
