// Package store is the state of the stand-in for the platform, without HTTP and
// without a clock: versioned objects with conditional updates, and an instance
// list.
//
// # Usage
//
//	objects := store.New()
//	answer := objects.Put(objectstore.Put{Name: "a", Value: value, IfVersion: objectstore.IfAbsent})
package store

import (
	"slices"
	"strings"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// pageSize is how many objects one list has.
const pageSize = 200

// Store is the platform's state. It is not safe for concurrent use.
type Store struct {
	objects  map[string]objectstore.Object
	revision int64
	list     []change
}

// change is a change of the instance list and when it happened.
type change struct {
	instance objectstore.Instance
	at       clock.Millis
}

// New returns an empty Store.
func New() *Store {
	return &Store{objects: map[string]objectstore.Object{}}
}

// Get reads an object.
func (s *Store) Get(op objectstore.Get) objectstore.Response {
	object, ok := s.objects[op.Name]
	if !ok {
		return objectstore.Response{Outcome: objectstore.NotFound}
	}
	return objectstore.Response{Outcome: objectstore.Done, Version: object.Version, Value: object.Value}
}

// Put writes an object when it has the expected version.
func (s *Store) Put(op objectstore.Put) objectstore.Response {
	known := s.objects[op.Name]
	if known.Version != op.IfVersion {
		return objectstore.Response{Outcome: objectstore.Conflict, Version: known.Version, Value: known.Value}
	}
	s.revision++
	s.objects[op.Name] = objectstore.Object{Name: op.Name, Version: s.revision, Value: op.Value}
	return objectstore.Response{Outcome: objectstore.Done, Version: s.revision}
}

// Watch returns the object if its version is greater than the watch's, else
// that there is nothing new.
func (s *Store) Watch(op objectstore.Watch) objectstore.Response {
	answer := s.Get(objectstore.Get{Name: op.Name})
	if answer.Version <= op.Since {
		return objectstore.Response{Outcome: objectstore.NotFound}
	}
	return answer
}

// ListObjects reads the next page of the objects with the prefix.
func (s *Store) ListObjects(op objectstore.ListObjects) objectstore.Response {
	var found []objectstore.Object
	for name, object := range s.objects {
		if strings.HasPrefix(name, op.Prefix) && name > op.After {
			found = append(found, object)
		}
	}
	slices.SortFunc(found, func(a, b objectstore.Object) int { return strings.Compare(a.Name, b.Name) })
	return objectstore.Response{Outcome: objectstore.Done, Objects: found[:min(len(found), pageSize)]}
}

// Register changes the instance's entry of the list at now.
func (s *Store) Register(now clock.Millis, instance objectstore.Instance) {
	s.list = append(s.list, change{instance: instance, at: now})
}

// ListInstances reads the changes of the list after the operation's revision
// that happened before the instant until. The list's revision is the number of
// changes.
func (s *Store) ListInstances(until clock.Millis, op objectstore.ListInstances) objectstore.Response {
	shown := slices.IndexFunc(s.list, func(c change) bool { return c.at > until })
	if shown < 0 {
		shown = len(s.list)
	}
	since := min(max(int(op.Since), 0), shown)
	return objectstore.Response{Outcome: objectstore.Done, Version: int64(shown), Instances: latest(s.list[since:shown])}
}

// latest returns the last entry of each instance, in the order of the list.
func latest(changes []change) []objectstore.Instance {
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
