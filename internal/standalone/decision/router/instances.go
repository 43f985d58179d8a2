package router

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/journal"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// listEvery is the time between two reads of the instance list.
const listEvery = clock.Second

func (r *Router) listInstances() {
	r.call(instancesCall{}, objectstore.ListInstances{Since: r.known.ListRevision()})
}

func (r *Router) instancesListed(answer objectstore.Answer) {
	if answer.Outcome == objectstore.Done {
		r.takeListing(answer.Version, answer.Instances)
	}
	r.after(listEvery, instancesDue{})
}

// relist reads the list after a pause of the process. Until the answer is here,
// nothing is dispatched: a server may have left meanwhile.
func (r *Router) relist() {
	r.relists++
	r.listStale = true
	r.call(relistCall{number: r.relists}, objectstore.ListInstances{Since: r.known.ListRevision()})
}

func (r *Router) relisted(call relistCall, answer objectstore.Answer) {
	if answer.Outcome == objectstore.Done {
		r.takeListing(answer.Version, answer.Instances)
	}
	if call.number != r.relists {
		return
	}
	r.listStale = false
	for _, id := range slices.Sorted(maps.Keys(r.flights)) {
		if f := r.flights[id]; f.stage == stageListing {
			r.dispatch(f)
		}
	}
}

// takeListing takes in entries of the instance list. After the first ones, the
// peers are greeted at once.
func (r *Router) takeListing(revision int64, entries []objectstore.Instance) {
	first := r.known.ListRevision() == 0
	r.known.Listed(revision, entries)
	if first {
		r.beat()
	}
}

// instancesRequested answers a peer that has started without the platform.
func (r *Router) instancesRequested(from string) {
	peer, ok := r.known.Peer(from)
	if !ok || r.known.ListRevision() == 0 {
		return
	}
	entries, err := json.Marshal(r.known.Listing())
	if err != nil {
		return
	}
	offer := &peerv1.InstancesOffer{Revision: r.known.ListRevision(), Instances: entries}
	r.send(peer, &peerv1.Message{Body: &peerv1.Message_InstancesOffer{InstancesOffer: offer}})
}

func (r *Router) instancesOffered(offer *peerv1.InstancesOffer) {
	var entries []objectstore.Instance
	if err := json.Unmarshal(offer.GetInstances(), &entries); err != nil {
		r.log(journal.New(journal.PeerMessageInvalid, "").With("error", err))
		return
	}
	if offer.GetRevision() > r.known.ListRevision() {
		r.takeListing(offer.GetRevision(), entries)
	}
}
