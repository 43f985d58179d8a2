package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// withdrawalBound is the time within which a withdrawn key stops working, by the settings.
	withdrawalBound = 5 * time.Second
	// storeAway is the longest time for which the site's store turns machines away.
	storeAway = 9 * time.Second
)

// runPublicKey withdraws a tenant's key while the store turns the instance away, and sends requests with that key
// on a public route after the bound. Without the disruption, the store answers all the while.
func runPublicKey() int {
	st := startStore()
	state{Version: 1, CoastIsolated: true}.write(st)
	e := startEngine("engine-1", "split-a", st, pace{first: 30 * time.Millisecond, gap: 10 * time.Millisecond, events: 9})
	records := newService("records")
	records.startServer("records-1", "split-a", st, 60*time.Millisecond)
	edge := newInstance(1, "split-a", st)
	edge.writeSettings()
	edge.start()
	edge.awaitReady()

	number := 0
	send := func(route, key string) string {
		number++
		c := openChannel(edge)
		if c == nil {
			unable("no channel")
		}
		defer c.close()
		header := http.Header{}
		header.Set(headerPrefix+"Model", "m0")
		header.Set(headerPrefix+"Token-Count", "3000,9")
		header.Set(headerPrefix+"Prompt-Prefix", fmt.Sprintf("5c1e07a2:2520,%08x:480", 0xe0000000+number))
		host := map[string]string{"open": "open.example", "classify": "notes.example"}[route]
		r := request{id: fmt.Sprintf("%s-%d", route, number), method: http.MethodPost, host: host, path: "/" + route + "/1", key: key, deadline: 5 * time.Second, header: header, body: []byte("a prompt")}
		note("client: %s is sent with %s", r.id, key)
		note("client: %s gets %s", r.id, c.do(r))
		return r.id
	}
	send("classify", "key-coast")
	send("open", "key-coast")
	away := time.Now()
	if trouble() {
		st.turnAway(true)
	}
	time.Sleep(200 * time.Millisecond)
	state{Version: 2, CoastIsolated: true, CoastKeyWithdrawn: true}.write(st)
	acknowledged := time.Now()
	time.Sleep(withdrawalBound + time.Second)
	var late []string
	for time.Since(away) < storeAway-time.Second {
		late = append(late, send("open", "key-coast"))
		send("classify", "key-coast")
		time.Sleep(400 * time.Millisecond)
	}
	st.turnAway(false)

	wrong := 0
	for _, id := range late {
		for _, r := range e.runsOf(id) {
			if r.tenant != "" {
				wrong++
				note("broken: %s ran as a request of tenant %q, under salt %q, %.1f s after the ack of the state that withdrew its key", id, r.tenant, e.salts[id], r.at.Sub(acknowledged).Seconds())
			}
		}
	}
	summary := fmt.Sprintf("requests that ran for a tenant although no tenant held their key for longer than %s: %d of %d", withdrawalBound, wrong, len(late))
	note("%s", summary)
	fmt.Println(summary)
	if wrong > 0 {
		return broken
	}
	return held
}
