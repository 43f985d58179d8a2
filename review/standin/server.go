package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one execution of a request at a server.
type run struct {
	server, id, tenant string
	at                 time.Time
}

// service is a plain service: servers that run a request for a time in one of their slots.
type service struct {
	name string

	mu   sync.Mutex
	runs map[string][]run
}

func newService(name string) *service { return &service{name: name, runs: map[string][]run{}} }

// runsOf returns the executions of a request.
func (s *service) runsOf(id string) []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// slots and queueLength are those of a server of the plain service on the users' sheet.
const (
	slots       = 6
	queueLength = 24
)

// server is a server of a plain service.
type server struct {
	id, zone string
	service  *service
	store    *store
	work     time.Duration

	mu      sync.Mutex
	address string
	born    int64
	http    *http.Server
	cancel  context.CancelFunc
	// active counts the requests that run, by the first part of their path.
	active map[string]int
}

// startServer starts a server and lists it in the store.
func (s *service) startServer(id, zone string, st *store, work time.Duration) *server {
	started := &server{id: id, zone: zone, service: s, store: st, work: work}
	started.listen(loopback + ":0")
	started.list()
	return started
}

// listen begins a lifetime of the server at the address.
func (v *server) listen(address string) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		unable("server %s: %v", v.id, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	free, queued := make(chan struct{}, slots), make(chan struct{}, slots+queueLength)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { v.handle(w, r, free, queued) })
	v.mu.Lock()
	v.address, v.born, v.active, v.cancel = listener.Addr().String(), time.Now().UnixMilli(), map[string]int{}, cancel
	v.http = &http.Server{Handler: handler, BaseContext: func(net.Listener) context.Context { return ctx }}
	served := v.http
	v.mu.Unlock()
	go func() { _ = served.Serve(listener) }()
}

// list writes the server's entry.
func (v *server) list() {
	v.mu.Lock()
	entry := map[string]any{"service": v.service.name, "address": v.address, "zone": v.zone, "version": "v1", "slots": slots, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": v.born}
	v.mu.Unlock()
	v.store.write("servers", v.id, entry)
}

// crash ends the lifetime: all channels are reset.
func (v *server) crash() {
	v.mu.Lock()
	served, cancel := v.http, v.cancel
	v.mu.Unlock()
	note("%s crashes", v.id)
	cancel()
	_ = served.Close()
}

// restart begins another lifetime at the same address under the same identifier.
func (v *server) restart() {
	v.mu.Lock()
	address := v.address
	v.mu.Unlock()
	v.listen(address)
	v.list()
	note("%s serves again", v.id)
}

// runsAny reports whether a request with the path's first part runs.
func (v *server) runsAny(path string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.active[path] > 0
}

func (v *server) count(path string, change int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.active[path] += change
}

func (v *server) handle(w http.ResponseWriter, r *http.Request, free, queued chan struct{}) {
	if r.URL.Path == "/health" {
		w.Header().Set(headerPrefix+"Instance-Id", v.id)
		return
	}
	attempt := r.Header.Get(headerPrefix + "Attempt-Id")
	w.Header().Set(headerPrefix+"Attempt-Id", attempt)
	if r.Header.Get(headerPrefix+"Target-Instance") != v.id {
		w.Header().Set(headerPrefix+"Instance-Id", v.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	length, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	select {
	case queued <- struct{}{}:
	default:
		w.Header().Set(headerPrefix+"Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-queued }()
	free <- struct{}{}
	defer func() { <-free }()
	path, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	v.count(path, 1)
	defer v.count(path, -1)
	v.service.mu.Lock()
	v.service.runs[attempt] = append(v.service.runs[attempt], run{server: v.id, id: attempt, tenant: r.Header.Get(headerPrefix + "Tenant"), at: time.Now()})
	v.service.mu.Unlock()
	note("%s runs %s, body of %d bytes", v.id, attempt, length)
	select {
	case <-time.After(v.work):
	case <-r.Context().Done():
		// The client has left, or the server has crashed: nothing more is sent.
		panic(http.ErrAbortHandler)
	}
	text := fmt.Sprintf("%s recorded %s, %d bytes\n", v.id, attempt, length)
	w.Header().Set(headerPrefix+"Response-Stamp", "stamp."+v.id)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}
