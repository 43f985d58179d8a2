package main

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["gone"] = gone }

// gone has clients that leave right after they have sent a request.
func gone(f *fleet, trouble bool) int {
	for _, id := range []string{"i-app1", "i-app2", "i-app3"} {
		f.addEngine(id, "app", "").work = func(*http.Request) time.Duration { return 1500 * time.Millisecond }
	}
	f.store.put("config", "main", desired(1, standardRoutes(), []string{key}))
	f.addEdges(3)
	for _, e := range f.edges {
		f.start(e)
	}
	if !f.awaitReady(15 * time.Second) {
		return 2
	}
	time.Sleep(3 * time.Second)
	left := map[string]time.Time{}
	var mu sync.Mutex
	var wait sync.WaitGroup
	for i := range 300 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			time.Sleep(time.Duration(i) * 30 * time.Millisecond)
			id := newID()
			conn, err := net.Dial("tcp", f.edges[i%3].front)
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, encode(id, http.MethodGet, "/safe/x", 4000, "", ""))
			if trouble {
				_ = conn.Close()
				mu.Lock()
				left[id] = time.Now()
				mu.Unlock()
				return
			}
			_, _ = io.ReadAll(io.LimitReader(conn, 10))
			_ = conn.Close()
		}()
	}
	wait.Wait()
	time.Sleep(2 * time.Second)
	ran, kept := 0, 0
	for _, e := range f.engines {
		for _, r := range e.taken() {
			if at, ok := left[r.ID]; ok {
				ran++
				if r.Ended.IsZero() || r.Ended.Sub(at) > 500*time.Millisecond {
					kept++
				}
			}
		}
	}
	f.note("left %d, ran %d, at work half a second later %d", len(left), ran, kept)
	println(len(left), ran, kept)
	if kept*4 > ran {
		return 1
	}
	return 0
}
