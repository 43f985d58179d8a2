package edge

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/instancesettings"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/replicator"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/edgev1"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/bootclock"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/meter"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/objectcache"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/watcher"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// fixedStore returns one listing.
type fixedStore struct{ listing watcher.Listing }

func (s fixedStore) List(context.Context, string) (watcher.Listing, error) { return s.listing, nil }
func (s fixedStore) Watch(context.Context, string, int64, clock.Millis) (watcher.Listing, error) {
	return s.listing, nil
}

// namesSink has the names that are listed, and the latest item of each.
type namesSink struct {
	names map[string]bool
	items map[string]watcher.Item
}

func (s namesSink) Listed(_ clock.Millis, items []watcher.Item) {
	clear(s.names)
	s.Changed(0, items)
}

func (s namesSink) Changed(_ clock.Millis, items []watcher.Item) {
	for _, item := range items {
		s.names[item.Name] = !item.Deleted
		if s.items != nil {
			s.items[item.Name] = item
		}
	}
}

func (namesSink) Failed(error) {}

// TestOlderCopyStaysOut guards against an older copy, of another instance or of a store that lags,
// that reaches the state machine after a newer one: a server that has left would be used again.
func TestOlderCopyStaysOut(t *testing.T) {
	item := func(name string, revision int64) watcher.Item {
		return watcher.Item{Name: name, Era: 1, Revision: revision, Value: []byte("{}")}
	}
	older := watcher.Listing{Era: 1, Revision: 10, Items: []watcher.Item{item("stays", 3), item("left", 9)}}
	removed := watcher.Listing{Era: 1, Revision: 12, Items: []watcher.Item{{Name: "left", Era: 1, Revision: 12, Deleted: true}}}
	newer := &edgev1.Snapshot{Kind: uint32(replicator.Servers), Full: true, Era: 1, Revision: 12, Through: 12, Items: []*edgev1.Item{{Name: "stays", Revision: 3, Value: []byte("{}")}}}
	snapshotOf := func(changes *edgev1.Snapshot, age int64) *edgev1.Snapshot {
		changes.AgeMs = age
		return changes
	}
	tests := map[string]func(e *Edge, reader *copier){
		"a list of the store is older than a copy": func(e *Edge, reader *copier) {
			listing, _ := reader.List(t.Context(), "servers")
			e.applySnapshot(bootclock.Now(), snapshotOf(newer, 0))
			reader.Listed(bootclock.Now(), listing.Items)
		},
		"changes of the store are older than a copy": func(e *Edge, reader *copier) {
			e.apply(reader.kind, older, true, replicator.Copy{})
			changes, _ := reader.Watch(t.Context(), "servers", 9, 0)
			e.applySnapshot(bootclock.Now(), snapshotOf(newer, 0))
			reader.Changed(bootclock.Now(), changes.Items)
		},
		"a copy of a peer is older than the store's": func(e *Edge, reader *copier) {
			e.apply(reader.kind, older, true, replicator.Copy{})
			e.apply(reader.kind, removed, false, replicator.Copy{})
			e.applySnapshot(bootclock.Now(), &edgev1.Snapshot{Kind: uint32(replicator.Servers), Full: true, Era: 1, Revision: 10, Through: 10, Items: []*edgev1.Item{{Name: "left", Revision: 9}}})
		},
		"a copy of a peer has an absurd age": func(e *Edge, reader *copier) {
			e.apply(reader.kind, older, true, replicator.Copy{})
			e.apply(reader.kind, removed, false, replicator.Copy{})
			e.applySnapshot(bootclock.Now(), &edgev1.Snapshot{Kind: uint32(replicator.Servers), Full: true, Era: 1, Revision: 20, Through: 20, AgeMs: 1<<63 - 1, Items: []*edgev1.Item{{Name: "left", Revision: 9}}})
		},
		"a copy of a peer has a revision out of range": func(e *Edge, reader *copier) {
			e.apply(reader.kind, older, true, replicator.Copy{})
			e.applySnapshot(bootclock.Now(), &edgev1.Snapshot{Kind: uint32(replicator.Servers), Full: true, Era: 1, Revision: 1<<63 - 1, Through: 1<<63 - 1, Items: []*edgev1.Item{{Name: "left", Revision: 9}}})
			e.apply(reader.kind, removed, false, replicator.Copy{})
		},
	}
	for name, play := range tests {
		t.Run(name, func(t *testing.T) {
			sink := namesSink{names: map[string]bool{}}
			kind := WatchedKind{ID: replicator.Servers, Kind: "servers", Sink: sink}
			e := &Edge{meter: meter.New(), objects: objectcache.New(), kinds: []WatchedKind{kind}}
			e.machine = newStateMachine(forwarder.New(instancesettings.Defaults(), "i", 1), func(forwarder.Action) {})
			defer e.machine.close()
			e.machine.submit(forwarder.Tick{})
			play(e, &copier{Store: fixedStore{listing: older}, Sink: sink, edge: e, kind: kind})
			require.True(t, sink.names["stays"])
			require.False(t, sink.names["left"])
		})
	}
}

// TestItemsOfCopiesKeepTheirRevision guards against ages that count from when a copy is read.
func TestItemsOfCopiesKeepTheirRevision(t *testing.T) {
	sink := namesSink{names: map[string]bool{}, items: map[string]watcher.Item{}}
	kind := WatchedKind{ID: replicator.Weights, Kind: "weights", Sink: sink}
	e := &Edge{meter: meter.New(), objects: objectcache.New(), kinds: []WatchedKind{kind}}
	e.machine = newStateMachine(forwarder.New(instancesettings.Defaults(), "i", 1), func(forwarder.Action) {})
	defer e.machine.close()
	for revision, full := range map[int64]bool{5: true, 6: false} {
		e.apply(kind, watcher.Listing{Era: 1, Revision: revision - 4, Items: []watcher.Item{{Name: "m", Era: 1, Revision: revision - 4}}}, true, replicator.Copy{})
		require.Equal(t, revision-4, sink.items["m"].Revision)
		e.applySnapshot(bootclock.Now(), &edgev1.Snapshot{Kind: uint32(replicator.Weights), Full: full, Era: 1, Revision: revision, Through: revision + 1, Items: []*edgev1.Item{{Name: "m", Revision: revision}}})
		require.Equal(t, revision, sink.items["m"].Revision, "full: %t", full)
		e.objects = objectcache.New()
	}
}
