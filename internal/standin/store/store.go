// Package store holds the state of the simulated platform, without HTTP and without a
// clock: versioned objects with conditional updates, and an instance list.
//
// # Usage
//
//	objects := store.New()
//	response := objects.Put(objectstore.Put{Name: "a", Value: value, IfVersion: objectstore.IfAbsent})
package store

import (
	"slices"
	"strings"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// pageSize is the maximum number of objects in one page of a list.
const pageSize = 200

// Store is the state of the simulated platform. It is not safe for concurrent use.
type Store struct {
	objects         map[string]objectstore.Object
	revision        int64
	instanceChanges []instanceChange
}

// instanceChange is a change of the instance list and its time.
type instanceChange struct {
	instance objectstore.Instance
	at       clock.Millis
}

// New returns an empty Store.
func New() *Store {
	return &Store{objects: map[string]objectstore.Object{}}
}

// Get returns an object.
func (s *Store) Get(op objectstore.Get) objectstore.Response {
	object, ok := s.objects[op.Name]
	if !ok {
		return objectstore.Response{Outcome: objectstore.NotFound}
	}
	return objectstore.Response{Outcome: objectstore.Done, Version: object.Version, Value: object.Value}
}

// Put writes an object if its current version is the expected one.
func (s *Store) Put(op objectstore.Put) objectstore.Response {
	current := s.objects[op.Name]
	if current.Version != op.IfVersion {
		return objectstore.Response{Outcome: objectstore.Conflict, Version: current.Version, Value: current.Value}
	}
	s.revision++
	s.objects[op.Name] = objectstore.Object{Name: op.Name, Version: s.revision, Value: op.Value}
	return objectstore.Response{Outcome: objectstore.Done, Version: s.revision}
}

// Watch returns the object if its version is greater than op.Since, and the outcome
// NotFound otherwise.
func (s *Store) Watch(op objectstore.Watch) objectstore.Response {
	response := s.Get(objectstore.Get{Name: op.Name})
	if response.Version <= op.Since {
		return objectstore.Response{Outcome: objectstore.NotFound}
	}
	return response
}

// ListObjects returns the next page of the objects with the prefix, sorted by name.
func (s *Store) ListObjects(op objectstore.ListObjects) objectstore.Response {
	var matches []objectstore.Object
	for name, object := range s.objects {
		if strings.HasPrefix(name, op.Prefix) && name > op.After {
			matches = append(matches, object)
		}
	}
	slices.SortFunc(matches, func(a, b objectstore.Object) int { return strings.Compare(a.Name, b.Name) })
	return objectstore.Response{Outcome: objectstore.Done, Objects: matches[:min(len(matches), pageSize)]}
}

// Register adds or replaces the instance's entry on the instance list at now.
func (s *Store) Register(now clock.Millis, instance objectstore.Instance) {
	s.instanceChanges = append(s.instanceChanges, instanceChange{instance: instance, at: now})
}

// ListInstances returns the changes of the instance list after the operation's revision
// that happened at or before until. The list's revision is the number of changes.
func (s *Store) ListInstances(until clock.Millis, op objectstore.ListInstances) objectstore.Response {
	visible := slices.IndexFunc(s.instanceChanges, func(c instanceChange) bool { return c.at > until })
	if visible < 0 {
		visible = len(s.instanceChanges)
	}
	since := min(max(int(op.Since), 0), visible)
	return objectstore.Response{Outcome: objectstore.Done, Version: int64(visible), Instances: latestEntries(s.instanceChanges[since:visible])}
}

// latestEntries returns the last entry of each instance, in the order of the changes.
func latestEntries(changes []instanceChange) []objectstore.Instance {
	var instances []objectstore.Instance
	seen := map[string]bool{}
	for _, change := range slices.Backward(changes) {
		if !seen[change.instance.Name] {
			seen[change.instance.Name] = true
			instances = append(instances, change.instance)
		}
	}
	slices.Reverse(instances)
	return instances
}
