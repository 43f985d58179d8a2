// Package objectcache keeps an instance's copies of the store's objects as they were read,
// from the store or from another instance, and serves them to other instances.
//
// A copy has a revision of the store up to which it has all changes. A client that states
// its own revision receives the changes since then, or all objects if they are not known
// any more. A revision holds within an era of the store: a client whose copy is of an
// earlier era receives all objects, and a copy is only ever replaced as a whole by one of a
// later era.
//
// # Usage
//
//	cache := objectcache.New()
//	cache.Replace("servers", listing)
//	cache.Apply("servers", changes)
//	snapshot := cache.Snapshot("servers", since)
package objectcache

import (
	"slices"
	"strings"
	"sync"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/storeposition"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/watcher"
)

// maxRemovals limits the removed objects that are remembered of a kind. A client that
// lacks older removals receives all objects.
const maxRemovals = 1024

// Snapshot has the objects of a kind that changed after a revision, or all of them.
type Snapshot struct {
	Full bool
	// Era is the era of the store in which the revisions hold.
	Era int64
	// Revision is the revision up to which the copy has all changes. There were none from
	// there to Through when the copy was last read.
	Revision int64
	Through  int64
	Items    []watcher.Item
}

// Cache has the copies by kind. It is safe for concurrent use.
type Cache struct {
	mu    sync.Mutex
	kinds map[string]*copied
}

// copied is the copy of one kind.
type copied struct {
	era      int64
	revision int64
	through  int64
	// completeSince is the revision from which all changes are known.
	completeSince int64
	objects       map[string]change // objects is keyed by name; removed ones are included.
	removals      int
}

func (c *copied) position() storeposition.Position {
	return storeposition.Position{Era: c.era, Revision: c.revision}
}

// change is an object and the revision of the copy at which it was last changed.
type change struct {
	item     watcher.Item
	revision int64
}

// New returns a Cache without copies.
func New() *Cache { return &Cache{kinds: map[string]*copied{}} }

// Replace replaces the copy by a full list. It reports false for an older one.
func (c *Cache) Replace(kind string, listing watcher.Listing) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.kinds[kind]; ok && listing.Position().Before(known.position()) {
		return false
	}
	replaced := &copied{era: listing.Era, revision: listing.Revision, through: listing.Revision, completeSince: listing.Revision, objects: map[string]change{}}
	for _, item := range listing.Items {
		replaced.objects[item.Name] = change{item: item, revision: listing.Revision}
	}
	c.kinds[kind] = replaced
	return true
}

// Apply applies the changes up to the revision of the listing. It reports false if the copy
// already has them, is of another era, or is missing.
func (c *Cache) Apply(kind string, changes watcher.Listing) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.kinds[kind]
	if !ok || changes.Era != known.era || changes.Revision < known.revision {
		return false
	}
	known.through = max(known.through, changes.Revision)
	if len(changes.Items) == 0 {
		return true
	}
	known.revision = changes.Revision
	for _, item := range changes.Items {
		if before, exists := known.objects[item.Name]; exists && before.item.Deleted {
			known.removals--
		}
		if item.Deleted {
			known.removals++
			item.Value = nil
		}
		known.objects[item.Name] = change{item: item, revision: changes.Revision}
	}
	if known.removals > maxRemovals {
		known.forgetRemovals()
	}
	return true
}

// forgetRemovals drops all removed objects.
func (c *copied) forgetRemovals() {
	for name, change := range c.objects {
		if change.item.Deleted {
			delete(c.objects, name)
		}
	}
	c.removals, c.completeSince = 0, c.revision
}

// Position returns the position up to which the copy has all changes, and the revision up
// to which it is known that there are no others; 0 without a copy.
func (c *Cache) Position(kind string) (held storeposition.Position, through int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.kinds[kind]; ok {
		return known.position(), known.through
	}
	return storeposition.Position{}, 0
}

// Snapshot returns the objects that changed after the position since, sorted by name, or
// all objects if its revision is 0 or older than the known changes, or if it is of an
// earlier era. It reports false if there is no copy, or nothing has changed.
func (c *Cache) Snapshot(kind string, since storeposition.Position) (Snapshot, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.kinds[kind]
	if !ok || (since.Revision > 0 && !known.position().After(since)) {
		return Snapshot{}, false
	}
	full := since.Revision == 0 || since.Era != known.era || since.Revision < known.completeSince
	snapshot := Snapshot{Full: full, Era: known.era, Revision: known.revision, Through: known.through}
	for _, change := range known.objects {
		if (snapshot.Full && !change.item.Deleted) || (!snapshot.Full && change.revision > since.Revision) {
			snapshot.Items = append(snapshot.Items, change.item)
		}
	}
	slices.SortFunc(snapshot.Items, func(a, b watcher.Item) int { return strings.Compare(a.Name, b.Name) })
	return snapshot, true
}
