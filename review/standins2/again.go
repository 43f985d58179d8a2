package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["again"] = again }

// again has two clients for each of some prompts, which send the same request on a split route. The first one leaves after
// some events. Then half of the processes are killed, and the clients of their streams take them up elsewhere. No stream may be
// joined from two services.
func again(f *fleet, trouble bool) int {
	for i := range 6 {
		service := []string{"models", "models-b"}[i%2]
		e := f.addEngine(fmt.Sprintf("i-mod%d", i), service, "m1")
		e.software = []string{"v1", "v2"}[i%2]
		e.events = func(*http.Request) (int, time.Duration) { return 100, 100 * time.Millisecond }
		f.store.put("servers", e.id, e.entry("ready"))
	}
	f.addEngine("i-app0", "app", "")
	f.store.put("versions", "m1", map[string]any{"model": "m1", "version": 1})
	f.store.put("config", "main", desired(true))
	f.addEdges(6)
	for _, e := range f.edges {
		f.start(e)
	}
	if !f.awaitReady(20 * time.Second) {
		return 2
	}
	f.endFirstStart()
	time.Sleep(4 * time.Second)
	// Two requests for each prompt: 28.9 a second in all.
	const prompts, spread = 130, 9 * time.Second
	killed, sound := f.edges[:3], f.edges[3:] // One of each failure domain.
	var joined, takenUp, refused, whole atomic.Int64
	var clients sync.WaitGroup
	begin := make(chan struct{})
	for s := range prompts {
		clients.Go(func() {
			session := newID()
			body := "prompt of session " + session
			parts := fmt.Sprintf("%08x:120,%08x:80,%s:428", s%8, s%100, session[:8])
			<-begin
			time.Sleep(spread * time.Duration(s) / prompts)
			// The first client leaves after some events.
			first := f.readStream(f.edges[rand.IntN(len(f.edges))], body, parts, 0, 3)
			time.Sleep(time.Duration(100+rand.IntN(200)) * time.Millisecond)
			// The second one asks the same, and reads to the end.
			again := f.readStream(f.edges[s%len(f.edges)], body, parts, 0, 0)
			if again.ended {
				whole.Add(1)
				return
			}
			if again.last == 0 {
				return
			}
			time.Sleep(time.Duration(50+rand.IntN(150)) * time.Millisecond)
			rest := f.readStream(sound[rand.IntN(len(sound))], body, parts, again.last, 0)
			switch {
			case rest.last == 0:
				refused.Add(1)
			case rest.software != again.software:
				takenUp.Add(1)
				joined.Add(1)
				f.note("BROKEN ORDER: prompt %s: one client left a stream of %s; another one began one of %s (request %s, pieces 1 to %d), took that up (request %s) and got piece %d by %s", session, first.software, again.software, again.id, again.last, rest.id, rest.first, rest.software)
			default:
				takenUp.Add(1)
			}
		})
	}
	close(begin)
	time.Sleep(10200 * time.Millisecond)
	if trouble {
		for _, e := range killed {
			f.note("process %s is killed", e.name)
			e.signal(syscall.SIGKILL)
		}
		time.Sleep(2 * time.Second)
		for _, e := range killed {
			<-e.exited
			_ = e.log.Close()
			f.start(e)
		}
	}
	clients.Wait()
	f.noteRuns()
	f.note("prompts %d: whole at once %d, taken up %d, of them joined from two services %d, refused %d", prompts, whole.Load(), takenUp.Load(), joined.Load(), refused.Load())
	if whole.Load() == 0 {
		return 2
	}
	return int(min(1, joined.Load()))
}

// part is what a caller has received of a stream.
type part struct {
	id          string
	first, last int
	software    string
	ended       bool
}

// readStream sends a request and reads events: up to a number of them, or all if it is 0. It goes on after the event
// with the identifier after, unless that is 0.
func (f *fleet) readStream(e *edge, body, parts string, after, most int) part {
	p, more := part{id: newID()}, ""
	if after > 0 {
		more = "Last-Event-Id: " + strconv.Itoa(after) + "\r\n"
	}
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", e.front)
	if err != nil {
		return p
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(12 * time.Second))
	f.note("request %s sent to %s, after event %d", p.id, e.name, after)
	if _, err := io.WriteString(conn, promptRequest(p.id, parts, 100, more, body)); err != nil {
		return p
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || response.StatusCode != http.StatusOK {
		status := 0
		if err == nil {
			status = response.StatusCode
		}
		f.note("request %s: status %d, %v", p.id, status, err)
		return p
	}
	reader := bufio.NewReader(response.Body)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			p.ended = err == io.EOF
			f.note("request %s: events %d to %d by %s, ended %v", p.id, p.first, p.last, p.software, p.ended)
			return p
		}
		if number, found := strings.CutPrefix(line, "id: "); found {
			n, _ := strconv.Atoi(strings.TrimSpace(number))
			data, err := reader.ReadString('\n')
			if err != nil {
				continue
			}
			_, software, _ := strings.Cut(strings.TrimSpace(data), " by ")
			if p.first == 0 {
				p.first, p.software = n, software
			}
			p.last = n
			if most > 0 && n >= most {
				f.note("request %s: events %d to %d by %s, then the caller left", p.id, p.first, p.last, p.software)
				return p
			}
		}
	}
}
