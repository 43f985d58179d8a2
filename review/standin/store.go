package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is the store's usual response time.
const storeDelay = 4 * time.Millisecond

// object is an object in the store.
type object struct {
	revision, created int64
	spec, status      json.RawMessage
}

// change is a change in the store's history.
type change struct {
	revision   int64
	kind, name string
	removed    bool
	object     object
}

// store is a stand-in for the platform's metadata store. Its answers are linearizable, and it keeps its
// whole history.
type store struct {
	address string

	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object
	history  []change
	changed  chan struct{}
	// turnsAway is set while the store gives the instances no answer. The operator still reaches it.
	turnsAway bool
}

func startStore() *store {
	s := &store{revision: 100, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	listener, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		unable("store: %v", err)
	}
	s.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, http.HandlerFunc(s.handle)) }()
	return s
}

// write puts an object unconditionally, as the operator and the servers do, and returns the revision.
func (s *store) write(kind, name string, spec any) int64 {
	value, err := json.Marshal(spec)
	if raw, ok := spec.(json.RawMessage); ok {
		value, err = raw, nil
	}
	if err != nil {
		unable("store: %v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(kind, name, value, nil).revision
}

func (s *store) put(kind, name string, spec, status json.RawMessage) object {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	next := object{revision: s.revision, created: s.revision, spec: spec, status: status}
	if before, ok := s.objects[kind][name]; ok {
		next.created = before.created
	}
	s.objects[kind][name] = next
	s.record(change{revision: s.revision, kind: kind, name: name, object: next})
	return next
}

func (s *store) drop(kind, name string) {
	gone, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	gone.revision = s.revision
	s.record(change{revision: s.revision, kind: kind, name: name, removed: true, object: gone})
}

func (s *store) record(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// turnAway begins or ends the time in which the store gives the instances no answer.
func (s *store) turnAway(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turnsAway = on
	note("the store turns the instances away: %t", on)
	close(s.changed)
	s.changed = make(chan struct{})
}

// awaitTurn holds a call while the store turns the instances away. It reports false if the caller left.
func (s *store) awaitTurn(r *http.Request) bool {
	for {
		s.mu.Lock()
		away, changed := s.turnsAway, s.changed
		s.mu.Unlock()
		if !away {
			return true
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return false
		}
	}
}

func encodeObject(name string, o object) map[string]any {
	orNull := func(value json.RawMessage) json.RawMessage {
		if len(value) == 0 {
			return json.RawMessage("null")
		}
		return value
	}
	return map[string]any{
		"metadata": map[string]any{"name": name, "revision": o.revision, "create_revision": o.created, "finalizers": []string{}, "deleting": false},
		"spec":     orNull(o.spec), "status": orNull(o.status),
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (s *store) handle(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	path, ok := strings.CutPrefix(r.URL.Path, apiRoot+"/objects/")
	if !ok {
		reply(w, http.StatusNotFound, nil)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	if !s.awaitTurn(r) {
		return
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind)
	default:
		s.call(w, r, kind, name)
	}
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := []any{}
	for name, o := range s.objects[kind] {
		items = append(items, encodeObject(name, o))
	}
	revision := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "more": false, "current_rev": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for ended := false; ; {
		s.mu.Lock()
		events := []any{}
		for _, c := range s.history {
			if c.kind == kind && c.revision > since {
				events = append(events, map[string]any{"removed": c.removed, "object": encodeObject(c.name, c.object)})
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if !s.awaitTurn(r) {
			return
		}
		if len(events) > 0 || ended {
			reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) call(w http.ResponseWriter, r *http.Request, kind, name string) {
	body, _ := io.ReadAll(r.Body)
	var sent struct {
		Metadata struct {
			Name     string `json:"name"`
			Revision int64  `json:"revision"`
		} `json:"metadata"`
		Spec   json.RawMessage `json:"spec"`
		Status json.RawMessage `json:"status"`
	}
	_ = json.Unmarshal(body, &sent)
	name, isStatus := strings.CutSuffix(name, "/status")
	if name == "" {
		name = sent.Metadata.Name
	}
	expected := sent.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		expected, _ = strconv.ParseInt(text, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	stored, found := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && found, r.Method != http.MethodPost && found && expected != 0 && expected != stored.revision:
		reply(w, http.StatusConflict, encodeObject(name, stored))
	case r.Method != http.MethodPost && !found:
		reply(w, http.StatusNotFound, nil)
	case r.Method == http.MethodGet:
		reply(w, http.StatusOK, encodeObject(name, stored))
	case r.Method == http.MethodDelete:
		s.drop(kind, name)
		reply(w, http.StatusOK, encodeObject(name, stored))
	case isStatus:
		reply(w, http.StatusOK, encodeObject(name, s.put(kind, name, stored.spec, sent.Status)))
	default:
		reply(w, http.StatusOK, encodeObject(name, s.put(kind, name, sent.Spec, stored.status)))
	}
}
