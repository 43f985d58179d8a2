package watcher_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/storeposition"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/watcher"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// TestRevisionsOfAnotherEra verifies that the objects are listed again when the store has
// come back from an older copy, whether it no longer has the revision of the watch or has
// given it out again, and that the changes of such a watch are not used.
func TestRevisionsOfAnotherEra(t *testing.T) {
	tests := map[string]struct {
		since   storeposition.Position
		steps   []step
		calls   []string
		results []string
	}{
		"the revision was given out again": {
			since: storeposition.Position{Era: 1, Revision: 5},
			steps: []step{
				{listing: watcher.Listing{Era: 2, Revision: 7, Items: []watcher.Item{{Name: "a"}}}},
				{listing: watcher.Listing{Era: 2, Revision: 7}},
				{listing: watcher.Listing{Era: 2, Revision: 8, Items: []watcher.Item{{Name: "b"}}}},
			},
			calls:   []string{"watch 5", "list", "watch 7", "watch 8"},
			results: []string{"listed", "changed b"},
		},
		"the store does not have the revision": {
			since: storeposition.Position{Era: 1, Revision: 5},
			steps: []step{
				{err: watcher.ErrRevisionTooOld},
				{listing: watcher.Listing{Era: 2, Revision: 3}},
				{listing: watcher.Listing{Era: 2, Revision: 3}},
			},
			calls:   []string{"watch 5", "list", "watch 3", "watch 3"},
			results: []string{"listed", "confirmed"},
		},
		"it comes back twice": {
			since: storeposition.Position{Era: 1, Revision: 5},
			steps: []step{
				{listing: watcher.Listing{Era: 2, Revision: 5}},
				{listing: watcher.Listing{Era: 2, Revision: 5}},
				{listing: watcher.Listing{Era: 3, Revision: 5}},
				{listing: watcher.Listing{Era: 3, Revision: 4}},
			},
			calls:   []string{"watch 5", "list", "watch 5", "list", "watch 4"},
			results: []string{"listed", "listed"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			store, recorded := &scriptedStore{steps: test.steps}, &sink{}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go watcher.New(store, "kind", watcher.PollConfig{MaxWait: clock.Second}, recorded).RunSince(ctx, test.since)
			require.Eventually(t, func() bool { return len(store.callsMade()) == len(test.calls) }, 3*time.Second, 5*time.Millisecond)
			require.Equal(t, test.calls, store.callsMade())
			results, _ := recorded.all()
			require.Equal(t, test.results, results)
		})
	}
}
