package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the store.
type object struct {
	Metadata struct {
		Name           string   `json:"name"`
		Revision       int64    `json:"revision"`
		CreateRevision int64    `json:"create_revision"`
		Finalizers     []string `json:"finalizers"`
		Deleting       bool     `json:"deleting"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

// change is one entry of the store's history.
type change struct {
	Kind    string `json:"-"`
	Rev     int64  `json:"-"`
	Object  object `json:"object"`
	Removed bool   `json:"removed"`
}

// store is a stand-in for the platform's metadata store, by its published protocol.
type store struct {
	mu       sync.Mutex
	rev      int64
	objects  map[string]map[string]object
	history  []change
	wake     chan struct{}
	address  string
	listener net.Listener
}

func startStore(address string) (*store, error) {
	s := &store{rev: 1, objects: map[string]map[string]object{}, wake: make(chan struct{})}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.listener, s.address = listener, listener.Addr().String()
	go func() { _ = (&http.Server{Handler: s}).Serve(listener) }()
	return s, nil
}

// notify wakes the watches. The caller holds the lock.
func (s *store) notify() {
	close(s.wake)
	s.wake = make(chan struct{})
}

// put writes an object without a condition and returns the store's revision.
func (s *store) put(kind, name string, spec any) int64 {
	encoded, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, encoded)
	return s.rev
}

// write stores an object. The caller holds the lock.
func (s *store) write(kind, name string, spec json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	stored, found := s.objects[kind][name]
	if found && string(stored.Spec) == string(spec) {
		return stored
	}
	s.rev++
	if !found {
		stored.Metadata.Name, stored.Metadata.CreateRevision = name, s.rev
	}
	stored.Metadata.Revision, stored.Spec = s.rev, spec
	s.objects[kind][name] = stored
	s.history = append(s.history, change{Kind: kind, Rev: s.rev, Object: stored})
	s.notify()
	return stored
}

// ServeHTTP answers the calls of the system.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := strings.TrimPrefix(r.URL.Path, wire.Objects)
	kind, name, _ := strings.Cut(path, "/")
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	default:
		s.one(w, r, kind, name)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []object{}
	for name, stored := range s.objects[kind] {
		if name > r.URL.Query().Get("after") {
			items = append(items, stored)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	reply(w, http.StatusOK, map[string]any{"items": items, "more": false, "current_rev": s.rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for ended := false; ; {
		s.mu.Lock()
		events := []change{}
		for _, c := range s.history {
			if c.Kind == kind && c.Rev > since {
				events = append(events, c)
			}
		}
		rev, wake := s.rev, s.wake
		s.mu.Unlock()
		if len(events) > 0 || ended {
			reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": rev})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-wake:
		case <-timer.C:
			ended = true
		}
	}
}

// one answers a call to one object.
func (s *store) one(w http.ResponseWriter, r *http.Request, kind, name string) {
	var sent object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if json.NewDecoder(r.Body).Decode(&sent) != nil {
			reply(w, http.StatusBadRequest, nil)
			return
		}
	}
	if revision := r.URL.Query().Get("revision"); revision != "" {
		sent.Metadata.Revision, _ = strconv.ParseInt(revision, 10, 64)
	}
	if r.Method == http.MethodPost {
		name = sent.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	stored, found := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && found:
		reply(w, http.StatusConflict, stored)
	case r.Method == http.MethodPost:
		reply(w, http.StatusCreated, s.write(kind, name, sent.Spec))
	case !found:
		reply(w, http.StatusNotFound, nil)
	case r.Method == http.MethodGet:
		reply(w, http.StatusOK, stored)
	case sent.Metadata.Revision != 0 && sent.Metadata.Revision != stored.Metadata.Revision:
		reply(w, http.StatusConflict, stored)
	case r.Method == http.MethodPut:
		reply(w, http.StatusOK, s.write(kind, name, sent.Spec))
	case r.Method == http.MethodDelete:
		delete(s.objects[kind], name)
		s.rev++
		s.history = append(s.history, change{Kind: kind, Rev: s.rev, Object: stored, Removed: true})
		s.notify()
		reply(w, http.StatusOK, stored)
	default:
		reply(w, http.StatusBadRequest, nil)
	}
}
