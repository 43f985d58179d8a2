package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["silent"] = silent }

func silent(f *fleet, trouble bool) int {
	for i := range 5 {
		e := f.addEngine(fmt.Sprintf("i-mod%d", i), "models", "m1")
		e.events = func(r *http.Request) (int, time.Duration) {
			return 5 + int(r.Header.Get("X-Hyssopdoor-Attempt-Id")[0])%40, 15 * time.Millisecond
		}
		e.listed = func() { f.store.put("servers", e.id, e.entry("ready")) }
		if trouble {
			e.stall = func(n int) time.Duration {
				switch k := rand.IntN(100); {
				case n == 1 && k < 40:
					return time.Duration(600+rand.IntN(500)) * time.Millisecond
				case k < 3:
					return time.Duration(850+rand.IntN(500)) * time.Millisecond
				}
				return 0
			}
		}
	}
	f.addEngine("i-app0", "app", "")
	f.store.put("versions", "m1", map[string]any{"model": "m1", "version": 1})
	f.store.put("config", "main", desired(1, standardRoutes(), []string{key}))
	f.addEdges(4)
	for _, e := range f.edges {
		f.start(e)
	}
	if !f.awaitReady(20 * time.Second) {
		return 2
	}
	time.Sleep(3 * time.Second)
	var stop atomic.Bool
	var clients sync.WaitGroup
	var bad, complete, other atomic.Int64
	for c := range 60 {
		clients.Go(func() {
			for !stop.Load() {
				id := newID()
				path := "/resume/a"
				if rand.IntN(4) == 0 {
					path = "/stream/a"
				}
				prompt := fmt.Sprintf("X-Hyssopdoor-Model: m1\r\nX-Hyssopdoor-Token-Count: 700,49\r\nX-Hyssopdoor-Prompt-Prefix: %08x:120,%08x:80,%s:500\r\n", rand.IntN(8), 100+rand.IntN(100), id[:8])
				a := once(f.edges[c%4].front, http.MethodPost, encode(id, http.MethodPost, path, 12000, "x", prompt), 14*time.Second)
				if a.err != nil || a.status != 200 {
					other.Add(1)
					continue
				}
				complete.Add(1)
				checkStream(func(format string, args ...any) {
					bad.Add(1)
					f.note("BROKEN "+format, args...)
				}, id, a.body, nil)
			}
		})
	}
	end := time.Now().Add(time.Duration(intEnv("REVIEW_SECONDS", 40)) * time.Second)
	for version := 2; time.Now().Before(end); version++ {
		if trouble {
			f.store.put("versions", "m1", map[string]any{"model": "m1", "version": version})
		}
		time.Sleep(time.Duration(2500+rand.IntN(4000)) * time.Millisecond)
	}
	stop.Store(true)
	clients.Wait()
	twice := map[string]int{}
	repeats := 0
	for _, e := range f.engines {
		for _, r := range e.taken() {
			twice[r.ID]++
			if twice[r.ID] > 1 {
				repeats++
				if r.Path == "/stream/a" {
					bad.Add(1)
					f.note("BROKEN TWICE %s", r.ID)
				}
			}
		}
		f.note("engine %s version %d orders %v", e.id, e.version, e.orders)
	}
	fmt.Println("complete", complete.Load(), "other", other.Load(), "repeats", repeats, "bad", bad.Load())
	return int(min(1, bad.Load()))
}
