package router

import (
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/digester"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/journal"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/sharder"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/tracker"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Times and bounds of taking up a configuration.
const (
	// watchers is how many instances of a failure domain watch the platform.
	watchers = 2
	// watchRetry is the time from a failed watch to the next.
	watchRetry = 500 * clock.Millisecond
	// watchAgain is the time after which an instance that does not watch looks
	// whether it should.
	watchAgain = clock.Second
	// shardsTimeout is how long shards from a peer are waited for.
	shardsTimeout = 300 * clock.Millisecond
	// maxOfferedBytes bounds the shards in one message to a peer.
	maxOfferedBytes = 2_000_000
	// watchKey keeps the ranks for watching apart from those for other roles.
	watchKey uint64 = 0x7761746368000000
)

// pendingConfig is a manifest whose shards are not all here yet.
type pendingConfig struct {
	manifest sharder.Manifest
	values   map[string][]byte
}

func (p *pendingConfig) missing() []string {
	return slices.DeleteFunc(p.manifest.Digests(), func(digest string) bool {
		_, ok := p.values[digest]
		return ok
	})
}

func (r *Router) readManifest() {
	r.call(manifestCall{}, objectstore.Get{Name: sharder.ManifestName})
}

func (r *Router) manifestRead(answer objectstore.Answer) {
	r.takeManifestObject(answer)
	r.watch()
}

// watch waits for a change of the manifest when it is this instance's turn.
func (r *Router) watch() {
	if r.watching {
		return
	}
	if r.rank(watchKey) >= watchers {
		r.after(watchAgain, watchDue{})
		return
	}
	r.watching = true
	r.call(watchCall{}, objectstore.Watch{Name: sharder.ManifestName, Since: r.seenVersion})
}

func (r *Router) watched(answer objectstore.Answer) {
	r.watching = false
	if answer.Failed() {
		r.after(watchRetry, watchDue{})
		return
	}
	r.takeManifestObject(answer)
	r.after(0, watchDue{})
}

func (r *Router) takeManifestObject(answer objectstore.Answer) {
	if answer.Outcome != objectstore.Done || len(answer.Value) == 0 {
		return
	}
	r.seenVersion = answer.Version
	manifest, err := sharder.DecodeManifest(answer.Value)
	if err != nil {
		r.rejectConfig(err)
		return
	}
	if r.pend(manifest) {
		r.readShards()
	}
}

// pend begins to take up the manifest. It reports whether shards are missing.
func (r *Router) pend(manifest sharder.Manifest) bool {
	if manifest.Revision <= r.manifest.Revision {
		return false
	}
	if r.pending != nil && manifest.Revision < r.pending.manifest.Revision {
		return false
	}
	known := maps.Clone(r.values)
	if r.pending != nil {
		maps.Copy(known, r.pending.values)
	}
	r.pending = &pendingConfig{manifest: manifest, values: known}
	return !r.completeConfig()
}

// completeConfig puts the pending configuration in force when it is whole.
func (r *Router) completeConfig() bool {
	if len(r.pending.missing()) > 0 {
		return false
	}
	pending := r.pending
	r.pending = nil
	configuration, err := r.joiner.Join(pending.manifest, pending.values)
	if err != nil {
		r.rejectConfig(err)
		return true
	}
	first := !r.ready()
	r.manifest = pending.manifest
	r.configuration = configuration
	r.values = keepOnly(pending.values, pending.manifest.Digests())
	r.rights.Forget(func(team string) bool {
		_, ok := configuration.Teams[team]
		return ok
	})
	r.log(journal.New(journal.ConfigInForce, "").With("revision", r.manifest.Revision).With("configRevision", r.manifest.ConfigRevision))
	r.beat()
	if first {
		r.leaseSteps()
	}
	return true
}

func (r *Router) rejectConfig(err error) {
	r.log(journal.New(journal.ConfigRejected, "").With("error", err))
}

func keepOnly(values map[string][]byte, digests []string) map[string][]byte {
	kept := make(map[string][]byte, len(digests))
	for _, digest := range digests {
		kept[digest] = values[digest]
	}
	return kept
}

// readShards reads the missing shards from the platform.
func (r *Router) readShards() {
	for _, digest := range r.pending.missing() {
		r.call(shardCall{digest: digest}, objectstore.Get{Name: sharder.ShardObject(digest)})
	}
	r.after(clock.Second, shardsDue{revision: r.pending.manifest.Revision})
}

func (r *Router) shardRead(digest string, answer objectstore.Answer) {
	if r.pending == nil || answer.Outcome != objectstore.Done || digester.Content(answer.Value) != digest {
		return
	}
	r.pending.values[digest] = answer.Value
	r.completeConfig()
}

// shardsMissing asks again for shards that have not come: the platform, and
// the peers that have this revision.
func (r *Router) shardsMissing(revision int64) {
	if r.pending == nil || r.pending.manifest.Revision != revision {
		return
	}
	for _, peer := range r.known.Peers() {
		if peer.Revision >= revision && peer.Alive(r.now) {
			r.requestShards(peer)
			break
		}
	}
	r.readShards()
}

func (r *Router) requestShards(peer tracker.Peer) {
	request := &peerv1.ShardRequest{Digests: r.pending.missing()}
	r.send(peer, &peerv1.Message{Body: &peerv1.Message_ShardRequest{ShardRequest: request}})
}

func (r *Router) configRequested(from string, request *peerv1.ConfigRequest) {
	peer, ok := r.known.Peer(from)
	if !ok || request.GetRevision() >= r.manifest.Revision {
		return
	}
	offer := &peerv1.ConfigOffer{Manifest: r.manifest.Encode()}
	r.send(peer, &peerv1.Message{Body: &peerv1.Message_ConfigOffer{ConfigOffer: offer}})
}

func (r *Router) configOffered(from string, offer *peerv1.ConfigOffer) {
	peer, ok := r.known.Peer(from)
	if !ok {
		return
	}
	manifest, err := sharder.DecodeManifest(offer.GetManifest())
	if err != nil {
		r.rejectConfig(err)
		return
	}
	if r.pend(manifest) {
		r.requestShards(peer)
		r.after(shardsTimeout, shardsDue{revision: manifest.Revision})
	}
}

func (r *Router) shardsRequested(from string, request *peerv1.ShardRequest) {
	peer, ok := r.known.Peer(from)
	if !ok {
		return
	}
	offer := &peerv1.ShardOffer{}
	size := 0
	for _, digest := range request.GetDigests() {
		value, ok := r.values[digest]
		if ok && size+len(value) <= maxOfferedBytes {
			offer.Values = append(offer.Values, value)
			size += len(value)
		}
	}
	r.send(peer, &peerv1.Message{Body: &peerv1.Message_ShardOffer{ShardOffer: offer}})
}

// shardsOffered takes the shards that the pending manifest names by digest.
func (r *Router) shardsOffered(offer *peerv1.ShardOffer) {
	if r.pending == nil {
		return
	}
	wanted := r.pending.missing()
	for _, value := range offer.GetValues() {
		digest := digester.Content(value)
		if slices.Contains(wanted, digest) {
			r.pending.values[digest] = value
		}
	}
	r.completeConfig()
}
