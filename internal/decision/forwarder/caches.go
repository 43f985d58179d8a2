package forwarder

import (
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/cachetracker"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/chooser"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/journal"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/placer"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// cacheStep is the time between two looks for caches to read: a tenth of the time
// between two readings of one.
const cacheStep = 100 * clock.Millisecond

// readCaches reads the caches that are due: of the engines that are up, and of the
// store of kept parts.
func (f *Forwarder) readCaches() {
	if f.now < f.cacheDue || !f.listed || f.draining {
		return
	}
	f.cacheDue = f.now.Add(cacheStep)
	var servers []cachetracker.Server
	for _, server := range f.servers.All() {
		if len(server.Entry.WeightVersions) > 0 && !server.Down() {
			servers = append(servers, cachetracker.Server{ID: server.ID, Address: server.Address})
		}
	}
	if address := f.addressOf(placer.StoreID); address != "" {
		servers = append(servers, cachetracker.Server{ID: placer.StoreID, Address: address})
	}
	for _, read := range f.caches.Due(f.now, servers, f.cacheTurn) {
		f.emit(ReadCache{Read: read})
	}
}

// cacheTurn returns in which place this instance reads the server's cache, among
// those that are heard.
func (f *Forwarder) cacheTurn(server string) int {
	own := chooser.Rendezvous(0, f.site.Name+server)
	turn := 0
	for name, p := range f.peers {
		if p.heard(f.now) && !p.leaving && chooser.Rendezvous(0, name+server) > own {
			turn++
		}
	}
	return turn
}

// cacheRead takes in an own reading, and what the others shall hear of it.
func (f *Forwarder) cacheRead(read CacheRead) {
	if read.Failed {
		f.log(journal.New(journal.CacheReadFailed, "").With("server", read.Server).With("since", read.Since).With("detail", read.Detail))
		f.caches.RecordFailure(f.now, read.Server)
		return
	}
	reading := cachetracker.ReadResult{Full: read.All, Since: read.Since, Epoch: read.Epoch, LastChange: read.Next, ChangesLost: read.Lost}
	for _, change := range read.Changes {
		reading.Changes = append(reading.Changes, cachetracker.Change{Key: placer.PartKey(change.Salt, change.Part), Tokens: change.Tokens})
	}
	f.takeReading(read.Server, f.caches.RecordRead(f.now, read.Server, reading), reading)
	if reading.Shareable() {
		f.cacheNews[read.Server] = reading.Delta(f.places.IsShared)
	}
}

// hearCaches takes in what a peer has read.
func (f *Forwarder) hearCaches(caches map[string]cachetracker.Delta) {
	for _, server := range slices.Sorted(maps.Keys(caches)) {
		reading := caches[server].Result()
		f.takeReading(server, f.caches.ReceiveDelta(f.now, server, reading), reading)
	}
}

func (f *Forwarder) takeReading(server string, verdict cachetracker.Action, reading cachetracker.ReadResult) {
	switch verdict {
	case cachetracker.Ignore:
		return
	case cachetracker.Reset:
		f.log(journal.New(journal.CacheReadAnew, "").With("server", server).With("epoch", reading.Epoch).With("lost", reading.ChangesLost).With("changes", len(reading.Changes)))
		f.places.ResetCache(f.now, server)
	case cachetracker.Apply:
	}
	for _, change := range reading.Changes {
		f.places.RecordReport(f.now, server, change.Key, change.Tokens)
	}
}
