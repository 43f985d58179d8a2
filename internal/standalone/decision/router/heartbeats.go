package router

import (
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/chooser"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/tracker"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// heartbeatEvery is the time between two heartbeats.
const heartbeatEvery = clock.Second

func (r *Router) send(to tracker.Peer, message *peerv1.Message) {
	r.emit(action.Send{To: to.Name, Address: to.Address, Message: message})
}

// heartbeat sends one heartbeat and asks for the next.
func (r *Router) heartbeat() {
	r.known.Expire(r.now)
	r.noteOutage()
	r.beat()
	r.after(heartbeatEvery, heartbeatDue{})
}

// beat tells all peers of the own failure domain, and one of each other, that
// this instance lives and what it knows.
func (r *Router) beat() {
	r.beats++
	message := heartbeatMessage(r.heartbeatBody(r.ownClaims()))
	abroad := heartbeatMessage(r.heartbeatBody(r.ownHoldings()))
	far := map[string][]tracker.Peer{}
	near := 0
	for _, peer := range r.known.Peers() {
		if peer.Domain == r.settings.Domain {
			near++
			r.send(peer, message)
			continue
		}
		far[peer.Domain] = append(far[peer.Domain], peer)
	}
	for _, domain := range slices.Sorted(maps.Keys(far)) {
		r.send(far[domain][r.beats%len(far[domain])], abroad)
	}
	if near == 0 || !r.ready() {
		r.beatSeeds(abroad)
	}
}

func (r *Router) beatSeeds(message *peerv1.Message) {
	for _, address := range r.settings.Seeds {
		if address != r.settings.Address {
			r.emit(action.Send{Address: address, Message: message})
		}
	}
}

func heartbeatMessage(body *peerv1.Heartbeat) *peerv1.Message {
	return &peerv1.Message{Body: &peerv1.Message_Heartbeat{Heartbeat: body}}
}

// heartbeatBody returns a heartbeat with the holdings: to the own domain those of
// this instance, to others all of the domain's.
func (r *Router) heartbeatBody(holdings []*peerv1.Holding) *peerv1.Heartbeat {
	return &peerv1.Heartbeat{
		Domain:       r.settings.Domain,
		Address:      r.settings.Address,
		Incarnation:  r.settings.Incarnation,
		Revision:     r.manifest.Revision,
		Leaving:      r.draining,
		PlatformDown: r.platformDown,
		Holdings:     holdings,
		Sequence:     int64(r.beats),
	}
}

// welcome is the answer to a peer that has just started: all known holders.
func (r *Router) welcome() *peerv1.Message {
	body := r.heartbeatBody(r.ownHoldings())
	for _, key := range r.sortedHoldings() {
		if key.domain != r.settings.Domain {
			holding := r.holdings[key]
			body.Holdings = append(body.Holdings, &peerv1.Holding{Domain: key.domain, Shard: key.shard, Instance: holding.GetInstance(), Term: holding.GetTerm()})
		}
	}
	return heartbeatMessage(body)
}

func (r *Router) heartbeatHeard(from string, beat *peerv1.Heartbeat) {
	known, met := r.known.Peer(from)
	met = met && known.Incarnation == beat.GetIncarnation()
	if met && beat.GetSequence() < known.Sequence {
		return
	}
	peer := tracker.Peer{
		Name:         from,
		Domain:       beat.GetDomain(),
		Address:      beat.GetAddress(),
		Incarnation:  beat.GetIncarnation(),
		Leaving:      beat.GetLeaving(),
		PlatformDown: beat.GetPlatformDown(),
		Revision:     beat.GetRevision(),
		Sequence:     beat.GetSequence(),
	}
	r.known.Heard(r.now, peer)
	r.noteHoldings(peer, beat.GetHoldings())
	r.noteOutage()
	if peer.Revision > r.manifest.Revision {
		r.send(peer, &peerv1.Message{Body: &peerv1.Message_ConfigRequest{ConfigRequest: &peerv1.ConfigRequest{Revision: r.manifest.Revision}}})
	}
	if !met {
		r.send(peer, r.welcome())
	}
	if r.known.ListRevision() == 0 {
		r.send(peer, &peerv1.Message{Body: &peerv1.Message_InstancesRequest{InstancesRequest: &peerv1.InstancesRequest{}}})
	}
}

// rank returns the place of this instance for the key among the instances of
// its failure domain that live and reach the platform; 0 is the first.
func (r *Router) rank(key uint64) int {
	own := chooser.Rendezvous(key, r.settings.Name)
	place := 0
	for _, peer := range r.known.LivePeers(r.now, r.settings.Domain) {
		if peer.Leaving || peer.PlatformDown || r.now.Since(peer.HeardAt) > witnessAge {
			continue
		}
		if chooser.Rendezvous(key, peer.Name) > own {
			place++
		}
	}
	return place
}
