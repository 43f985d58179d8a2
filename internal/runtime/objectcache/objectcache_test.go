package objectcache_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/storeposition"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/objectcache"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/watcher"
)

const kind = "servers"

func item(name, value string) watcher.Item { return watcher.Item{Name: name, Value: []byte(value)} }

func removed(name string) watcher.Item { return watcher.Item{Name: name, Deleted: true} }

// newCache returns a cache with a list at revision 10 and changes at 12 and 15.
func newCache() *objectcache.Cache {
	cache := objectcache.New()
	cache.Replace(kind, watcher.Listing{Revision: 10, Items: []watcher.Item{item("a", "1"), item("b", "1")}})
	cache.Apply(kind, watcher.Listing{Revision: 12, Items: []watcher.Item{item("b", "2"), item("c", "1")}})
	cache.Apply(kind, watcher.Listing{Revision: 13})
	cache.Apply(kind, watcher.Listing{Revision: 15, Items: []watcher.Item{removed("a")}})
	return cache
}

// TestSnapshot verifies what a client of each revision receives.
func TestSnapshot(t *testing.T) {
	tests := map[string]struct {
		since int64
		full  bool
		items []string
	}{
		"no copy":                          {0, true, []string{"b=2", "c=1"}},
		"before the first list":            {9, true, []string{"b=2", "c=1"}},
		"the first list":                   {10, false, []string{"a removed", "b=2", "c=1"}},
		"between two changes":              {12, false, []string{"a removed"}},
		"a revision of another instance's": {14, false, []string{"a removed"}},
		"the newest":                       {15, false, nil},
		"newer than this one":              {20, false, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			snapshot, ok := newCache().Snapshot(kind, storeposition.Position{Revision: test.since})
			require.Equal(t, len(test.items) > 0, ok)
			var items []string
			for _, item := range snapshot.Items {
				if item.Deleted {
					items = append(items, item.Name+" removed")
				} else {
					items = append(items, item.Name+"="+string(item.Value))
				}
			}
			require.Equal(t, test.items, items)
			require.Equal(t, test.full, snapshot.Full)
		})
	}
}

// TestCopiesOfCopies verifies that a cache which follows another one by its snapshots, with
// and without gaps, ends with the same objects.
func TestCopiesOfCopies(t *testing.T) {
	first, second := newCache(), objectcache.New()
	for step := range 40 {
		revision := int64(20 + 3*step)
		name := fmt.Sprint("n", step%7)
		change := item(name, fmt.Sprint(step))
		if step%3 == 0 {
			change = removed(name)
		}
		first.Apply(kind, watcher.Listing{Revision: revision, Items: []watcher.Item{change}})
		if step%4 == 1 {
			continue
		}
		since, _ := second.Position(kind)
		snapshot, ok := first.Snapshot(kind, since)
		require.True(t, ok)
		listing := watcher.Listing{Revision: snapshot.Revision, Items: snapshot.Items}
		if snapshot.Full {
			require.True(t, second.Replace(kind, listing))
		} else {
			require.True(t, second.Apply(kind, listing))
		}
		want, _ := first.Snapshot(kind, storeposition.Position{})
		got, _ := second.Snapshot(kind, storeposition.Position{})
		require.Equal(t, want.Items, got.Items)
	}
}

// TestOlderCopiesAreIgnored verifies that a copy never goes back to an older revision.
func TestOlderCopiesAreIgnored(t *testing.T) {
	cache := newCache()
	require.False(t, cache.Replace(kind, watcher.Listing{Revision: 14, Items: []watcher.Item{item("a", "1")}}))
	require.False(t, cache.Apply(kind, watcher.Listing{Revision: 14, Items: []watcher.Item{item("a", "1")}}))
	require.False(t, cache.Apply("unknown", watcher.Listing{Revision: 14}), "changes of a kind without a copy")
	snapshot, _ := cache.Snapshot(kind, storeposition.Position{})
	require.Len(t, snapshot.Items, 2)
}

// TestRemovalsAreBounded verifies that many removals are not kept for ever, and that a
// client that lacks forgotten ones receives all objects.
func TestRemovalsAreBounded(t *testing.T) {
	cache := newCache()
	for i := range int64(1100) {
		cache.Apply(kind, watcher.Listing{Revision: 20 + i, Items: []watcher.Item{removed(fmt.Sprint("gone", i))}})
	}
	snapshot, ok := cache.Snapshot(kind, storeposition.Position{Revision: 16})
	require.True(t, ok)
	require.True(t, snapshot.Full)
	require.Len(t, snapshot.Items, 2)
}
