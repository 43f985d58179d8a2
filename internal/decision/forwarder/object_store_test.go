package forwarder_test

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/storeposition"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/watcher"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// The kinds of the store's objects.
const (
	kindState   = "state"
	kindServers = "servers"
	kindWeights = "weights"
	kindMembers = "members"
	kindLeases  = "leases"
	// kindRollouts has the orders of software.
	kindRollouts = "rollouts"
)

// objectStore simulates the store, as a fault may leave it: it may be away, and may come
// back from a copy that is some seconds old.
type objectStore struct {
	position storeposition.Position
	down     bool
	kinds    map[string]map[string]watcher.Item
	history  []storedChange
	// rewriteAt is the time from which what the operator and the servers wrote is
	// written again.
	rewriteAt clock.Millis
	// stateVersion is the version of the operator's state, and acceptedAt the time at
	// which the store first accepted each one.
	stateVersion int64
	acceptedAt   map[int64]clock.Millis
	// calls are the times of the calls.
	calls   []clock.Millis
	clients []*storeClient
	orders  []orderReceived
}

type storedChange struct {
	at   clock.Millis
	kind string
	item watcher.Item
}

func newObjectStore() *objectStore {
	return &objectStore{position: storeposition.Position{Era: 1, Revision: 5}, kinds: map[string]map[string]watcher.Item{}, stateVersion: 1, acceptedAt: map[int64]clock.Millis{}}
}

// write writes an object, or removes it if the value is nil.
func (s *objectStore) write(now clock.Millis, kind, name string, value []byte) {
	s.position.Revision++
	s.apply(storedChange{at: now, kind: kind, item: watcher.Item{Name: name, Revision: s.position.Revision, Value: value, Deleted: value == nil}})
}

func (s *objectStore) apply(change storedChange) {
	s.history = append(s.history, change)
	if s.kinds[change.kind] == nil {
		s.kinds[change.kind] = map[string]watcher.Item{}
	}
	s.kinds[change.kind][change.item.Name] = change.item
	if change.item.Deleted {
		delete(s.kinds[change.kind], change.item.Name)
	}
}

// goBack replaces the store by its copy of some time ago and begins the next era.
func (s *objectStore) goBack(copiedAt clock.Millis) {
	history := s.history
	s.history, s.kinds = nil, map[string]map[string]watcher.Item{}
	s.position = storeposition.Position{Era: s.position.Era + 1, Revision: 5}
	for _, change := range history {
		if change.at > copiedAt {
			break
		}
		s.position.Revision = change.item.Revision
		s.apply(change)
	}
}

// list returns the objects of a kind.
func (s *objectStore) list(kind string) watcher.Listing {
	listing := watcher.Listing{Era: s.position.Era, Revision: s.position.Revision}
	for _, name := range slices.Sorted(maps.Keys(s.kinds[kind])) {
		item := s.kinds[kind][name]
		item.Era = s.position.Era
		listing.Items = append(listing.Items, item)
	}
	return listing
}

// changes returns the changes of a kind after the revision. It reports false if the store
// does not have the revision.
func (s *objectStore) changes(kind string, since int64) (watcher.Listing, bool) {
	listing := watcher.Listing{Era: s.position.Era, Revision: s.position.Revision}
	if since > s.position.Revision {
		return listing, false
	}
	for _, change := range s.history {
		if change.kind == kind && change.item.Revision > since {
			item := change.item
			item.Era = s.position.Era
			listing.Items = append(listing.Items, item)
		}
	}
	return listing, true
}

// call performs a call to one object.
func (s *objectStore) call(now clock.Millis, op objectstore.Op) objectstore.Response {
	name := ""
	switch op := op.(type) {
	case objectstore.Get:
		name = op.Name
	case objectstore.Put:
		name = op.Name
	}
	kind, name, _ := strings.Cut(name, "/")
	stored, found := s.kinds[kind][name]
	response := objectstore.Response{Outcome: objectstore.Done, Era: s.position.Era, Version: stored.Revision, Value: stored.Value}
	if put, ok := op.(objectstore.Put); ok {
		if put.IfVersion != stored.Revision {
			response.Outcome = objectstore.Conflict
			return response
		}
		s.write(now, kind, name, put.Value)
		response.Version, response.Value = s.position.Revision, put.Value
		return response
	}
	if !found {
		response.Outcome = objectstore.NotFound
	}
	return response
}

// sync writes what the operator and the servers have written, where the store lacks it.
func (s *objectStore) sync(c *cluster) {
	if s.down || c.now < s.rewriteAt {
		return
	}
	s.put(c.now, kindState, "main", []byte(strconv.FormatInt(s.stateVersion, 10)))
	if _, accepted := s.acceptedAt[s.stateVersion]; !accepted {
		s.acceptedAt[s.stateVersion] = c.now
	}
	s.put(c.now, kindWeights, model, []byte(strconv.FormatInt(c.publishedVersion, 10)))
	for _, id := range c.serverIDs() {
		value, err := json.Marshal(c.servers[id].entry)
		if err != nil {
			panic(err)
		}
		s.put(c.now, kindServers, id, value)
	}
	for _, name := range slices.Sorted(maps.Keys(s.kinds[kindServers])) {
		if _, running := c.servers[name]; !running {
			s.write(c.now, kindServers, name, nil)
		}
	}
}

// put writes an object unless it has the value.
func (s *objectStore) put(now clock.Millis, kind, name string, value []byte) {
	if stored, found := s.kinds[kind][name]; !found || string(stored.Value) != string(value) {
		s.write(now, kind, name, value)
	}
}

// callsSince returns the number of calls since a time.
func (s *objectStore) callsSince(start clock.Millis) int {
	return len(s.calls) - len(slices.DeleteFunc(slices.Clone(s.calls), func(at clock.Millis) bool { return at >= start }))
}
