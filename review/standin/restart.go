package main

import (
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"time"
)

const (
	// engineDown is the time for which the site's engines are down after a crash.
	engineDown = time.Second
	// heartbeat is the time between two writes of an engine's entry, by the settings.
	heartbeat = 1200 * time.Millisecond
)

var softwarePattern = regexp.MustCompile(`as software (\S+) writes`)

// runRestart lets two engines crash one after the other and come back under their identifiers, as the engines of
// a service that is moved to newer software. Without the disruption, they come back with the software that they had.
func runRestart() int {
	st := startStore()
	state{Version: 1}.write(st)
	var engines []*engine
	for n := range 2 {
		engines = append(engines, startEngine(fmt.Sprintf("engine-%d", n+1), "split-a", st, pace{first: 40 * time.Millisecond, gap: 40 * time.Millisecond, events: 49}))
	}
	records := newService("records")
	records.startServer("records-1", "split-a", st, 60*time.Millisecond)
	edge := newInstance(1, "split-a", st)
	edge.writeSettings()
	edge.start()
	edge.awaitReady()

	newer := "v1"
	if trouble() {
		newer = "v2"
	}
	var mu sync.Mutex
	joined, whole := 0, 0
	stop := time.Now().Add(7 * time.Second)
	var clients sync.WaitGroup
	for n := range 20 {
		clients.Go(func() {
			time.Sleep(time.Duration(n) * 70 * time.Millisecond)
			for round := 0; time.Now().Before(stop); round++ {
				c := openChannel(edge)
				if c == nil {
					return
				}
				header := http.Header{}
				header.Set(headerPrefix+"Model", "m0")
				header.Set(headerPrefix+"Token-Count", "826,49")
				header.Set(headerPrefix+"Prompt-Prefix", fmt.Sprintf("%02x:119,bb%02x:79,cc%04x:628", n%8, n, n*1000+round))
				r := request{id: fmt.Sprintf("note-%d-%d", n, round), method: http.MethodPost, host: "notes.example", path: "/notes/1", key: "key-survey", deadline: 12 * time.Second, header: header, body: []byte("a prompt")}
				got := c.do(r)
				c.close()
				versions := map[string]bool{}
				for _, match := range softwarePattern.FindAllStringSubmatch(got.body, -1) {
					versions[match[1]] = true
				}
				note("client: %s gets %s, %d pieces, written by %d versions", r.id, got, strings.Count(got.body, "data: "), len(versions))
				mu.Lock()
				if got.whole && got.status == http.StatusOK {
					whole++
				}
				if len(versions) > 1 {
					joined++
					note("broken: the text of %s is joined from two versions: %q", r.id, got.body)
				}
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	crash := func(e *engine) {
		note("%s crashes", e.id)
		e.crash()
		time.Sleep(engineDown)
		e.restart(newer, heartbeat-100*time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	crash(engines[1])
	time.Sleep(700 * time.Millisecond)
	crash(engines[0])
	clients.Wait()

	summary := fmt.Sprintf("streams that were joined from two software versions: %d; whole streams: %d", joined, whole)
	note("%s", summary)
	fmt.Println(summary)
	if joined > 0 {
		return broken
	}
	return held
}
