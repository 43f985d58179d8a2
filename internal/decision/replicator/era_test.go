package replicator_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/replicator"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// TestOffersOfAnotherEra offers copies to an instance that has revision 70 of era 2: it
// fetches those of a later era, and takes neither content nor a confirmation of an earlier
// one.
func TestOffersOfAnotherEra(t *testing.T) {
	tests := map[string]struct {
		offered            replicator.Copy
		confirmed, fetched bool
	}{
		"a later era, a lower revision":   {replicator.Copy{Era: 3, Revision: 5, ConfirmedAt: 1500}, false, true},
		"a later era, the same revision":  {replicator.Copy{Era: 3, Revision: 70, ConfirmedAt: 1500}, false, true},
		"an earlier era, a higher one":    {replicator.Copy{Era: 1, Revision: 90, ConfirmedAt: 1500}, false, false},
		"an earlier era, the same one":    {replicator.Copy{Era: 1, Revision: 70, ConfirmedAt: 1500}, false, false},
		"a neighbor that knows no era":    {replicator.Copy{Revision: 90, ConfirmedAt: 1500}, false, false},
		"the same era, the same revision": {replicator.Copy{Era: 2, Revision: 70, ConfirmedAt: 1500}, true, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			copies := replicator.New(1, 1, timing)
			copies.Updated(replicator.State, replicator.Copy{Era: 2, Revision: 70, Through: 70, ConfirmedAt: 1000, Source: 2})
			test.offered.Source = 3
			offer := replicator.Offer{Kind: replicator.State, Neighbor: "n", Copy: test.offered}
			require.Equal(t, test.confirmed, copies.Offer(1600, offer, 5))
			require.Equal(t, test.fetched, copies.Next(1600, 5, tops).FetchFrom == "n")
		})
	}
}

// TestCopyOfALaterEra verifies that a copy of a later era replaces one with a higher revision
// and that nothing of the earlier one is kept.
func TestCopyOfALaterEra(t *testing.T) {
	copies := replicator.New(1, 1, timing)
	copies.Updated(replicator.State, replicator.Copy{Era: 1, Revision: 70, Through: 90, ConfirmedAt: 1000, Source: 2})
	copies.Updated(replicator.State, replicator.Copy{Era: 2, Revision: 40, Through: 41, ConfirmedAt: 1200, Source: 3})
	want := replicator.Copy{Era: 2, Revision: 40, Through: 41, ConfirmedAt: 1200, Source: 3}
	require.Equal(t, want, copies.Copy(replicator.State))
	copies.Updated(replicator.State, replicator.Copy{Era: 1, Revision: 95, Through: 95, ConfirmedAt: 1300, Source: 2})
	require.Equal(t, want, copies.Copy(replicator.State), "a late copy of the earlier era")
}

// TestTwoWatchesAfterAChange verifies that an instance does not stop watching because one of
// a better rank still watches the store in the earlier era.
func TestTwoWatchesAfterAChange(t *testing.T) {
	copies := replicator.New(1, 1, timing)
	watching := func(now clock.Millis) bool { return copies.Next(now, 5, tops).Watch }
	require.True(t, watching(10*clock.Second))
	copies.Updated(replicator.State, replicator.Copy{Era: 2, Revision: 40, ConfirmedAt: 12 * clock.Second, Source: 1})
	for now := 12 * clock.Second; now < 14*clock.Second; now += 100 {
		copies.Offer(now, replicator.Offer{Kind: replicator.State, Neighbor: "n", Copy: replicator.Copy{Era: 1, Revision: 70, ConfirmedAt: now - 50, Source: 2}}, 5)
		require.True(t, watching(now))
	}
	copies.Offer(14*clock.Second, replicator.Offer{Kind: replicator.State, Neighbor: "n", Copy: replicator.Copy{Era: 2, Revision: 40, ConfirmedAt: 13950, Source: 2}}, 5)
	require.False(t, watching(14*clock.Second))
}
