package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["releases"] = releases }

func releases(f *fleet, trouble bool) int {
	mode := os.Getenv("REVIEW_MODE")
	setup := func(e *engine) *engine {
		e.events = func(*http.Request) (int, time.Duration) { return 20 + rand.IntN(40), 30 * time.Millisecond }
		return e
	}
	for i := range 6 {
		setup(f.addEngine(fmt.Sprintf("i-mod%d", i), "models", "m1"))
	}
	f.addEngine("i-app0", "app", "")
	f.store.put("versions", "m1", map[string]any{"model": "m1", "version": 1})
	routes := standardRoutes()
	open := route("open", "streaming", "models", 12000, 400, 2, true)
	open["public"] = true
	routes = append(routes, open)
	state := desired(1, routes, []string{key})
	if mode == "notenants" {
		delete(state, "tenants")
	}
	f.store.put("config", "main", state)
	f.addEdges(6)
	for _, e := range f.edges {
		f.start(e)
	}
	if !f.awaitReady(20 * time.Second) {
		return 2
	}
	f.endFirstStart()
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	var mu sync.Mutex
	counts := map[string]int{}
	for range 30 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for {
				select {
				case <-stop:
					return
				default:
				}
				path := "/resume/a"
				if rand.IntN(2) == 0 {
					path = "/open/a"
				}
				first := newID()
				prompt := fmt.Sprintf("X-Hyssopdoor-Model: m1\r\nX-Hyssopdoor-Token-Count: 700,49\r\nX-Hyssopdoor-Prompt-Prefix: %08x:120,%08x:80,%s:500\r\n", rand.IntN(8), 100+rand.IntN(100), first[:8])
				versions, last, lastID, kept := "", "", 0, ""
				for try := range 4 {
					id, more := first, prompt
					if try > 0 {
						id = newID()
					}
					if lastID > 0 {
						more += "Last-Event-Id: " + strconv.Itoa(lastID) + "\r\n"
					}
					e := f.edges[rand.IntN(len(f.edges))]
					a := once(e.front, http.MethodPost, encode(id, http.MethodPost, path, 12000, "prompt of "+first, more), 14*time.Second)
					if a.status == 200 {
						for _, event := range strings.Split(a.body, "\n\n") {
							n, _ := strconv.Atoi(strings.TrimPrefix(strings.SplitN(event, "\n", 2)[0], "id: "))
							_, version, found := strings.Cut(event, " by ")
							if !found || len(version) != 2 {
								continue
							}
							if n != lastID+1 {
								f.note("BROKEN gap %s: %d after %d", first, n, lastID)
							}
							lastID = n
							if version != last {
								versions, last = versions+fmt.Sprintf(" try %d at %s from %d %s", try, e.name, n, version), version
							}
						}
					}
					kept += fmt.Sprintf(" %d/%v", a.status, a.err != nil)
					if a.status == 200 && a.err == nil {
						break
					}
					time.Sleep(time.Duration(20+rand.IntN(300)) * time.Millisecond)
				}
				mu.Lock()
				counts[path+kept]++
				mu.Unlock()
				if strings.Count(versions, "from") > 1 {
					f.note("BROKEN joined %s %s:%s;%s", path, first, versions, kept)
					mu.Lock()
					counts["JOINED "+path]++
					mu.Unlock()
				}
				time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
			}
		}()
	}
	end := time.Now().Add(time.Duration(intEnv("REVIEW_SECONDS", 60)) * time.Second)
	software, next := 1, 100
	live := append([]*engine{}, f.engines[:6]...)
	for trouble && time.Now().Before(end) {
		time.Sleep(time.Duration(rand.IntN(2500)) * time.Millisecond)
		if rand.IntN(2) == 0 {
			software++
		}
		n := 1 + rand.IntN(5)
		f.note("release of v%d: %d engines", software%10, n)
		for range n {
			i := rand.IntN(len(live))
			old := live[i]
			fresh, err := startEngine(fmt.Sprintf("i-new%d", next), "models", "127.0.0.1:0", old.zone, "m1")
			if err != nil {
				return 2
			}
			next++
			fresh.software = fmt.Sprintf("v%d", software%10)
			setup(fresh)
			f.engines = append(f.engines, fresh)
			f.store.put("servers", fresh.id, fresh.entry("ready"))
			live[i] = fresh
			switch rand.IntN(3) {
			case 0:
				f.store.put("servers", old.id, old.entry("draining"))
				time.AfterFunc(2500*time.Millisecond, func() { old.crash(); f.store.remove("servers", old.id) })
			case 1:
				f.store.remove("servers", old.id)
				time.AfterFunc(2500*time.Millisecond, old.crash)
			default:
				old.crash()
				time.AfterFunc(time.Duration(rand.IntN(3000))*time.Millisecond, func() { f.store.remove("servers", old.id) })
			}
			time.Sleep(time.Duration(rand.IntN(500)) * time.Millisecond)
		}
		if rand.IntN(2) == 0 && mode != "nokill" {
			f.note("all processes are killed")
			for _, e := range f.edges {
				e.signal(syscall.SIGKILL)
			}
			for _, e := range f.edges {
				<-e.exited
				_ = e.log.Close()
			}
			time.Sleep(time.Duration(200+rand.IntN(800)) * time.Millisecond)
			for _, e := range f.edges {
				f.start(e)
			}
		}
	}
	time.Sleep(2 * time.Second)
	close(stop)
	wait.Wait()
	for k, n := range counts {
		f.note("count %s %d", k, n)
	}
	fmt.Println(counts)
	for k := range counts {
		if strings.HasPrefix(k, "JOINED") {
			return 1
		}
	}
	return 0
}
