package replicator_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/replicator"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// TestOptionalKindIsMissing guards against an instance that watches the store and goes on
// fetching from its neighbors because it does not copy a kind that others copy.
func TestOptionalKindIsMissing(t *testing.T) {
	now := clock.Second
	copies := replicator.New(now, 1, timing)
	for _, kind := range replicator.Kinds {
		if !kind.Optional() {
			copies.Updated(kind, replicator.Copy{Era: 1, Revision: 5, ConfirmedAt: now, Source: 1})
		}
	}
	now = now.Add(timing.Takeover + clock.Second)
	require.True(t, copies.Next(now, 0, tops).Watch)
	copies.Offer(now, replicator.Offer{Kind: replicator.State, Neighbor: "edge-2", Copy: replicator.Copy{Era: 1, Revision: 6, ConfirmedAt: now, Source: 2}, SourceRank: 3}, 0)
	require.Empty(t, copies.Next(now, 0, tops).FetchFrom)
}
