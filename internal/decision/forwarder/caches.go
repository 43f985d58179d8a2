package forwarder

import (
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/balancer"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/cachetracker"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/digest"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/relayer"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/scheduler"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// cacheScanInterval is the time between two scans for caches that are due to be read: a
// tenth of the read interval of one cache.
const cacheScanInterval = 100 * clock.Millisecond

// readDueCaches reads the caches that are due: those of the engines that are up and of
// the cache store. What is known of an engine that is down is kept, unless it has crashed.
func (f *Forwarder) readDueCaches() {
	if f.now < f.nextCacheScan || !f.haveServers || f.draining {
		return
	}
	f.nextCacheScan = f.now.Add(cacheScanInterval)
	var servers []cachetracker.Server
	for _, server := range f.servers.All() {
		if len(server.Entry.WeightVersions) > 0 {
			servers = append(servers, cachetracker.Server{ID: server.ID, Address: server.Address, StartedAt: server.StartedAt, Paused: server.Down() || server.Paused(f.now) || f.limits.Limited(startOf(server))})
		}
	}
	if address := f.addressOf(scheduler.StoreID); address != "" {
		servers = append(servers, cachetracker.Server{ID: scheduler.StoreID, Address: address})
	}
	for _, read := range f.caches.Due(f.now, servers, f.cacheReaderRank) {
		f.emit(ReadCache{Read: read})
	}
}

// digestID returns the identifier of a server in digests. Instances of different failure
// domains use different cache stores, so that a store is identified by its service.
func (f *Forwarder) digestID(server string) uint32 {
	if server == scheduler.StoreID {
		return digest.ID(scheduler.StoreID + "/" + f.cacheStore().Name)
	}
	return digest.ID(server)
}

// resetServerNames sets the identifiers of the known servers.
func (f *Forwarder) resetServerNames() {
	f.serverNames = map[uint32]string{f.digestID(scheduler.StoreID): scheduler.StoreID}
	for _, server := range f.servers.All() {
		f.serverNames[digest.ID(server.ID)] = server.ID
	}
}

// maxCacheReaders is the number of instances that may read a server's cache in a cluster
// in which not all instances exchange digests with each other.
const maxCacheReaders = 3

// cacheReaderRank returns this instance's rank among the reachable instances for
// reading the server's cache; rank 0 reads first. In a large cluster the keeper of an
// engine reads it, or else others of its failure domain.
func (f *Forwarder) cacheReaderRank(server string) int {
	ownScore := balancer.Rendezvous(0, f.settings.Name+server)
	rank := 0
	if f.arrangement.Flat() {
		for name, n := range f.neighbors {
			if n.reachable(f.now) && !n.leaving && balancer.Rendezvous(0, name+server) > ownScore {
				rank++
			}
		}
		return rank
	}
	readers := f.arrangement.Domain(f.cacheDomain(server))
	if len(readers) == 0 {
		readers = f.arrangement.Tops()
	}
	if !slices.Contains(readers, f.settings.Name) {
		return cachetracker.NotReader
	}
	if keeper, _ := f.keeperOf(server); keeper == f.settings.Name {
		return 0
	} else if f.peers[digest.ID(keeper)].alive(f.now) {
		rank++
	}
	for _, name := range readers {
		if f.peers[digest.ID(name)].alive(f.now) && balancer.Rendezvous(0, name+server) > ownScore {
			rank++
		}
	}
	if rank >= maxCacheReaders {
		return cachetracker.NotReader
	}
	return rank
}

// cacheDomain returns the failure domain of a server or of the cache store.
func (f *Forwarder) cacheDomain(server string) string {
	if server == scheduler.StoreID {
		return f.cacheStore().Domain
	}
	known, _ := f.servers.Server(server)
	return known.Domain
}

// handleCacheRead applies a cache read of this instance and keeps its changes for the
// next digest.
func (f *Forwarder) handleCacheRead(read CacheRead) {
	if read.Failed {
		f.log(eventlog.New(eventlog.CacheReadFailed, "").With("server", read.Server).With("since", read.Since).With("detail", read.Detail))
		f.caches.RecordFailure(f.now, read.Server)
		return
	}
	result := cachetracker.ReadResult{Full: read.Full, Since: read.Since, Epoch: read.Epoch, LastChange: read.LastChange, ChangesLost: read.ChangesLost}
	for _, change := range read.Changes {
		result.Changes = append(result.Changes, cachetracker.Change{Key: scheduler.PartKey(change.Salt, change.PartID), Tokens: change.Tokens})
	}
	f.applyCacheRead(read.Server, f.caches.RecordRead(f.now, read.Server, result), result)
	if result.Shareable() {
		f.addCacheDelta(digest.CacheDelta{Server: f.digestID(read.Server), Delta: result.Delta(f.scheduler.IsShared)}, relayer.Own)
	}
}

// applyPeerCacheRead applies the cache changes that a peer has read. It reports whether
// they were new to this instance.
func (f *Forwarder) applyPeerCacheRead(server string, delta cachetracker.Delta) bool {
	result := delta.Result()
	action := f.caches.ReceiveDelta(f.now, server, result)
	f.applyCacheRead(server, action, result)
	return action != cachetracker.Ignore
}

func (f *Forwarder) applyCacheRead(server string, action cachetracker.Action, result cachetracker.ReadResult) {
	switch action {
	case cachetracker.Ignore:
		return
	case cachetracker.Reset:
		f.log(eventlog.New(eventlog.CacheReadAnew, "").With("server", server).With("epoch", result.Epoch).With("lost", result.ChangesLost).With("changes", len(result.Changes)))
		f.scheduler.ResetCache(f.now, server)
	case cachetracker.Apply:
	}
	for _, change := range result.Changes {
		f.scheduler.RecordReport(f.now, server, change.Key, change.Tokens)
	}
}
