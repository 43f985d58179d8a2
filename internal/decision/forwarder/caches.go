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

// cacheScanInterval is the time between two looks for caches to read: a tenth of the time
// between two readings of one.
const cacheScanInterval = 100 * clock.Millisecond

// readDueCaches reads the caches that are due: of the engines that are up, and of the
// store of kept parts.
func (f *Forwarder) readDueCaches() {
	if f.now < f.nextCacheScan || !f.haveServers || f.draining {
		return
	}
	f.nextCacheScan = f.now.Add(cacheScanInterval)
	var servers []cachetracker.Server
	for _, server := range f.servers.All() {
		if len(server.Entry.Weights) > 0 && !server.Down() {
			servers = append(servers, cachetracker.Server{ID: server.ID, Address: server.Address})
		}
	}
	if address := f.addressOf(placer.StoreID); address != "" {
		servers = append(servers, cachetracker.Server{ID: placer.StoreID, Address: address})
	}
	for _, read := range f.caches.Due(f.now, servers, f.cacheReaderRank) {
		f.emit(ReadCache{Read: read})
	}
}

// cacheReaderRank returns in which place this instance reads the server's cache, among
// those that are heard.
func (f *Forwarder) cacheReaderRank(server string) int {
	own := chooser.Rendezvous(0, f.settings.Name+server)
	turn := 0
	for name, p := range f.peers {
		if p.reachable(f.now) && !p.leaving && chooser.Rendezvous(0, name+server) > own {
			turn++
		}
	}
	return turn
}

// handleCacheRead takes in an own reading, and what the others shall hear of it.
func (f *Forwarder) handleCacheRead(read CacheRead) {
	if read.Failed {
		f.log(journal.New(journal.CacheReadFailed, "").With("server", read.Server).With("since", read.Since).With("detail", read.Detail))
		f.caches.Failed(f.now, read.Server)
		return
	}
	reading := cachetracker.Reading{All: read.All, Since: read.Since, Epoch: read.Epoch, Next: read.Next, Lost: read.Lost}
	for _, change := range read.Changes {
		reading.Changes = append(reading.Changes, cachetracker.Change{Key: placer.Key(change.Salt, change.Part), Tokens: change.Tokens})
	}
	f.applyCacheRead(read.Server, f.caches.Read(f.now, read.Server, reading), reading)
	if reading.Worth() {
		f.cacheDeltas[read.Server] = reading.News(f.scheduler.Shared)
	}
}

// applyPeerCacheReads takes in what a peer has read.
func (f *Forwarder) applyPeerCacheReads(caches map[string]cachetracker.News) {
	for _, server := range slices.Sorted(maps.Keys(caches)) {
		reading := caches[server].Reading()
		f.applyCacheRead(server, f.caches.Told(f.now, server, reading), reading)
	}
}

func (f *Forwarder) applyCacheRead(server string, verdict cachetracker.Verdict, reading cachetracker.Reading) {
	switch verdict {
	case cachetracker.Stale:
		return
	case cachetracker.Anew:
		f.log(journal.New(journal.CacheReadAnew, "").With("server", server).With("epoch", reading.Epoch).With("lost", reading.Lost).With("changes", len(reading.Changes)))
		f.scheduler.Anew(f.now, server)
	case cachetracker.GoesOn:
	}
	for _, change := range reading.Changes {
		f.scheduler.Saw(f.now, server, change.Key, change.Tokens)
	}
}
