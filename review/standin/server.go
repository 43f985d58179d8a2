package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
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

// startServer starts a server and lists it in the store.
func (s *service) startServer(id, zone string, st *store, work time.Duration) {
	listener, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		unable("server: %v", err)
	}
	free, queued := make(chan struct{}, slots), make(chan struct{}, slots+queueLength)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" {
			w.Header().Set(headerPrefix+"Instance-Id", id)
			return
		}
		attempt := r.Header.Get(headerPrefix + "Attempt-Id")
		w.Header().Set(headerPrefix+"Attempt-Id", attempt)
		if r.Header.Get(headerPrefix+"Target-Instance") != id {
			w.Header().Set(headerPrefix+"Instance-Id", id)
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
		s.mu.Lock()
		s.runs[attempt] = append(s.runs[attempt], run{server: id, id: attempt, tenant: r.Header.Get(headerPrefix + "Tenant"), at: time.Now()})
		s.mu.Unlock()
		note("%s runs %s, body of %d bytes", id, attempt, length)
		time.Sleep(work)
		text := fmt.Sprintf("%s recorded %s, %d bytes\n", id, attempt, length)
		w.Header().Set(headerPrefix+"Response-Stamp", "stamp."+id)
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(w, text)
	})
	go func() { _ = http.Serve(listener, handler) }()
	st.write("servers", id, map[string]any{"service": s.name, "address": listener.Addr().String(), "zone": zone, "version": "v1", "slots": slots, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": time.Now().UnixMilli()})
}
