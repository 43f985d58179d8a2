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

// cachedPart is a part of a prompt that an engine keeps.
type cachedPart struct {
	tokens int
	maker  string // maker is the tenant whose request made it.
	madeBy string // madeBy is that request.
}

// use is the use of a kept part by a request.
type use struct {
	at                   time.Time
	engine, salt, part   string
	id, tenant           string
	maker, madeByRequest string
}

// pace is the time until a stream's first event, the time between two events, and their number.
type pace struct {
	first, gap time.Duration
	events     int
}

// engine is a stand-in for a model engine. It keeps prompt parts by salt, as the platform's engines do.
type engine struct {
	id, zone, address string
	service           string
	pace              pace
	store             *store

	mu       sync.Mutex
	software string
	born     int64
	server   *http.Server
	cancel   context.CancelFunc
	kept     map[string]map[string]cachedPart
	changes  [][]any
	uses     []use
	runs     map[string][]run
	salts    map[string]string // salts are by request.
}

// startEngine starts an engine and lists it in the store.
func startEngine(id, zone string, st *store, p pace) *engine {
	return startEngineOf("engines", "v1", id, zone, st, p)
}

// startEngineOf does the same for a service and a version of the software.
func startEngineOf(service, software, id, zone string, st *store, p pace) *engine {
	started := &engine{id: id, zone: zone, service: service, store: st, software: software, pace: p, runs: map[string][]run{}, salts: map[string]string{}}
	started.listen(loopback + ":0")
	started.list("ready")
	return started
}

// listen begins a lifetime of the engine at the address.
func (e *engine) listen(address string) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		unable("engine %s: %v", e.id, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.mu.Lock()
	e.address = listener.Addr().String()
	e.born = time.Now().UnixMilli()
	e.kept, e.changes = map[string]map[string]cachedPart{}, nil
	e.cancel = cancel
	lifetime := e.born
	e.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.handle(w, r, lifetime) }), BaseContext: func(net.Listener) context.Context { return ctx }}
	server := e.server
	e.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
}

// list writes the engine's entry.
func (e *engine) list(stage string) {
	e.mu.Lock()
	entry := map[string]any{"service": e.service, "address": e.address, "zone": e.zone, "version": e.software, "slots": 64, "state": stage, "cold_left_ms": 0, "stage": "both", "models": []any{model()}, "seq": 1, "born": e.born}
	e.mu.Unlock()
	e.store.write("servers", e.id, entry)
}

// model is what engines say of their model.
func model() map[string]any {
	return map[string]any{"name": "m0", "version": 1, "adapters": []any{}}
}

// crash ends the lifetime: all channels are reset.
func (e *engine) crash() {
	e.mu.Lock()
	server, cancel := e.server, e.cancel
	e.mu.Unlock()
	cancel()
	_ = server.Close()
}

// restart begins another lifetime at the same address under the same identifier, with the software. The entry
// follows with a delay.
func (e *engine) restart(software string, entryDelay time.Duration) {
	e.mu.Lock()
	address := e.address
	e.software = software
	e.mu.Unlock()
	e.listen(address)
	note("%s serves again, with software %s; its entry is older", e.id, software)
	time.AfterFunc(entryDelay, func() {
		e.list("ready")
		note("%s has written its entry", e.id)
	})
}

func (e *engine) handle(w http.ResponseWriter, r *http.Request, lifetime int64) {
	switch r.URL.Path {
	case "/health":
		w.Header().Set(headerPrefix+"Instance-Id", e.id)
	case apiRoot + "/report":
		e.mu.Lock()
		active, born := len(e.runs), e.born
		e.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{"stage": "both", "models": []any{model()}, "busy": false, "seq": 0, "queued": 0, "active": active, "kv_used": 0, "kv_total": 90000, "handles": 0, "born": born})
	case apiRoot + "/order":
		reply(w, http.StatusOK, nil)
	case apiRoot + "/kv-events", apiRoot + "/kv-list":
		e.answerCache(w, r)
	default:
		e.answer(w, r, lifetime)
	}
}

// answerCache answers what the engine keeps, or what has changed.
func (e *engine) answerCache(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	body := map[string]any{"epoch": e.born, "next_token": len(e.changes), "lost": false}
	if strings.HasSuffix(r.URL.Path, "-list") {
		list := []any{}
		for salt, parts := range e.kept {
			for part, cached := range parts {
				list = append(list, []any{salt, part, cached.tokens, "m0"})
			}
		}
		body["held"] = list
	} else {
		since, _ := strconv.Atoi(r.URL.Query().Get("since"))
		events := []any{}
		for n := max(0, since); n < len(e.changes); n++ {
			events = append(events, append([]any{n + 1, "+"}, e.changes[n]...))
		}
		body["events"] = events
	}
	reply(w, http.StatusOK, body)
}

// prefill uses the parts that are kept under the salt, up to the first one that is not, and keeps the rest.
func (e *engine) prefill(r *http.Request) (used int) {
	salt, id, tenant := r.Header.Get(headerPrefix+"Cache-Salt"), r.Header.Get(headerPrefix+"Attempt-Id"), r.Header.Get(headerPrefix+"Tenant")
	if e.kept[salt] == nil {
		e.kept[salt] = map[string]cachedPart{}
	}
	hit := true
	for entry := range strings.SplitSeq(r.Header.Get(headerPrefix+"Prompt-Prefix"), ",") {
		part, count, _ := strings.Cut(entry, ":")
		tokens, _ := strconv.Atoi(count)
		if cached, ok := e.kept[salt][part]; ok && hit {
			used += cached.tokens
			e.uses = append(e.uses, use{at: time.Now(), engine: e.id, salt: salt, part: part, id: id, tenant: tenant, maker: cached.maker, madeByRequest: cached.madeBy})
			note("%s: %s of tenant %s uses part %s, which %s of tenant %s made, under salt %q", e.id, id, tenant, part, cached.madeBy, cached.maker, salt)
			continue
		}
		hit = false
		e.kept[salt][part] = cachedPart{tokens: tokens, maker: tenant, madeBy: id}
		e.changes = append(e.changes, []any{salt, part, tokens, "m0"})
	}
	return used
}

// answer runs a request: it sends the events of a stream, after the last one that the caller has.
func (e *engine) answer(w http.ResponseWriter, r *http.Request, lifetime int64) {
	id := r.Header.Get(headerPrefix + "Attempt-Id")
	w.Header().Set(headerPrefix+"Attempt-Id", id)
	expected := r.Header.Get(headerPrefix + "Expected-Version")
	if r.Header.Get(headerPrefix+"Target-Instance") != e.id || (expected != "" && expected != "1") {
		w.Header().Set(headerPrefix+"Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	length, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.mu.Lock()
	software, used := e.software, e.prefill(r)
	e.salts[id] = r.Header.Get(headerPrefix + "Cache-Salt")
	e.runs[id] = append(e.runs[id], run{server: e.id, id: id, tenant: r.Header.Get(headerPrefix + "Tenant"), at: time.Now()})
	e.mu.Unlock()
	note("%s (software %s) runs %s of tenant %s after event %d, body of %d bytes, %d tokens kept", e.id, software, id, r.Header.Get(headerPrefix+"Tenant"), last, length, used)
	for number := last + 1; number <= e.pace.events; number++ {
		wait := e.pace.gap
		if number == last+1 {
			wait = e.pace.first
		}
		select {
		case <-r.Context().Done():
			// The client has left, or the engine has crashed: nothing more is sent.
			panic(http.ErrAbortHandler)
		case <-time.After(wait):
		}
		if number == last+1 {
			w.Header().Set(headerPrefix+"Response-Stamp", fmt.Sprintf("stamp.%s.%d", e.id, lifetime))
			w.Header().Set(headerPrefix+"Weight-Versions", "1")
			w.Header().Set("Content-Type", "text/event-stream")
			w.WriteHeader(http.StatusOK)
		}
		fmt.Fprintf(w, "id: %d\ndata: word %d as software %s writes it\n\n", number, number, software)
		w.(http.Flusher).Flush()
	}
}

// runsOf returns the executions of a request at the engine.
func (e *engine) runsOf(id string) []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}
