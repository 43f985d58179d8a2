package forwarder

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/digest"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/replicator"
)

// mergeReplicas compares the sender's copies of the store's objects with this instance's.
// The age of a copy counts from the time at which this instance sent the digest that the
// sender had received before.
func (f *Forwarder) mergeReplicas(message digest.Digest) {
	sums, echoed := f.sent.Find(f.now, message.Echo)
	for _, replica := range message.Replicas {
		if replicator.Kind(replica.Kind) == replicator.Rollouts && !f.followsRollouts {
			continue
		}
		offer := replicator.Offer{Kind: replicator.Kind(replica.Kind), Neighbor: message.Name, Copy: replicator.Copy{Era: replica.Era, Revision: replica.Revision, Through: replica.Through, Source: replica.Source}}
		if echoed {
			offer.Copy.ConfirmedAt = sums.SentAt.Add(-replica.Age)
			if replica.Source == digest.ID(message.Name) {
				f.confirmRevision(offer.Copy)
			}
		}
		offer.SourceRank = f.rankOfID(replica.Source)
		if f.replicas.Offer(f.now, offer, f.arrangement.Rank(f.settings.Name)) && offer.Kind == replicator.State {
			f.confirmState(offer.Copy.ConfirmedAt)
		}
	}
	if outage := message.Outage; outage.Known && !f.replicas.Watching() {
		f.adoptOutage(outage)
	}
}

// rankOfID returns the rank of the instance with the identifier.
func (f *Forwarder) rankOfID(id uint32) int {
	if id == digest.ID(f.settings.Name) {
		return f.arrangement.Rank(f.settings.Name)
	}
	return f.arrangement.Rank(f.peers[id].name)
}

// adoptOutage records the outage of the store that a neighbor knows of, for the entries of
// servers that expire in it.
func (f *Forwarder) adoptOutage(outage digest.Outage) {
	if startedAt := f.now.Add(-outage.SinceStart); startedAt > f.storeFailedAt {
		f.storeFailedAt = startedAt
	}
	if endedAt := f.now.Add(-outage.SinceEnd); outage.Ended && endedAt > f.storeRecoveredAt {
		f.storeRecoveredAt = endedAt
	}
}

// handleReplicaUpdated records that a copy of the store's objects was read.
func (f *Forwarder) handleReplicaUpdated(updated ReplicaUpdated) {
	before := f.replicas.Copy(updated.Kind).Position()
	read := updated.Copy
	if read.Source == 0 {
		f.confirmRevision(read)
		read.Source = digest.ID(f.settings.Name)
	}
	f.replicas.Updated(updated.Kind, read)
	if updated.Kind == replicator.State {
		f.confirmState(read.ConfirmedAt)
	}
	if f.replicas.Copy(updated.Kind).Position().After(before) {
		f.expediteRelay()
	}
}

func (f *Forwarder) handleReplicasFetched(fetched ReplicasFetched) {
	if fetched.Detail != "" {
		f.log(eventlog.New(eventlog.ReplicaFetchFailed, "").With("detail", fetched.Detail))
	}
	f.replicas.FetchEnded(f.now, fetched.Detail != "")
}

// advanceReplicas starts or ends the watch of the store, and fetches what a neighbor has.
func (f *Forwarder) advanceReplicas() {
	watchingBefore := f.replicas.Watching()
	rank := replicator.Unlisted
	if f.ownEntry.Address != "" {
		rank = f.arrangement.Rank(f.settings.Name)
	}
	next := f.replicas.Next(f.now, rank, len(f.arrangement.Tops()))
	if next.Watch != watchingBefore {
		f.log(eventlog.New(eventlog.WatchChanged, "").With("instance", f.settings.Name).With("watching", next.Watch).With("rank", rank).With("stateAge", f.now.Since(f.desiredConfirmedAt)))
		if !next.Watch {
			f.storeDown = false
		}
		f.emit(WatchStore{On: next.Watch, Era: f.eras.Era()})
	}
	if address := f.neighborAddress(next.FetchFrom); address != "" {
		f.emit(FetchReplicas{Address: address})
	}
}

// neighborAddress returns the address of a neighbor; empty if it is unknown.
func (f *Forwarder) neighborAddress(name string) string {
	if n, ok := f.neighbors[name]; ok {
		return n.address
	}
	return f.peers[digest.ID(name)].Address
}

// Replica returns the state of this instance's copy of the kind.
func (f *Forwarder) Replica(kind replicator.Kind) replicator.Copy { return f.replicas.Copy(kind) }
