package router

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// listInterval is the interval between reads of the instance list.
const listInterval = clock.Second

func (r *Router) listInstances() {
	r.callPlatform(instancesCall{}, objectstore.ListInstances{Since: r.view.ListRevision()})
}

func (r *Router) handleInstanceList(response objectstore.Response) {
	if response.Outcome == objectstore.Done {
		r.applyInstanceList(response.Version, response.Instances)
	}
	r.scheduleAfter(listInterval, instancesTimer{})
}

// refreshInstances reads the list after a pause of the process. Nothing is
// dispatched until the response arrives, since a server may have left in the
// meantime.
func (r *Router) refreshInstances() {
	r.refreshCount++
	r.instancesStale = true
	r.callPlatform(refreshCall{sequence: r.refreshCount}, objectstore.ListInstances{Since: r.view.ListRevision()})
}

func (r *Router) handleRefresh(call refreshCall, response objectstore.Response) {
	if response.Outcome == objectstore.Done {
		r.applyInstanceList(response.Version, response.Instances)
	}
	if call.sequence != r.refreshCount {
		return
	}
	r.instancesStale = false
	for _, id := range slices.Sorted(maps.Keys(r.flights)) {
		if f := r.flights[id]; f.stage == stageAwaitingInstances {
			r.dispatch(f)
		}
	}
}

// applyInstanceList applies changed entries of the instance list. After the first
// list, it broadcasts a heartbeat at once.
func (r *Router) applyInstanceList(revision int64, entries []objectstore.Instance) {
	isFirst := r.view.ListRevision() == 0
	r.view.ApplyListing(revision, entries)
	if isFirst {
		r.broadcastHeartbeat()
	}
}

// handleInstancesRequest sends the instance list to a peer that has started without
// the platform.
func (r *Router) handleInstancesRequest(from string) {
	peer, ok := r.view.Peer(from)
	if !ok || r.view.ListRevision() == 0 {
		return
	}
	entries, err := json.Marshal(r.view.Listing())
	if err != nil {
		return
	}
	offer := &peerv1.InstancesOffer{Revision: r.view.ListRevision(), Instances: entries}
	r.send(peer, &peerv1.Message{Body: &peerv1.Message_InstancesOffer{InstancesOffer: offer}})
}

func (r *Router) handleInstancesOffer(offer *peerv1.InstancesOffer) {
	var entries []objectstore.Instance
	if err := json.Unmarshal(offer.GetInstances(), &entries); err != nil {
		r.log(eventlog.New(eventlog.PeerMessageInvalid, "").With("error", err))
		return
	}
	if offer.GetRevision() > r.view.ListRevision() {
		r.applyInstanceList(offer.GetRevision(), entries)
	}
}
