package objectcache_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/storeposition"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/objectcache"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/watcher"
)

// TestCopyOfAnotherEra verifies that a copy is replaced as a whole by a list of a later era,
// whose revision may be lower, and by nothing of an earlier one.
func TestCopyOfAnotherEra(t *testing.T) {
	listing := func(era, revision int64, items ...watcher.Item) watcher.Listing {
		return watcher.Listing{Era: era, Revision: revision, Items: items}
	}
	tests := map[string]struct {
		update func(cache *objectcache.Cache) bool
		taken  bool
		held   storeposition.Position
		items  int
	}{
		"a list of a later era": {
			func(c *objectcache.Cache) bool { return c.Replace(kind, listing(3, 2, item("x", "1"))) },
			true, storeposition.Position{Era: 3, Revision: 2}, 1,
		},
		"a list of an earlier era": {
			func(c *objectcache.Cache) bool { return c.Replace(kind, listing(1, 90, item("x", "1"))) },
			false, storeposition.Position{Era: 2, Revision: 10}, 2,
		},
		"changes of a later era": {
			func(c *objectcache.Cache) bool { return c.Apply(kind, listing(3, 12, item("x", "1"))) },
			false, storeposition.Position{Era: 2, Revision: 10}, 2,
		},
		"changes of an earlier era": {
			func(c *objectcache.Cache) bool { return c.Apply(kind, listing(1, 90, removed("a"))) },
			false, storeposition.Position{Era: 2, Revision: 10}, 2,
		},
		"changes of the same era": {
			func(c *objectcache.Cache) bool { return c.Apply(kind, listing(2, 11, removed("a"))) },
			true, storeposition.Position{Era: 2, Revision: 11}, 1,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			cache := objectcache.New()
			cache.Replace(kind, listing(2, 10, item("a", "1"), item("b", "1")))
			require.Equal(t, test.taken, test.update(cache))
			held, through := cache.Position(kind)
			require.Equal(t, test.held, held)
			require.Equal(t, test.held.Revision, through)
			snapshot, _ := cache.Snapshot(kind, storeposition.Position{})
			require.Len(t, snapshot.Items, test.items)
			require.Equal(t, test.held.Era, snapshot.Era)
		})
	}
}

// TestClientsOfAnotherEra verifies that a client whose copy is of an earlier era receives all
// objects, whatever its revision, and one of a later era nothing.
func TestClientsOfAnotherEra(t *testing.T) {
	tests := map[string]struct {
		since      storeposition.Position
		sent, full bool
	}{
		"an earlier era, a higher revision": {storeposition.Position{Era: 1, Revision: 90}, true, true},
		"an earlier era, the same revision": {storeposition.Position{Era: 1, Revision: 12}, true, true},
		"an earlier era, a known revision":  {storeposition.Position{Era: 1, Revision: 10}, true, true},
		"no era":                            {storeposition.Position{Revision: 90}, true, true},
		"the same era":                      {storeposition.Position{Era: 2, Revision: 10}, true, false},
		"a later era, a lower revision":     {storeposition.Position{Era: 3, Revision: 2}, false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			cache := objectcache.New()
			cache.Replace(kind, watcher.Listing{Era: 2, Revision: 10, Items: []watcher.Item{item("a", "1")}})
			cache.Apply(kind, watcher.Listing{Era: 2, Revision: 12, Items: []watcher.Item{item("b", "1")}})
			snapshot, ok := cache.Snapshot(kind, test.since)
			require.Equal(t, test.sent, ok)
			require.Equal(t, test.full, snapshot.Full)
		})
	}
}
