package main

import (
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"sync"
	"syscall"
	"time"
)

var eventPattern = regexp.MustCompile(`id: (\d+)\ndata: word \d+ as software (\S+) writes it\n\n`)

// runSplit sends streams on a route that leads to two services, whose software differs. One of three instances is
// killed; the clients of the streams that broke take them up at the others, after the last event that they have.
func runSplit() int { return runTakenUp("split", nil) }

func runMoved() int {
	return runTakenUp("moved", func(st *store) { state{Version: 2, RouteMoved: true}.write(st) })
}

func runTakenUp(route string, change func(*store)) int {
	st := startStore()
	state{Version: 1}.write(st)
	usual := pace{first: 40 * time.Millisecond, gap: 40 * time.Millisecond, events: 49}
	for n := range 2 {
		startEngineOf("engines", "v1", fmt.Sprintf("engine-%d", n+1), "split-a", st, usual)
		startEngineOf("engines-next", "v2", fmt.Sprintf("next-%d", n+1), "split-a", st, usual)
	}
	records := newService("records")
	records.startServer("records-1", "split-a", st, 60*time.Millisecond)
	var edges []*instance
	for n := range 3 {
		edge := newInstance(n+1, "split-a", st)
		edge.writeSettings()
		edge.start()
		edges = append(edges, edge)
	}
	for _, edge := range edges {
		edge.awaitReady()
	}
	time.Sleep(2 * time.Second)

	var mu sync.Mutex
	whole, resumed, joined := 0, 0, 0
	stream := func(n int) {
		last, versions, text := 0, map[string]bool{}, ""
		for try := range 4 {
			edge := edges[(n+try)%len(edges)]
			c := openChannel(edge)
			if c == nil {
				continue
			}
			header := http.Header{}
			header.Set(headerPrefix+"Model", "m0")
			header.Set(headerPrefix+"Token-Count", "826,49")
			header.Set(headerPrefix+"Prompt-Prefix", fmt.Sprintf("%02x:119,bb%02x:79,cc%04x:628", n%8, n%16, n))
			if last > 0 {
				header.Set("Last-Event-Id", strconv.Itoa(last))
			}
			r := request{id: fmt.Sprintf("note-%d-%d", n, try), method: http.MethodPost, host: route + ".example", path: "/" + route + "/1", key: "key-survey", deadline: 12 * time.Second, header: header, body: fmt.Appendf(nil, "prompt %d", n)}
			got := c.do(r)
			c.close()
			note("client: %s at %s after event %d gets %s", r.id, edge.name, last, got)
			if got.status != http.StatusOK && got.status != 0 {
				time.Sleep(300 * time.Millisecond)
				continue
			}
			mu.Lock()
			if last > 0 && got.status == http.StatusOK {
				resumed++
			}
			mu.Unlock()
			for _, match := range eventPattern.FindAllStringSubmatch(got.body, -1) {
				last, _ = strconv.Atoi(match[1])
				versions[match[2]] = true
				text += match[0]
			}
			if got.whole {
				break
			}
		}
		mu.Lock()
		defer mu.Unlock()
		if last == usual.events {
			whole++
		}
		if len(versions) > 1 {
			joined++
			note("broken: the text of note-%d is joined from two versions: %q", n, text)
		}
	}
	var clients sync.WaitGroup
	begun := time.Now()
	if change != nil {
		time.AfterFunc(2800*time.Millisecond, func() { change(st) })
	}
	for n := 0; time.Since(begun) < 5*time.Second; n++ {
		clients.Go(func() { stream(n) })
		time.Sleep(time.Second * 10 / 292)
		if trouble() && time.Since(begun) > 3500*time.Millisecond && !edges[0].hasEnded() {
			note("%s is killed", edges[0].name)
			edges[0].signal(syscall.SIGKILL)
			<-edges[0].ended
		}
	}
	clients.Wait()

	summary := fmt.Sprintf("streams that were joined from two software versions: %d; taken up again: %d; whole: %d", joined, resumed, whole)
	note("%s", summary)
	fmt.Println(summary)
	if joined > 0 {
		return broken
	}
	return held
}
