package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// The traffic of the case. The users' sheet has 29.2 notes a second, and a burst is 1.7 times as much, for 3 s.
// Without the burst, the instance gets one of eight parts of the notes.
const (
	notesPerSecond = 29.2
	burstFactor    = 1.7
	burstTime      = 3 * time.Second
	usualShare     = 1.0 / 8
	noteWait       = 12 * time.Second
	longBodyBytes  = 4_000_000
	chunkBytes     = 64 << 10
	filingWork     = 60 * time.Millisecond
	filingWait     = 4 * time.Second
	shortChannels  = 12
	// keptChannels are the channels that the clients of the notes keep open. Each has carried a lookup before, at
	// the sheet's rate of lookups.
	keptChannels = 40
	lookupGap    = time.Second * 10 / 72
)

// runMemory sends streaming requests with long bodies in chunks, on kept channels, to one instance: as many as
// a burst brings, or as many as usual without the disruption. The bodies are within the limit that the desired
// state names. Other clients send short filings on kept channels meanwhile.
func runMemory() int {
	st := startStore()
	state{Version: 1}.write(st)
	records := newService("records")
	var engines []*engine
	for n := range 3 {
		records.startServer(fmt.Sprintf("records-%d", n+1), "split-a", st, filingWork)
		engines = append(engines, startEngine(fmt.Sprintf("engine-%d", n+1), "split-a", st, pace{first: 350 * time.Millisecond, gap: 15 * time.Millisecond, events: 49}))
	}
	edge := newInstance(1, "split-a", st)
	edge.writeSettings()
	edge.start()
	peakMB, killed := edge.limitMemory()
	edge.awaitReady()

	var mu sync.Mutex
	lost, cut, answers := 0, 0, map[string]int{}
	send := func(c *channel, r request) bool {
		got := c.do(r)
		runs := len(records.runsOf(r.id))
		for _, e := range engines {
			runs += len(e.runsOf(r.id))
		}
		note("client: %s (%d bytes) gets %s; runs: %d", r.id, len(r.body), got, runs)
		mu.Lock()
		defer mu.Unlock()
		answers[fmt.Sprint(got.status)]++
		switch {
		case runs == 0 || got.whole || isTimeout(got.err):
		case got.status == 0:
			lost++
		default:
			cut++
		}
		return got.whole
	}

	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range shortChannels {
		clients.Go(func() {
			time.Sleep(time.Duration(n) * time.Second / shortChannels)
			kept := openChannel(edge)
			defer kept.close()
			for round := 0; kept != nil; round++ {
				r := request{id: fmt.Sprintf("filing-%d-%d", n, round), method: http.MethodPost, host: "survey.example", path: "/filing/1", key: "key-survey", deadline: filingWait, body: make([]byte, 600)}
				if !send(kept, r) {
					return
				}
				select {
				case <-stop:
					return
				case <-time.After(time.Second - filingWork):
				}
			}
		})
	}
	kept := make(chan *channel, 1000)
	for n := range keptChannels {
		c := openChannel(edge)
		if c == nil {
			unable("no channel")
		}
		send(c, request{id: fmt.Sprintf("lookup-%d", n), method: http.MethodGet, host: "survey.example", path: "/lookup/1", key: "key-survey", deadline: filingWait})
		kept <- c
		time.Sleep(lookupGap - filingWork)
	}
	note("before the long bodies: %.1f MB", peakMB())
	rate := notesPerSecond * usualShare
	if trouble() {
		rate = notesPerSecond * burstFactor
	}
	body := make([]byte, longBodyBytes)
	gap := time.Duration(float64(time.Second) / rate)
	var burst sync.WaitGroup
	for n := 0; time.Duration(n)*gap < burstTime && !edge.hasEnded(); n++ {
		burst.Go(func() {
			var c *channel
			select {
			case c = <-kept:
			default:
				c = openChannel(edge)
			}
			if c == nil {
				return
			}
			header := http.Header{}
			header.Set(headerPrefix+"Model", "m0")
			header.Set(headerPrefix+"Token-Count", "826,49")
			header.Set(headerPrefix+"Prompt-Prefix", fmt.Sprintf("aa01:119,bb%02x:79,cc%04x:628", n%16, n))
			r := request{id: fmt.Sprintf("note-%d", n), method: http.MethodPost, host: "notes.example", path: "/notes/1", key: "key-survey", deadline: noteWait, header: header, body: body, chunkBytes: chunkBytes}
			if os.Getenv("LENGTH") == "1" {
				r.chunkBytes = 0
			}
			if send(c, r) {
				kept <- c
			}
		})
		time.Sleep(gap)
	}
	burst.Wait()
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()

	summary := fmt.Sprintf("peak memory %.1f of %d MB, killed %t, answers by status %v; run by a server, and the channel was closed without an answer: %d, in the middle of the answer: %d", peakMB(), memoryMB, killed(), answers, lost, cut)
	note("%s", summary)
	fmt.Println(summary)
	if lost > 3 {
		return broken
	}
	return held
}

func isTimeout(err error) bool {
	timeout, ok := err.(interface{ Timeout() bool })
	return ok && timeout.Timeout()
}
