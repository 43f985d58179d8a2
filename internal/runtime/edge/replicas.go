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
	"github.com/hyssopdoor/hyssopdoor/internal/decision/storeposition"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/edgev1"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/bootclock"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/httpclient"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/watcher"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// replicasPath is the path at which an instance serves its copies to others. The
	// query has the client's revision of each kind, by the kind's number, and the era of
	// the store in which it holds, by that number after eraPrefix.
	replicasPath = "/replicas"
	eraPrefix    = "era"
	// fetchTimeout limits a fetch of copies from another instance.
	fetchTimeout = 1200 * time.Millisecond
	// maxReplicaBytes limits the response to a fetch.
	maxReplicaBytes = 16 << 20
	// maxReplicaAge limits the age of a copy; an older one is not used.
	maxReplicaAge = 365 * 24 * clock.Hour
)

// errEarlierEra means that the copy of a kind is of a later era of the store than an answer.
var errEarlierEra = errors.New("edge: the answer is from an earlier era of the store than the copy")

// seeEra records the era of an answer of the store, before the answer is used. An answer
// without a valid era counts as one of the known era.
func (e *Edge) seeEra(era int64, valid bool) (int64, bool) {
	if !valid {
		e.meter.Add("storeErasInvalid", 1)
		e.machine.submit(forwarder.StoreEraSeen{Invalid: true})
		return e.machine.storeEra(), true
	}
	e.machine.submit(forwarder.StoreEraSeen{Era: era})
	switch known := e.machine.storeEra(); {
	case era < known:
		e.meter.Add("storeAnswersOutdated", 1)
		return era, false
	case era > known:
		e.meter.Add("storeErasInvalid", 1)
		return era, false
	default:
		return era, true
	}
}

// copier reads a kind from the store for a watcher, keeps the copy and passes on what is new in it.
type copier struct {
	watcher.Store
	watcher.Sink
	edge *Edge
	kind WatchedKind
	// read is what was read last. Only the watcher's goroutine uses it.
	read watcher.Listing
}

// List returns the objects of a kind.
func (c *copier) List(ctx context.Context, kind string) (watcher.Listing, error) {
	listing, err := c.Store.List(ctx, kind)
	return c.keep(listing, err)
}

// Watch returns the changes of a kind.
func (c *copier) Watch(ctx context.Context, kind string, since int64, wait clock.Millis) (watcher.Listing, error) {
	changes, err := c.Store.Watch(ctx, kind, since, wait)
	return c.keep(changes, err)
}

// keep returns an error if the copy is of a later era than what was read.
func (c *copier) keep(read watcher.Listing, err error) (watcher.Listing, error) {
	c.read = read
	if held, _ := c.edge.objects.Position(c.kind.Kind); err == nil && held.Era > read.Era {
		return read, errEarlierEra
	}
	return read, err
}

// Listed handles a full list.
func (c *copier) Listed(lastConfirmed clock.Millis, _ []watcher.Item) {
	c.edge.machine.submit(forwarder.StoreResponded{})
	c.edge.apply(c.kind, c.read, true, replicator.Copy{ConfirmedAt: lastConfirmed})
}

// Changed handles changes.
func (c *copier) Changed(lastConfirmed clock.Millis, _ []watcher.Item) {
	c.edge.machine.submit(forwarder.StoreResponded{})
	c.edge.apply(c.kind, c.read, false, replicator.Copy{ConfirmedAt: lastConfirmed})
}

// apply applies a full list, or changes, unless the copy is newer. The copy and what the state
// machine knows change together: an older list that another source has read must not reach the
// state machine after a newer one, or servers that have left would be used again.
func (e *Edge) apply(kind WatchedKind, read watcher.Listing, full bool, copied replicator.Copy) {
	e.applying.Lock()
	defer e.applying.Unlock()
	switch {
	case full && e.objects.Replace(kind.Kind, read):
		kind.Sink.Listed(copied.ConfirmedAt, read.Items)
	case !full && e.objects.Apply(kind.Kind, read):
		kind.Sink.Changed(copied.ConfirmedAt, read.Items)
	default:
		return
	}
	e.submitCopy(kind, copied)
}

// submitCopy reports the state of the copy of a kind.
func (e *Edge) submitCopy(kind WatchedKind, read replicator.Copy) {
	held, through := e.objects.Position(kind.Kind)
	read.Era, read.Revision, read.Through = held.Era, held.Revision, through
	e.machine.submit(forwarder.ReplicaUpdated{Kind: kind.ID, Copy: read})
}

// watchStore starts or ends the watches of the store. The state machine is locked
// meanwhile.
func (e *Edge) watchStore(watch forwarder.WatchStore) {
	e.endWatch()
	e.endWatch = func() {}
	if !watch.On {
		return
	}
	ctx, cancel := context.WithCancel(e.ctx)
	e.endWatch = cancel
	for _, kind := range e.kinds {
		held, through := e.objects.Position(kind.Kind)
		since := storeposition.Position{Era: held.Era, Revision: through}
		if held.Era < watch.Era {
			since = storeposition.Position{}
		}
		reader := &copier{Store: e.platform, Sink: kind.Sink, edge: e, kind: kind}
		kindWatcher := watcher.New(reader, kind.Kind, kind.PollConfig, reader)
		e.start(func() { kindWatcher.RunSince(ctx, since) })
	}
}

// serveReplicas serves the copies that are newer than the client's.
func (e *Edge) serveReplicas(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	var response edgev1.Snapshots
	for _, kind := range e.kinds {
		if kind.ID.Optional() && !query.Has(strconv.Itoa(int(kind.ID))) {
			continue
		}
		since, err := parsePosition(query, kind.ID)
		if err != nil {
			http.Error(w, "the position of kind "+strconv.Itoa(int(kind.ID))+" is missing or is not a number", http.StatusBadRequest)
			return
		}
		// The age must not be newer than the objects, so it is read first.
		held, now := e.machine.replica(kind.ID)
		snapshot, ok := e.objects.Snapshot(kind.Kind, since)
		if !ok || held.ConfirmedAt == 0 {
			continue
		}
		message := &edgev1.Snapshot{
			Kind: uint32(kind.ID), Full: snapshot.Full, Era: snapshot.Era, Revision: snapshot.Revision, Through: snapshot.Through,
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

// parsePosition parses the position of a client's copy. A client that states no era knows
// none.
func parsePosition(query url.Values, kind replicator.Kind) (storeposition.Position, error) {
	number := strconv.Itoa(int(kind))
	revision, err := strconv.ParseInt(query.Get(number), 10, 64)
	if err != nil || !query.Has(eraPrefix+number) {
		return storeposition.Position{Revision: revision}, err
	}
	era, err := strconv.ParseInt(query.Get(eraPrefix+number), 10, 64)
	return storeposition.Position{Era: era, Revision: revision}, err
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
		held, _ := e.objects.Position(kind.Kind)
		number := strconv.Itoa(int(kind.ID))
		query.Set(number, strconv.FormatInt(held.Revision, 10))
		query.Set(eraPrefix+number, strconv.FormatInt(held.Era, 10))
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
		e.machine.submit(forwarder.StoreEraSeen{Era: snapshot.GetEra(), From: address})
		e.applySnapshot(requestedAt, snapshot)
	}
	return nil
}

// applySnapshot applies the objects of one kind. Their copy was current before the request
// was sent, by the age that the other instance stated after it had received the request.
func (e *Edge) applySnapshot(requestedAt clock.Millis, snapshot *edgev1.Snapshot) {
	// An age that overflows the subtraction below would make the copy look recent.
	if snapshot.GetAgeMs() < 0 || snapshot.GetAgeMs() > int64(maxReplicaAge) {
		return
	}
	// All later copies would count as older ones.
	if snapshot.GetEra() < 0 || snapshot.GetRevision() < 0 || snapshot.GetThrough() < snapshot.GetRevision() || snapshot.GetThrough() > storeposition.MaxRevision {
		return
	}
	listing := watcher.Listing{Era: snapshot.GetEra(), Revision: snapshot.GetRevision()}
	for _, item := range snapshot.GetItems() {
		listing.Items = append(listing.Items, watcher.Item{Name: item.GetName(), Era: snapshot.GetEra(), Revision: item.GetRevision(), Value: item.GetValue(), Deleted: item.GetDeleted()})
	}
	confirmedAt := requestedAt.Add(-clock.Millis(snapshot.GetAgeMs()))
	for _, kind := range e.kinds {
		if uint32(kind.ID) == snapshot.GetKind() {
			e.apply(kind, listing, snapshot.GetFull(), replicator.Copy{ConfirmedAt: confirmedAt, Source: snapshot.GetSource()})
		}
	}
}
