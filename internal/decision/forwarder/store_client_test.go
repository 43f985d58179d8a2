package forwarder_test

import (
	"encoding/json"
	"strconv"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/registry"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/replicator"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/rollout"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/storeposition"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/objectcache"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/watcher"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// watchedKinds are the kinds that instances copy.
var watchedKinds = map[replicator.Kind]string{replicator.State: kindState, replicator.Servers: kindServers, replicator.Weights: kindWeights, replicator.Members: kindMembers, replicator.Rollouts: kindRollouts}

// storeClient simulates the runtime of one start of an instance: its copies and its watches of the
// store.
type storeClient struct {
	cluster  *cluster
	index    int
	instance *forwarder.Forwarder
	cache    *objectcache.Cache
	members  map[string]forwarder.Member
	// watch differs for each start of the watches; those of another number have ended.
	watch int
	// serversHangUntil is the time until which it gets no list of servers: its watch waits on a
	// connection that is gone.
	serversHangUntil clock.Millis
}

type orderReceived struct {
	at    clock.Millis
	order rollout.Order
}

// perform performs what concerns the store. It reports false for other actions.
func (s *objectStore) perform(c *cluster, i int, action forwarder.Action) bool {
	h := s.clients[i]
	switch action := action.(type) {
	case forwarder.WatchStore:
		h.watch++
		if action.On {
			h.startWatches(action.Era)
		}
	case forwarder.FetchReplicas:
		h.fetch(c.instanceAt(action.Address))
	case forwarder.CallStore:
		h.callLease(action.Step)
	case forwarder.CallEngine:
		if order, ok := action.Step.(rollout.Order); ok {
			c.after(3, func() {
				if c.now < order.Deadline && c.instances[i] == h.instance && !c.stopped[i] && c.now >= c.pausedUntil[i] {
					s.orders = append(s.orders, orderReceived{at: c.now, order: order})
				}
			})
		}
		return false
	default:
		return false
	}
	return true
}

// later runs a function of this start of the instance after a delay, not before the end of
// a pause.
func (h *storeClient) later(delay clock.Millis, run func()) {
	c := h.cluster
	c.after(delay, func() {
		switch {
		case c.instances[h.index] != h.instance || c.stopped[h.index]:
		case c.now < c.pausedUntil[h.index]:
			h.later(c.pausedUntil[h.index].Since(c.now), run)
		default:
			run()
		}
	})
}

// exchange makes a call to the store. The response is passed on unless it is not of
// the known era; ok is false if there is none.
func (h *storeClient) exchange(serve func() (era int64), receive func(ok bool)) {
	c := h.cluster
	c.objects.calls = append(c.objects.calls, c.now)
	c.after(clock.Millis(2+c.faultRandom.IntN(20)), func() {
		if c.objects.down || c.storeCutOff[h.index] {
			h.later(clock.Millis(20+c.faultRandom.IntN(800)), func() { receive(false) })
			return
		}
		era := serve()
		delay := clock.Millis(2)
		if c.faultRandom.IntN(20) == 0 {
			delay += clock.Millis(c.faultRandom.IntN(700))
		}
		h.later(delay, func() {
			c.step(h.index, forwarder.StoreEraSeen{Era: era})
			receive(era == h.instance.StoreEra())
		})
	})
}

// startWatches starts the watches, from the copies that are of the era.
func (h *storeClient) startWatches(era int64) {
	for _, kind := range replicator.Kinds {
		held, through := h.cache.Position(watchedKinds[kind])
		since := storeposition.Position{Era: held.Era, Revision: through}
		if held.Era < era {
			since = storeposition.Position{}
		}
		h.poll(kind, h.watch, since)
	}
}

// poll lists or watches a kind, and goes on after the response.
func (h *storeClient) poll(kind replicator.Kind, watch int, since storeposition.Position) {
	if h.watch != watch {
		return
	}
	name, requestedAt := watchedKinds[kind], h.cluster.now
	var read watcher.Listing
	known := true
	serve := func() int64 {
		if since.Revision == 0 {
			read = h.cluster.objects.list(name)
		} else {
			read, known = h.cluster.objects.changes(name, since.Revision)
		}
		return read.Era
	}
	h.exchange(serve, func(ok bool) {
		again := func(from storeposition.Position) func() { return func() { h.poll(kind, watch, from) } }
		switch {
		case h.watch != watch:
		case !ok:
			h.cluster.step(h.index, forwarder.StoreFailed{Detail: "no response"})
			h.later(clock.Millis(100+h.cluster.faultRandom.IntN(500)), again(since))
		case !known || (since.Revision > 0 && read.Era != since.Era):
			again(storeposition.Position{})()
		default:
			h.cluster.step(h.index, forwarder.StoreResponded{})
			h.apply(kind, since.Revision == 0, requestedAt, 0, read)
			// A long poll ends early if there is a change; a shorter wait stands for it.
			h.later(350, again(read.Position()))
		}
	})
}

// apply applies what was read to the copy, and passes it on.
func (h *storeClient) apply(kind replicator.Kind, full bool, confirmedAt clock.Millis, source uint32, read watcher.Listing) {
	name := watchedKinds[kind]
	if kind == replicator.Servers && h.cluster.now < h.serversHangUntil {
		return
	}
	if full && !h.cache.Replace(name, read) || !full && !h.cache.Apply(name, read) {
		return
	}
	c, i := h.cluster, h.index
	switch kind {
	case replicator.State:
		for _, item := range read.Items {
			version, _ := strconv.ParseInt(string(item.Value), 10, 64)
			c.step(i, forwarder.StateRead{State: newDesiredState(version), ConfirmedAt: confirmedAt})
		}
		c.step(i, forwarder.StateConfirmed{ConfirmedAt: confirmedAt})
	case replicator.Servers:
		h.applyServers(full, read.Items)
	case replicator.Weights:
		for _, item := range read.Items {
			version, _ := strconv.ParseInt(string(item.Value), 10, 64)
			c.step(i, forwarder.WeightsPublished{Model: model, Version: version, Position: storeposition.Position{Era: item.Era, Revision: item.Revision}})
		}
	case replicator.Members:
		h.applyMembers(full, read.Items)
	}
	held, through := h.cache.Position(name)
	c.step(i, forwarder.ReplicaUpdated{Kind: kind, Copy: replicator.Copy{Era: held.Era, Revision: held.Revision, Through: through, ConfirmedAt: confirmedAt, Source: source}})
}

func (h *storeClient) applyServers(full bool, items []watcher.Item) {
	var entries []registry.Entry
	for _, item := range items {
		entry := registry.Entry{ID: item.Name}
		_ = json.Unmarshal(item.Value, &entry)
		entry.Era, entry.Revision = item.Era, item.Revision
		entries = append(entries, entry)
		if !full {
			h.cluster.step(h.index, forwarder.ServerChanged{Entry: entry, Removed: item.Deleted})
		}
	}
	if full {
		h.cluster.step(h.index, forwarder.ServersListed{Entries: entries})
	}
}

func (h *storeClient) applyMembers(full bool, items []watcher.Item) {
	if full {
		h.members = map[string]forwarder.Member{}
	}
	for _, item := range items {
		var member forwarder.Member
		if item.Deleted || json.Unmarshal(item.Value, &member) != nil {
			delete(h.members, item.Name)
			continue
		}
		h.members[item.Name] = member
	}
	if full || len(items) > 0 {
		if h.cluster.assignments == nil {
			// The store's list of instances shows that it has no assignments.
			h.cluster.step(h.index, forwarder.AssignmentsListed{})
		}
		h.cluster.step(h.index, forwarder.PeersListed{Members: h.members})
	}
}

// fetch fetches copies from another instance.
func (h *storeClient) fetch(from int) {
	c := h.cluster
	if from < 0 || c.stopped[from] || c.now < c.pausedUntil[from] || (c.cut != nil && c.cut(h.index, from)) {
		h.later(1200, func() { c.step(h.index, forwarder.ReplicasFetched{Detail: "no response"}) })
		return
	}
	requestedAt, positions := c.now, map[replicator.Kind]storeposition.Position{}
	for kind, name := range watchedKinds {
		positions[kind], _ = h.cache.Position(name)
	}
	c.objects.clients[from].later(4, func() {
		type part struct {
			kind     replicator.Kind
			snapshot objectcache.Snapshot
			age      clock.Millis
			source   uint32
		}
		var parts []part
		server := c.objects.clients[from]
		for _, kind := range replicator.Kinds {
			held := server.instance.Replica(kind)
			if snapshot, ok := server.cache.Snapshot(watchedKinds[kind], positions[kind]); ok && held.ConfirmedAt > 0 {
				parts = append(parts, part{kind: kind, snapshot: snapshot, age: c.now.Since(held.ConfirmedAt), source: held.Source})
			}
		}
		h.later(4, func() {
			for _, part := range parts {
				c.step(h.index, forwarder.StoreEraSeen{Era: part.snapshot.Era, From: c.settings[from].Name})
				read := watcher.Listing{Era: part.snapshot.Era, Revision: part.snapshot.Revision}
				for _, item := range part.snapshot.Items {
					item.Era = part.snapshot.Era
					read.Items = append(read.Items, item)
				}
				h.apply(part.kind, part.snapshot.Full, requestedAt.Add(-part.age), part.source, read)
			}
			c.step(h.index, forwarder.ReplicasFetched{})
		})
	})
}

// callLease reads or writes the lease of orders. Some writes are carried out seconds later,
// without a response.
func (h *storeClient) callLease(step rollout.Step) {
	c := h.cluster
	var op objectstore.Op = objectstore.Get{Name: rollout.LeaseName}
	write, isWrite := step.(rollout.WriteLease)
	if isWrite {
		op = objectstore.Put{Name: rollout.LeaseName, Value: write.Update.Record.Encode(), IfVersion: write.Update.IfRevision}
	}
	if isWrite && c.faultRandom.IntN(15) == 0 {
		c.after(clock.Millis(1000+c.faultRandom.IntN(3000)), func() {
			if !c.objects.down {
				c.objects.call(c.now, op)
			}
		})
		h.later(900, func() {
			c.step(h.index, forwarder.LeaseWritten{Record: write.Update.Record, Response: objectstore.Response{Outcome: objectstore.Unknown}})
		})
		return
	}
	var response objectstore.Response
	serve := func() int64 {
		response = c.objects.call(c.now, op)
		return response.Era
	}
	h.exchange(serve, func(ok bool) {
		if !ok {
			response = objectstore.Response{Outcome: objectstore.Unknown}
		}
		if isWrite {
			c.step(h.index, forwarder.LeaseWritten{Record: write.Update.Record, Response: response})
			return
		}
		c.step(h.index, forwarder.LeaseRead{Response: response})
	})
}

// register writes the instance's own entry whenever its copy lacks it, and lists the
// instances while there is no copy.
func (h *storeClient) register(delay clock.Millis) {
	h.later(delay, func() {
		defer h.register(min(2*delay, 5*clock.Second))
		c, self := h.cluster, forwarder.Member{Address: h.cluster.settings[h.index].PeerAddress, Domain: h.cluster.settings[h.index].Domain}
		entry, known := h.instance.OwnEntry()
		if !known {
			var listing watcher.Listing
			h.exchange(func() int64 { listing = c.objects.list(kindMembers); return listing.Era }, func(ok bool) {
				if ok {
					h.applyMembers(true, listing.Items)
				}
			})
		}
		if entry != self {
			value, _ := json.Marshal(self)
			name := c.settings[h.index].Name
			h.exchange(func() int64 { c.objects.put(c.now, kindMembers, name, value); return c.objects.position.Era }, func(bool) {})
		}
	})
}
