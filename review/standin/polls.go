package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// pollWork is the time of a poll or a lookup at its server; the sheet's are 60 ms, and 450 ms at most.
	pollWork = 250 * time.Millisecond
	// crashPause is the time from one crash to the next, as on the site's day scale-2.
	crashPause = 3500 * time.Millisecond
	// steadyAfter is the time after which machines are in touch again (stable_window_ms), and judged that for
	// which the requests are counted.
	steadyAfter = 3 * time.Second
	judgedFor   = 8 * time.Second
)

// runPolls adds a route and polls one page of it. Meanwhile the three servers of the service crash one after the
// other, none of them because of a poll, and are back a second later. Lookups on a route that was there from the
// beginning go on all the while.
func runPolls() int {
	st := startStore()
	state{Version: 1}.write(st)
	records := newService("records")
	var servers []*server
	for n := range 3 {
		servers = append(servers, records.startServer(fmt.Sprintf("records-%d", n+1), "split-a", st, pollWork))
	}
	edge := newInstance(1, "split-a", st)
	edge.writeSettings()
	edge.start()
	edge.awaitReady()
	state{Version: 2, WithBoard: true}.write(st)
	time.Sleep(configApply)

	type counts struct{ asked, served int }
	var mu sync.Mutex
	var judgedFrom time.Time
	judged := map[string]counts{}
	var clients sync.WaitGroup
	stop := make(chan struct{})
	send := func(kind, path string, number int) {
		defer clients.Done()
		c := openChannel(edge)
		if c == nil {
			return
		}
		defer c.close()
		sent := time.Now()
		got := c.do(request{id: fmt.Sprintf("%s-%d", kind, number), method: http.MethodGet, host: "survey.example", path: path, key: "key-survey", deadline: filingWait})
		note("client: %s-%d gets %s", kind, number, got)
		mu.Lock()
		defer mu.Unlock()
		if !judgedFrom.IsZero() && sent.After(judgedFrom) {
			count := judged[kind]
			count.asked++
			if got.status == http.StatusOK && got.whole {
				count.served++
			}
			judged[kind] = count
		}
	}
	go func() {
		for number := 0; ; number++ {
			select {
			case <-stop:
				return
			case <-time.After(lookupGap):
			}
			clients.Add(2)
			go send("poll", "/board/1", number)
			go send("lookup", fmt.Sprintf("/lookup/%d", number), number)
		}
	}()
	for _, crashing := range servers {
		time.Sleep(crashPause - engineDown)
		if !trouble() {
			time.Sleep(engineDown)
			continue
		}
		for limit := time.Now().Add(6 * time.Second); !crashing.runsAny("board") && time.Now().Before(limit); {
			time.Sleep(2 * time.Millisecond)
		}
		crashing.crash()
		time.Sleep(engineDown)
		crashing.restart()
	}
	time.Sleep(steadyAfter)
	mu.Lock()
	judgedFrom = time.Now()
	mu.Unlock()
	note("steady state for %s; the requests count from now on", steadyAfter)
	time.Sleep(judgedFor)
	close(stop)
	time.Sleep(lookupGap)
	clients.Wait()

	added, first := judged["poll"], judged["lookup"]
	summary := fmt.Sprintf("in steady state, served on the route that was added later: %d of %d; on the first route: %d of %d", added.served, added.asked, first.served, first.asked)
	note("%s", summary)
	fmt.Println(summary)
	if added.asked >= 20 && float64(added.served)/float64(added.asked) < float64(first.served)/float64(max(1, first.asked))/4 {
		return broken
	}
	return held
}
