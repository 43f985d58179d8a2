package edge

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/replicator"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/edgev1"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/bootclock"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/httpclient"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/objectcache"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/watcher"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// replicasPath is the path at which an instance serves its copies to others. The
	// query has the client's revision of each kind, by the kind's number.
	replicasPath = "/replicas"
	// fetchTimeout limits a fetch of copies from another instance.
	fetchTimeout = 1200 * time.Millisecond
	// maxReplicaBytes limits the response to a fetch.
	maxReplicaBytes = 16 << 20
)

// cachingStore records in the cache what is read from the store.
type cachingStore struct {
	watcher.Store
	cache *objectcache.Cache
}

// List returns the objects of a kind.
func (s cachingStore) List(ctx context.Context, kind string) (watcher.Listing, error) {
	listing, err := s.Store.List(ctx, kind)
	if err == nil {
		s.cache.Replace(kind, listing)
	}
	return listing, err
}

// Watch returns the changes of a kind.
func (s cachingStore) Watch(ctx context.Context, kind string, since int64, wait clock.Millis) (watcher.Listing, error) {
	changes, err := s.Store.Watch(ctx, kind, since, wait)
	if err == nil {
		s.cache.Apply(kind, changes)
	}
	return changes, err
}

// storeSink receives what a watch of the store reads. It also reports that the store has
// responded, and the state of the copy.
type storeSink struct {
	watcher.Sink
	edge *Edge
	kind WatchedKind
}

// Listed handles a full list.
func (s storeSink) Listed(lastConfirmed clock.Millis, items []watcher.Item) {
	s.edge.machine.submit(forwarder.StoreResponded{})
	s.Sink.Listed(lastConfirmed, items)
	s.edge.submitCopy(s.kind, replicator.Copy{ConfirmedAt: lastConfirmed})
}

// Changed handles changes.
func (s storeSink) Changed(lastConfirmed clock.Millis, items []watcher.Item) {
	s.edge.machine.submit(forwarder.StoreResponded{})
	s.Sink.Changed(lastConfirmed, items)
	s.edge.submitCopy(s.kind, replicator.Copy{ConfirmedAt: lastConfirmed})
}

// submitCopy reports the state of the copy of a kind.
func (e *Edge) submitCopy(kind WatchedKind, read replicator.Copy) {
	read.Revision, read.Through = e.objects.Revisions(kind.Kind)
	e.machine.submit(forwarder.ReplicaUpdated{Kind: kind.ID, Copy: read})
}

// watchStore starts or ends the watches of the store. The state machine is locked
// meanwhile.
func (e *Edge) watchStore(on bool) {
	e.endWatch()
	e.endWatch = func() {}
	if !on {
		return
	}
	ctx, cancel := context.WithCancel(e.ctx)
	e.endWatch = cancel
	store := cachingStore{Store: e.platform, cache: e.objects}
	for _, kind := range e.kinds {
		_, through := e.objects.Revisions(kind.Kind)
		watch := watcher.New(store, kind.Kind, kind.PollConfig, storeSink{Sink: kind.Sink, edge: e, kind: kind})
		e.start(func() { watch.RunSince(ctx, through) })
	}
}

// serveReplicas serves the copies that are newer than the client's.
func (e *Edge) serveReplicas(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	var response edgev1.Snapshots
	for _, kind := range e.kinds {
		since, err := strconv.ParseInt(query.Get(strconv.Itoa(int(kind.ID))), 10, 64)
		if err != nil {
			http.Error(w, "the revision of kind "+strconv.Itoa(int(kind.ID))+" is missing or is not a number", http.StatusBadRequest)
			return
		}
		// The age must not be newer than the objects, so it is read first.
		held, now := e.machine.replica(kind.ID)
		snapshot, ok := e.objects.Snapshot(kind.Kind, since)
		if !ok || held.ConfirmedAt == 0 {
			continue
		}
		message := &edgev1.Snapshot{
			Kind: uint32(kind.ID), Full: snapshot.Full, Revision: snapshot.Revision, Through: snapshot.Through,
			AgeMs: int64(now.Since(held.ConfirmedAt)), Source: held.Source,
		}
		for _, item := range snapshot.Items {
			message.Items = append(message.Items, &edgev1.Item{Name: item.Name, Revision: item.Revision, Value: item.Value, Deleted: item.Deleted})
		}
		response.Snapshots = append(response.Snapshots, message)
	}
	body, err := proto.Marshal(&response)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	// A client that is gone fetches again.
	_, _ = w.Write(body)
}

// fetchReplicas fetches newer copies from another instance.
func (e *Edge) fetchReplicas(address string) {
	detail := ""
	if err := e.fetchFrom(address); err != nil {
		detail = err.Error()
	}
	e.machine.submit(forwarder.ReplicasFetched{Detail: detail})
}

func (e *Edge) fetchFrom(address string) error {
	query := url.Values{}
	for _, kind := range e.kinds {
		revision, _ := e.objects.Revisions(kind.Kind)
		query.Set(strconv.Itoa(int(kind.ID)), strconv.FormatInt(revision, 10))
	}
	requestedAt := bootclock.Now()
	request := httpclient.Request{Method: http.MethodGet, Target: replicasPath + "?" + query.Encode(), Host: address, Header: http.Header{"Connection": {"close"}}}
	body, err := httpclient.Fetch(e.ctx, fetchTimeout, address, request, maxReplicaBytes)
	if err != nil {
		return errors.Wrap(err, "edge: fetch copies from "+address)
	}
	var response edgev1.Snapshots
	if err := proto.Unmarshal(body, &response); err != nil {
		return errors.Wrap(err, "edge: decode the copies of "+address)
	}
	for _, snapshot := range response.GetSnapshots() {
		e.applySnapshot(requestedAt, snapshot)
	}
	return nil
}

// applySnapshot applies the objects of one kind. Their copy was current before the request
// was sent, by the age that the other instance stated after it had received the request.
func (e *Edge) applySnapshot(requestedAt clock.Millis, snapshot *edgev1.Snapshot) {
	if snapshot.GetAgeMs() < 0 || snapshot.GetThrough() < snapshot.GetRevision() {
		return
	}
	listing := watcher.Listing{Revision: snapshot.GetRevision()}
	for _, item := range snapshot.GetItems() {
		listing.Items = append(listing.Items, watcher.Item{Name: item.GetName(), Revision: item.GetRevision(), Value: item.GetValue(), Deleted: item.GetDeleted()})
	}
	confirmedAt := requestedAt.Add(-clock.Millis(snapshot.GetAgeMs()))
	for _, kind := range e.kinds {
		if uint32(kind.ID) != snapshot.GetKind() {
			continue
		}
		switch {
		case snapshot.GetFull() && e.objects.Replace(kind.Kind, listing):
			kind.Sink.Listed(confirmedAt, listing.Items)
		case !snapshot.GetFull() && e.objects.Apply(kind.Kind, listing):
			kind.Sink.Changed(confirmedAt, listing.Items)
		default:
			continue
		}
		e.submitCopy(kind, replicator.Copy{ConfirmedAt: confirmedAt, Source: snapshot.GetSource()})
	}
}
