package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one request that an engine has begun to work on.
type run struct {
	ID, Engine, Tenant, Method, Path, Body string
	Begun                                  time.Time
	// Ended is when the engine stopped work; Dropped reports whether it did since its channel was closed.
	Ended   time.Time
	Dropped bool
}

// engine is a stand-in for an engine or an application server.
type engine struct {
	id, service, address, zone, model string
	// software is the version of the software, and version that of the weights.
	software string
	version  int64
	born     int64
	listener net.Listener

	mu   sync.Mutex
	seq  int64
	runs []*run
	// work returns how long a request takes, or the number and the pause of a stream's events.
	work   func(r *http.Request) time.Duration
	events func(r *http.Request) (int, time.Duration)
	conns  map[net.Conn]bool
}

func startEngine(id, service, address, zone, model string) (*engine, error) {
	e := &engine{id: id, service: service, zone: zone, model: model, software: "v1", version: 1, born: time.Now().UnixMilli(), conns: map[net.Conn]bool{}}
	e.work = func(*http.Request) time.Duration { return 20 * time.Millisecond }
	e.events = func(*http.Request) (int, time.Duration) { return 8, 10 * time.Millisecond }
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	e.listener, e.address = listener, listener.Addr().String()
	go e.accept(listener)
	return e, nil
}

func (e *engine) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[conn] = true
		e.mu.Unlock()
		go func() {
			e.serve(conn)
			e.mu.Lock()
			delete(e.conns, conn)
			e.mu.Unlock()
			_ = conn.Close()
		}()
	}
}

// crash resets all channels and stops listening.
func (e *engine) crash() {
	_ = e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for conn := range e.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

// restart ends the engine's process and starts it again, with the software version, under its identifier
// and at its address.
func (e *engine) restart(software string, down time.Duration) error {
	e.crash()
	time.Sleep(down)
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listener, e.software, e.born, e.seq = listener, software, time.Now().UnixMilli(), 0
	go e.accept(listener)
	return nil
}

// entry is the engine's entry in the store.
func (e *engine) entry(state string) map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry := map[string]any{"service": e.service, "address": e.address, "zone": e.zone, "version": e.software, "slots": 64, "state": state, "cold_left_ms": 0, "seq": e.seq, "born": e.born}
	if e.model != "" {
		entry["stage"] = "both"
		entry["models"] = []map[string]any{{"name": e.model, "version": e.version, "adapters": []string{}}}
	}
	return entry
}

func (e *engine) taken() []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	var all []run
	for _, r := range e.runs {
		all = append(all, *r)
	}
	return all
}

func (e *engine) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if !e.handle(conn, reader, request, string(body)) {
			return
		}
	}
}

func (e *engine) write(conn net.Conn, status int, header string, body string) bool {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n", status, http.StatusText(status), wire.Instance, e.id, header, len(body))
	_, err := io.WriteString(conn, head+body)
	return err == nil
}

func (e *engine) handle(conn net.Conn, reader *bufio.Reader, r *http.Request, body string) bool {
	path := r.URL.Path
	switch {
	case path == "/health":
		return e.write(conn, 200, "", "ok")
	case path == wire.Report:
		e.mu.Lock()
		report := map[string]any{"stage": "both", "models": []map[string]any{{"name": e.model, "version": e.version, "adapters": []string{}}}, "busy": false, "seq": e.seq, "queued": 0, "active": 0, "kv_used": 0, "kv_total": 90000, "handles": 0, "born": e.born}
		e.mu.Unlock()
		encoded, _ := json.Marshal(report)
		return e.write(conn, 200, "Content-Type: application/json\r\n", string(encoded))
	case path == wire.CacheList:
		return e.write(conn, 200, "Content-Type: application/json\r\n", fmt.Sprintf(`{"epoch":%d,"next_token":1,"held":[]}`, e.born))
	case path == wire.CacheEvents:
		time.Sleep(500 * time.Millisecond)
		return e.write(conn, 200, "Content-Type: application/json\r\n", fmt.Sprintf(`{"epoch":%d,"next_token":1,"lost":false,"events":[]}`, e.born))
	case strings.HasPrefix(path, wire.Calls):
		return e.write(conn, 404, "", "")
	}
	id := r.Header.Get(wire.Attempt)
	echo := wire.Attempt + ": " + id + "\r\n"
	if target := r.Header.Get(wire.Target); target != "" && target != e.id {
		return e.write(conn, 421, echo, "")
	}
	e.mu.Lock()
	version := strconv.FormatInt(e.version, 10)
	e.mu.Unlock()
	if expected := r.Header.Get(wire.ExpectedVersion); expected != "" && expected != version {
		return e.write(conn, 421, echo, "")
	}
	begun := &run{ID: id, Engine: e.id, Tenant: r.Header.Get(wire.Tenant), Method: r.Method, Path: r.RequestURI, Body: body, Begun: time.Now()}
	e.mu.Lock()
	e.runs = append(e.runs, begun)
	e.mu.Unlock()
	closed := make(chan struct{})
	go func() {
		if _, err := reader.Peek(1); err != nil {
			close(closed)
		}
	}()
	end := func(dropped bool) {
		e.mu.Lock()
		begun.Ended, begun.Dropped = time.Now(), dropped
		e.mu.Unlock()
	}
	stamp := wire.Stamp + ": " + id + "." + e.id + "\r\n"
	if strings.HasPrefix(path, "/resume/") {
		return e.stream(conn, r, echo+stamp, closed, end)
	}
	select {
	case <-closed:
		end(true)
		return false
	case <-time.After(e.work(r)):
	}
	end(false)
	return e.write(conn, 200, echo+stamp, "answer to "+id+" "+body) && false
}

func (e *engine) stream(conn net.Conn, r *http.Request, header string, closed chan struct{}, end func(bool)) bool {
	count, pause := e.events(r)
	e.mu.Lock()
	software := e.software
	e.mu.Unlock()
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" + wire.Weights + ": " + strconv.FormatInt(e.version, 10) + "\r\n" + header + "\r\n"
	if _, err := io.WriteString(conn, head); err != nil {
		end(true)
		return false
	}
	for n := first; n <= count; n++ {
		select {
		case <-closed:
			end(true)
			return false
		case <-time.After(pause):
		}
		event := fmt.Sprintf("id: %d\ndata: piece %d of %d by %s\n\n", n, n, count, software)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			end(true)
			return false
		}
	}
	end(false)
	_, _ = io.WriteString(conn, "0\r\n\r\n")
	return false
}
