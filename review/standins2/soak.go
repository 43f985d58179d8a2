package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["soak"] = soak }

func soak(f *fleet, trouble bool) int {
	seconds := 60
	if v, err := strconv.Atoi(os.Getenv("REVIEW_SECONDS")); err == nil {
		seconds = v
	}
	flaky := func(conn net.Conn, r *http.Request, begun *run) bool {
		if !trouble || os.Getenv("REVIEW_ONLY") != "" {
			return true
		}
		id := r.Header.Get("X-Hyssopdoor-Attempt-Id")
		echo := "X-Hyssopdoor-Attempt-Id: " + id + "\r\nX-Hyssopdoor-Response-Stamp: s\r\n"
		switch n := rand.IntN(200); {
		case n < 4:
			_ = conn.(*net.TCPConn).SetLinger(0)
			return false
		case n < 6:
			return false
		case n < 8:
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: 500\r\n\r\nshort", echo)
			return false
		case n < 10:
			fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\n%sContent-Length: 0\r\n\r\n", echo)
			return false
		case n < 12:
			fmt.Fprintf(conn, "HTTP/1.1 500 Internal Server Error\r\n%sContent-Length: 3\r\n\r\nbad", echo)
			return false
		case n < 14:
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Hyssopdoor-Attempt-Id: other\r\nX-Hyssopdoor-Response-Stamp: s\r\nContent-Length: 3\r\n\r\nbad")
			return false
		case n < 15:
			fmt.Fprintf(conn, "garbage garbage\r\n\r\n")
			return false
		case n < 17:
			time.Sleep(3 * time.Second)
		}
		return true
	}
	setup := func(e *engine) *engine {
		e.answer = flaky
		e.events = func(*http.Request) (int, time.Duration) {
			return 1 + rand.IntN(40), time.Duration(1+rand.IntN(30)) * time.Millisecond
		}
		e.work = func(*http.Request) time.Duration { return time.Duration(5+rand.IntN(80)) * time.Millisecond }
		return e
	}
	for i := range 3 {
		setup(f.addEngine(fmt.Sprintf("i-app%d", i), "app", ""))
		setup(f.addEngine(fmt.Sprintf("i-mod%d", i), "models", "m1"))
	}
	f.store.put("versions", "m1", map[string]any{"model": "m1", "version": 1})
	f.store.put("config", "main", desired(1, standardRoutes(), []string{key}))
	f.addEdges(4)
	for _, e := range f.edges {
		f.start(e)
	}
	if !f.awaitReady(20 * time.Second) {
		return 2
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	var mu sync.Mutex
	type seen struct {
		path string
		a    answer
		at   time.Time
		edge string
	}
	got := map[string]seen{}
	counts := map[string]int{}
	var inMaintenance sync.Map
	for c := range 60 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			var conn net.Conn
			var reader *bufio.Reader
			target := f.edges[c%len(f.edges)]
			for {
				select {
				case <-stop:
					return
				default:
				}
				if conn == nil {
					for try := 0; try < 8 && !target.isReady(); try++ {
						target = f.edges[rand.IntN(len(f.edges))]
						time.Sleep(20 * time.Millisecond)
					}
					var err error
					if conn, err = net.DialTimeout("tcp", target.front, time.Second); err != nil {
						conn = nil
						time.Sleep(50 * time.Millisecond)
						continue
					}
					reader = bufio.NewReader(conn)
				}
				id, method, path, more, body := newID(), "POST", "/unsafe/a", "", "body of "+strconv.Itoa(c)
				deadline := 4000
				switch rand.IntN(4) {
				case 0:
					method, path, body = "GET", "/safe/a", ""
				case 1:
					path, more, deadline = "/stream/a", promptHeaders, 5000
				case 2:
					path, more, deadline = "/resume/a", promptHeaders, 12000
				}
				if method == "POST" && rand.IntN(60) == 0 {
					body = strings.Repeat("x", rand.IntN(200000))
				}
				text := encode(id, method, path, deadline, body, more)
				if method == "POST" && rand.IntN(5) == 0 {
					text = strings.Replace(text, fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body), fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body), 1)
				}
				if trouble && rand.IntN(25) == 0 {
					_, _ = io.WriteString(conn, text)
					time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
					_ = conn.Close()
					conn = nil
					continue
				}
				a := exchange(conn, reader, method, text, time.Duration(deadline+3000)*time.Millisecond)
				mu.Lock()
				got[id] = seen{path, a, time.Now(), target.name}
				counts[path+" "+strconv.Itoa(a.status)+" "+fmt.Sprint(a.err != nil)]++
				mu.Unlock()
				if a.err != nil || a.closes || rand.IntN(10) == 0 {
					_ = conn.Close()
					conn = nil
					target = f.edges[rand.IntN(len(f.edges))]
				}
				time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
			}
		}()
	}
	if trouble {
		wait.Add(1)
		go func() {
			defer wait.Done()
			next := 100
			version := 1
			weights := 1
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rand.IntN(1500)) * time.Millisecond):
				}
				if os.Getenv("REVIEW_ONLY") == "term" {
					f.note("TERM all")
					for _, e := range f.edges {
						f.note("TERM %s", e.name)
						e.signal(syscall.SIGTERM)
					}
					for _, e := range f.edges {
						select {
						case <-e.exited:
						case <-time.After(9 * time.Second):
							f.note("KILL after grace %s", e.name)
							e.signal(syscall.SIGKILL)
							<-e.exited
						}
						_ = e.log.Close()
						f.start(e)
					}
					time.Sleep(4 * time.Second)
					continue
				}
				e := f.edges[rand.IntN(len(f.edges))]
				switch n := rand.IntN(10); n {
				case 0, 1:
					inMaintenance.Store(e.name, true)
					f.note("TERM %s", e.name)
					e.signal(syscall.SIGTERM)
					select {
					case <-e.exited:
					case <-time.After(8 * time.Second):
						f.note("KILL after grace %s", e.name)
						e.signal(syscall.SIGKILL)
						<-e.exited
					}
					_ = e.log.Close()
					f.start(e)
				case 2:
					f.note("KILL %s", e.name)
					e.signal(syscall.SIGKILL)
					<-e.exited
					_ = e.log.Close()
					time.Sleep(200 * time.Millisecond)
					f.start(e)
				case 3:
					f.note("STOP %s", e.name)
					e.signal(syscall.SIGSTOP)
					time.Sleep(time.Duration(rand.IntN(4000)) * time.Millisecond)
					e.signal(syscall.SIGCONT)
				case 4:
					f.note("HUP")
					e.signal(syscall.SIGHUP)
				case 5:
					version += 1 + rand.IntN(3)
					f.store.put("config", "main", desired(version, standardRoutes(), []string{key}))
				case 6:
					f.note("store silent")
					f.store.setSilent(true)
					time.Sleep(time.Duration(rand.IntN(3000)) * time.Millisecond)
					f.store.setSilent(false)
				case 7, 8:
					i := rand.IntN(len(f.engines))
					old := f.engines[i]
					f.note("crash %s", old.id)
					old.crash()
					f.store.remove("servers", old.id)
					fresh, err := startEngine(fmt.Sprintf("i-new%d", next), old.service, "127.0.0.1:0", old.zone, old.model)
					next++
					if err == nil {
						fresh.version = int64(weights)
						setup(fresh)
						mu.Lock()
						f.engines = append(f.engines, fresh)
						f.engines[i], f.engines[len(f.engines)-1] = fresh, old
						mu.Unlock()
						f.store.put("servers", fresh.id, fresh.entry("ready"))
					}
				}
			}
		}()
	}
	time.Sleep(time.Duration(seconds) * time.Second)
	close(stop)
	wait.Wait()
	time.Sleep(time.Second)
	runs := map[string][]run{}
	for _, e := range f.engines {
		for _, r := range e.taken() {
			runs[r.ID] = append(runs[r.ID], r)
		}
	}
	bad := 0
	report := func(format string, args ...any) {
		bad++
		f.note("BROKEN "+format, args...)
		fmt.Printf("BROKEN "+format+"\n", args...)
	}
	for id, list := range runs {
		if len(list) > 1 && (strings.HasPrefix(list[0].Path, "/unsafe") || strings.HasPrefix(list[0].Path, "/stream")) {
			report("TWICE %s %v", id, list)
		}
	}
	for id, s := range got {
		n := len(runs[id])
		unsafe := strings.HasPrefix(s.path, "/unsafe") || strings.HasPrefix(s.path, "/stream")
		switch {
		case s.a.err == nil && (s.a.status == 503 || s.a.status == 429 || s.a.status == 408 || s.a.status == 421) && n > 0 && unsafe:
			report("REFUSED %s %s %d ran %d %v", id, s.path, s.a.status, n, runs[id])
		case s.a.err == nil && s.a.status == 200 && !strings.HasPrefix(s.path, "/stream") && !strings.HasPrefix(s.path, "/resume") && !strings.HasPrefix(s.a.body, "answer to "+id):
			report("MIXED %s %q", id, s.a.body)
		case s.a.err == nil && s.a.status == 200 && (strings.HasPrefix(s.path, "/stream") || strings.HasPrefix(s.path, "/resume")):
			checkStream(report, id, s.a.body, runs[id])
		case s.a.err == nil && (s.a.status == 401 || s.a.status == 404 || s.a.status == 400):
			report("DENIED %s %s %d %q", id, s.path, s.a.status, s.a.body)
		case s.a.err != nil && s.a.status == 0:
			f.note("unanswered %s %s at %s: %v, ran %d, sent %v", id, s.path, s.edge, s.a.err, n, s.a.sent.Format("15:04:05.000"))
		}
	}
	for k, n := range counts {
		f.note("count %s %d", k, n)
	}
	fmt.Println(counts, "bad", bad)
	if bad > 0 {
		return 1
	}
	return 0
}

// checkStream checks that the pieces of a complete stream are whole and in order.
func checkStream(report func(string, ...any), id, body string, runs []run) {
	want := 1
	total := 0
	for _, event := range strings.Split(body, "\n\n") {
		if strings.TrimSpace(event) == "" {
			continue
		}
		var n, m, of int
		if _, err := fmt.Sscanf(event, "id: %d\ndata: piece %d of %d by", &n, &m, &of); err != nil || n != want {
			report("ORDER %s: event %q, want %d, runs %d", id, event, want, len(runs))
			return
		}
		want, total = n+1, of
	}
	if want-1 != total && len(runs) <= 1 {
		report("ORDER %s: ended after %d of %d", id, want-1, total)
	}
}
