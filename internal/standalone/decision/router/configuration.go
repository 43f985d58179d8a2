package router

import (
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/hasher"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/sharder"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/tracker"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Timeouts and limits of configuration updates.
const (
	// manifestWatchers is the number of instances per failure domain that watch the
	// manifest.
	manifestWatchers = 2
	// watchRetryInterval is the delay after a failed watch.
	watchRetryInterval = 500 * clock.Millisecond
	// watchRecheckInterval is the interval at which an instance that does not watch
	// checks whether it should.
	watchRecheckInterval = clock.Second
	// configShardOfferTimeout is the wait for shards from a peer.
	configShardOfferTimeout = 300 * clock.Millisecond
	// maxOfferedBytes is the limit of the total size of the shards in one message.
	maxOfferedBytes = 2_000_000
	// watchRankKey makes the ranks for watching the manifest independent of those for
	// other roles.
	watchRankKey uint64 = 0x7761746368000000
)

// pendingConfig is a manifest that is not in force yet, with the configuration shards
// that were received so far.
type pendingConfig struct {
	manifest sharder.Manifest
	values   map[string][]byte
}

func (p *pendingConfig) missingDigests() []string {
	return slices.DeleteFunc(p.manifest.Digests(), func(digest string) bool {
		_, ok := p.values[digest]
		return ok
	})
}

func (r *Router) readManifest() {
	r.callPlatform(manifestCall{}, objectstore.Get{Name: sharder.ManifestName})
}

func (r *Router) handleManifest(response objectstore.Response) {
	r.applyManifestObject(response)
	r.watchManifest()
}

// watchManifest waits for a change of the manifest, if this instance is one of the
// watchers of its domain.
func (r *Router) watchManifest() {
	if r.watching {
		return
	}
	if r.rank(watchRankKey) >= manifestWatchers {
		r.scheduleAfter(watchRecheckInterval, watchTimer{})
		return
	}
	r.watching = true
	r.callPlatform(watchCall{}, objectstore.Watch{Name: sharder.ManifestName, Since: r.manifestVersion})
}

func (r *Router) handleWatchResponse(response objectstore.Response) {
	r.watching = false
	if response.Failed() {
		r.scheduleAfter(watchRetryInterval, watchTimer{})
		return
	}
	r.applyManifestObject(response)
	r.scheduleAfter(0, watchTimer{})
}

func (r *Router) applyManifestObject(response objectstore.Response) {
	if response.Outcome != objectstore.Done || len(response.Value) == 0 {
		return
	}
	r.manifestVersion = response.Version
	manifest, err := sharder.DecodeManifest(response.Value)
	if err != nil {
		r.logConfigRejected(err)
		return
	}
	if r.setPendingConfig(manifest) {
		r.readMissingConfigShards()
	}
}

// setPendingConfig starts to apply the manifest if it is newer. It reports whether
// shards of it are missing.
func (r *Router) setPendingConfig(manifest sharder.Manifest) bool {
	if manifest.Revision <= r.manifest.Revision {
		return false
	}
	if r.pendingConfig != nil && manifest.Revision < r.pendingConfig.manifest.Revision {
		return false
	}
	values := maps.Clone(r.configShardValues)
	if r.pendingConfig != nil {
		maps.Copy(values, r.pendingConfig.values)
	}
	r.pendingConfig = &pendingConfig{manifest: manifest, values: values}
	return !r.applyPendingConfig()
}

// applyPendingConfig applies the pending configuration if no shard is missing. It
// reports whether the pending configuration was complete.
func (r *Router) applyPendingConfig() bool {
	if len(r.pendingConfig.missingDigests()) > 0 {
		return false
	}
	pending := r.pendingConfig
	r.pendingConfig = nil
	configuration, err := r.joiner.Join(pending.manifest, pending.values)
	if err != nil {
		r.logConfigRejected(err)
		return true
	}
	isFirst := !r.ready()
	r.manifest = pending.manifest
	r.configuration = configuration
	r.configShardValues = selectValues(pending.values, pending.manifest.Digests())
	r.limiter.RemoveUnconfigured(func(team string) bool {
		_, ok := configuration.Teams[team]
		return ok
	})
	r.log(eventlog.New(eventlog.ConfigInForce, "").With("revision", r.manifest.Revision).With("configRevision", r.manifest.ConfigRevision))
	r.broadcastHeartbeat()
	if isFirst {
		r.advanceLeases()
	}
	return true
}

func (r *Router) logConfigRejected(err error) {
	r.log(eventlog.New(eventlog.ConfigRejected, "").With("error", err))
}

func selectValues(values map[string][]byte, digests []string) map[string][]byte {
	selected := make(map[string][]byte, len(digests))
	for _, digest := range digests {
		selected[digest] = values[digest]
	}
	return selected
}

// readMissingConfigShards reads the missing shards from the platform.
func (r *Router) readMissingConfigShards() {
	for _, digest := range r.pendingConfig.missingDigests() {
		r.callPlatform(configShardCall{digest: digest}, objectstore.Get{Name: sharder.ShardObjectName(digest)})
	}
	r.scheduleAfter(clock.Second, configShardsTimer{revision: r.pendingConfig.manifest.Revision})
}

func (r *Router) handleConfigShard(digest string, response objectstore.Response) {
	if r.pendingConfig == nil || response.Outcome != objectstore.Done || hasher.Content(response.Value) != digest {
		return
	}
	r.pendingConfig.values[digest] = response.Value
	r.applyPendingConfig()
}

// retryMissingConfigShards requests missing shards again, from the platform and from
// one live peer that has this revision or a later one.
func (r *Router) retryMissingConfigShards(revision int64) {
	if r.pendingConfig == nil || r.pendingConfig.manifest.Revision != revision {
		return
	}
	for _, peer := range r.view.Peers() {
		if peer.ConfigRevision >= revision && peer.Alive(r.now) {
			r.requestConfigShards(peer)
			break
		}
	}
	r.readMissingConfigShards()
}

func (r *Router) requestConfigShards(peer tracker.Peer) {
	request := &peerv1.ShardRequest{Digests: r.pendingConfig.missingDigests()}
	r.send(peer, &peerv1.Message{Body: &peerv1.Message_ShardRequest{ShardRequest: request}})
}

func (r *Router) handleConfigRequest(from string, request *peerv1.ConfigRequest) {
	peer, ok := r.view.Peer(from)
	if !ok || request.GetRevision() >= r.manifest.Revision {
		return
	}
	offer := &peerv1.ConfigOffer{Manifest: r.manifest.Encode()}
	r.send(peer, &peerv1.Message{Body: &peerv1.Message_ConfigOffer{ConfigOffer: offer}})
}

func (r *Router) handleConfigOffer(from string, offer *peerv1.ConfigOffer) {
	peer, ok := r.view.Peer(from)
	if !ok {
		return
	}
	manifest, err := sharder.DecodeManifest(offer.GetManifest())
	if err != nil {
		r.logConfigRejected(err)
		return
	}
	if r.setPendingConfig(manifest) {
		r.requestConfigShards(peer)
		r.scheduleAfter(configShardOfferTimeout, configShardsTimer{revision: manifest.Revision})
	}
}

func (r *Router) handleConfigShardRequest(from string, request *peerv1.ShardRequest) {
	peer, ok := r.view.Peer(from)
	if !ok {
		return
	}
	offer := &peerv1.ShardOffer{}
	size := 0
	for _, digest := range request.GetDigests() {
		value, ok := r.configShardValues[digest]
		if ok && size+len(value) <= maxOfferedBytes {
			offer.Values = append(offer.Values, value)
			size += len(value)
		}
	}
	r.send(peer, &peerv1.Message{Body: &peerv1.Message_ShardOffer{ShardOffer: offer}})
}

// handleConfigShardOffer stores those shards whose digests the pending manifest lists.
func (r *Router) handleConfigShardOffer(offer *peerv1.ShardOffer) {
	if r.pendingConfig == nil {
		return
	}
	missing := r.pendingConfig.missingDigests()
	for _, value := range offer.GetValues() {
		digest := hasher.Content(value)
		if slices.Contains(missing, digest) {
			r.pendingConfig.values[digest] = value
		}
	}
	r.applyPendingConfig()
}
