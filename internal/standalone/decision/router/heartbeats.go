package router

import (
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/balancer"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/tracker"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// heartbeatInterval is the interval between heartbeats.
const heartbeatInterval = clock.Second

func (r *Router) send(to tracker.Peer, message *peerv1.Message) {
	r.emit(action.Send{To: to.Name, Address: to.Address, Message: message})
}

// heartbeat broadcasts a heartbeat and schedules the next one.
func (r *Router) heartbeat() {
	r.view.ExpirePeers(r.now)
	r.updateOutage()
	r.broadcastHeartbeat()
	r.scheduleAfter(heartbeatInterval, heartbeatTimer{})
}

// broadcastHeartbeat sends a heartbeat to all peers of the local failure domain and
// to one peer of each other domain. It also sends one to the seeds if no local peer
// is known or no configuration is in force.
func (r *Router) broadcastHeartbeat() {
	r.heartbeatCount++
	message := heartbeatMessage(r.newHeartbeat(r.heldQuotaShards()))
	remoteMessage := heartbeatMessage(r.newHeartbeat(r.domainHolders()))
	remotePeers := map[string][]tracker.Peer{}
	localPeers := 0
	for _, peer := range r.view.Peers() {
		if peer.Domain == r.settings.Domain {
			localPeers++
			r.send(peer, message)
			continue
		}
		remotePeers[peer.Domain] = append(remotePeers[peer.Domain], peer)
	}
	for _, domain := range slices.Sorted(maps.Keys(remotePeers)) {
		r.send(remotePeers[domain][r.heartbeatCount%len(remotePeers[domain])], remoteMessage)
	}
	if localPeers == 0 || !r.ready() {
		r.sendToSeeds(remoteMessage)
	}
}

func (r *Router) sendToSeeds(message *peerv1.Message) {
	for _, address := range r.settings.SeedAddresses {
		if address != r.settings.Address {
			r.emit(action.Send{Address: address, Message: message})
		}
	}
}

func heartbeatMessage(body *peerv1.Heartbeat) *peerv1.Message {
	return &peerv1.Message{Body: &peerv1.Message_Heartbeat{Heartbeat: body}}
}

// newHeartbeat returns a heartbeat that lists the holders of quota shards. Callers pass
// this instance's own shards for peers of the local domain, and all known holders of
// the local domain for peers of other domains.
func (r *Router) newHeartbeat(holders []*peerv1.Holding) *peerv1.Heartbeat {
	return &peerv1.Heartbeat{
		Domain:       r.settings.Domain,
		Address:      r.settings.Address,
		Incarnation:  r.settings.Incarnation,
		Revision:     r.manifest.Revision,
		Leaving:      r.draining,
		PlatformDown: r.platformDown,
		Holdings:     holders,
		Sequence:     int64(r.heartbeatCount),
	}
}

// fullHeartbeatMessage returns a heartbeat with the known holders of all domains. It is
// the reply to the first heartbeat after a peer's start.
func (r *Router) fullHeartbeatMessage() *peerv1.Message {
	body := r.newHeartbeat(r.domainHolders())
	for _, key := range r.sortedHolderKeys() {
		if key.domain != r.settings.Domain {
			holder := r.holders[key]
			body.Holdings = append(body.Holdings, &peerv1.Holding{Domain: key.domain, Shard: key.shard, Instance: holder.GetInstance(), Term: holder.GetTerm()})
		}
	}
	return heartbeatMessage(body)
}

func (r *Router) handleHeartbeat(from string, heartbeat *peerv1.Heartbeat) {
	last, seenBefore := r.view.Peer(from)
	seenBefore = seenBefore && last.Incarnation == heartbeat.GetIncarnation()
	if seenBefore && heartbeat.GetSequence() < last.Sequence {
		return
	}
	peer := tracker.Peer{
		Name:           from,
		Domain:         heartbeat.GetDomain(),
		Address:        heartbeat.GetAddress(),
		Incarnation:    heartbeat.GetIncarnation(),
		Leaving:        heartbeat.GetLeaving(),
		PlatformDown:   heartbeat.GetPlatformDown(),
		ConfigRevision: heartbeat.GetRevision(),
		Sequence:       heartbeat.GetSequence(),
	}
	r.view.RecordHeartbeat(r.now, peer)
	r.recordHolders(peer, heartbeat.GetHoldings())
	r.updateOutage()
	if peer.ConfigRevision > r.manifest.Revision {
		r.send(peer, &peerv1.Message{Body: &peerv1.Message_ConfigRequest{ConfigRequest: &peerv1.ConfigRequest{Revision: r.manifest.Revision}}})
	}
	if !seenBefore {
		r.send(peer, r.fullHeartbeatMessage())
	}
	if r.view.ListRevision() == 0 {
		r.send(peer, &peerv1.Message{Body: &peerv1.Message_InstancesRequest{InstancesRequest: &peerv1.InstancesRequest{}}})
	}
}

// rank returns the rank of this instance for the key among the live instances of its
// failure domain that reach the platform; 0 is the first. Ranks are by rendezvous
// hashing.
func (r *Router) rank(key uint64) int {
	ownWeight := balancer.Rendezvous(key, r.settings.Name)
	position := 0
	for _, peer := range r.view.LivePeers(r.now, r.settings.Domain) {
		if peer.Leaving || peer.PlatformDown || r.now.Since(peer.LastSeen) > peerReportMaxAge {
			continue
		}
		if balancer.Rendezvous(key, peer.Name) > ownWeight {
			position++
		}
	}
	return position
}
