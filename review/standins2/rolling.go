package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["rolling"] = rolling }

const (
	// restartGap is the time from one restart to the next, and restartDown the time for which an engine is away.
	restartGap  = 400 * time.Millisecond
	restartDown = 100 * time.Millisecond
	// streamEvents and eventPause are those of each stream.
	streamEvents = 40
	eventPause   = 30 * time.Millisecond
)

// rolling restarts the engines of a service one after the other, twice. Each one starts again under its identifier, with
// newer software, and writes its entry at once. No complete answer may be joined from two versions.
func rolling(f *fleet, trouble bool) int {
	for i := range 9 {
		f.addEngine(fmt.Sprintf("i-mod%d", i), "models", "m1").events = func(*http.Request) (int, time.Duration) { return streamEvents, eventPause }
	}
	f.store.put("versions", "m1", map[string]any{"model": "m1", "version": 1})
	f.store.put("config", "main", desired(false))
	f.addEdges(6)
	for _, e := range f.edges {
		f.start(e)
	}
	if !f.awaitReady(20 * time.Second) {
		return 2
	}
	time.Sleep(4 * time.Second)
	var stop atomic.Bool
	var clients sync.WaitGroup
	var complete, joined, others atomic.Int64
	for c := range 10 {
		clients.Go(func() {
			for !stop.Load() {
				switch f.resumableStream(f.edges[c%len(f.edges)]) {
				case 0:
					others.Add(1)
				case 1:
					complete.Add(1)
				default:
					complete.Add(1)
					joined.Add(1)
				}
				time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
			}
		})
	}
	time.Sleep(3 * time.Second)
	for _, software := range []string{"v2", "v3"} {
		for _, e := range f.engines {
			next := time.Now().Add(restartGap)
			if trouble {
				f.note("engine %s is killed", e.id)
				if err := e.restart(software, restartDown); err != nil {
					f.note("%v", err)
					return 2
				}
				f.store.put("servers", e.id, e.entry("ready"))
				f.note("engine %s runs again with software %s, and has written its entry", e.id, software)
			}
			time.Sleep(time.Until(next))
		}
		time.Sleep(3 * time.Second)
	}
	stop.Store(true)
	clients.Wait()
	f.noteRuns()
	f.note("complete answers %d, of them joined from two versions %d; other ends %d", complete.Load(), joined.Load(), others.Load())
	if complete.Load() == 0 {
		return 2
	}
	return int(min(1, joined.Load()))
}

// resumableStream sends a request on a resumable route. It returns the number of software versions in a complete
// answer, 0 for any other.
func (f *fleet) resumableStream(e *edge) int {
	id := newID()
	parts := fmt.Sprintf("%08x:120,%08x:80,%s:500", rand.IntN(8), 100+rand.IntN(100), id[:8])
	f.note("request %s sent to %s", id, e.name)
	a := once(e.front, http.MethodPost, promptRequest(id, parts, 49, "", "prompt of "+id), 14*time.Second)
	if a.err != nil || a.status != http.StatusOK {
		f.note("request %s: status %d, incomplete: %v", id, a.status, a.err)
		return 0
	}
	versions, next, last := "", 1, ""
	for _, event := range strings.Split(strings.TrimSpace(a.body), "\n\n") {
		if _, version, _ := strings.Cut(event, " by "); version != last {
			versions, last = versions+" from piece "+strconv.Itoa(next)+" "+version, version
		}
		next++
	}
	count := strings.Count(versions, "piece")
	verdict := ""
	if count > 1 {
		verdict = "BROKEN ORDER: "
	}
	f.note("%srequest %s: status 200, complete, %d pieces:%s", verdict, id, next-1, versions)
	return count
}

// noteRuns writes to the record what the engines ran.
func (f *fleet) noteRuns() {
	for _, e := range f.engines {
		for _, r := range e.taken() {
			f.note("engine %s ran %s %s from %s to %s, dropped %v", e.id, r.ID, r.Path, r.Begun.Format("15:04:05.000"), r.Ended.Format("15:04:05.000"), r.Dropped)
		}
	}
}
