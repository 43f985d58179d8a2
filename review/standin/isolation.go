package main

import (
	"fmt"
	"net/http"
	"time"
)

// configApply is the time within which a desired state must be in use, by the settings.
const configApply = 2 * time.Second

// runIsolation sends prompts with a common part for two tenants. In between, the operator makes one of them
// isolated; without the disruption, a desired state is written that changes nothing.
func runIsolation() int {
	st := startStore()
	state{Version: 1}.write(st)
	var engines []*engine
	for n := range 2 {
		engines = append(engines, startEngine(fmt.Sprintf("engine-%d", n+1), "split-a", st, pace{first: 30 * time.Millisecond, gap: 10 * time.Millisecond, events: 9}))
	}
	records := newService("records")
	records.startServer("records-1", "split-a", st, 60*time.Millisecond)
	edge := newInstance(1, "split-a", st)
	edge.writeSettings()
	edge.start()
	edge.awaitReady()

	number := 0
	send := func(tenant string) {
		number++
		c := openChannel(edge)
		if c == nil {
			unable("no channel")
		}
		defer c.close()
		header := http.Header{}
		header.Set(headerPrefix+"Model", "m0")
		header.Set(headerPrefix+"Token-Count", "3000,9")
		// The first part is common to all requests: the manual of a coast, say. The last one is the request's own.
		header.Set(headerPrefix+"Prompt-Prefix", fmt.Sprintf("5c1e07a2:2520,%08x:480", 0xe0000000+number))
		r := request{id: fmt.Sprintf("%s-%d", tenant, number), method: http.MethodPost, host: "notes.example", path: "/classify/1", key: "key-" + tenant, deadline: 5 * time.Second, header: header, body: []byte("a prompt")}
		note("client: %s is sent", r.id)
		note("client: %s gets %s", r.id, c.do(r))
	}
	for range 3 {
		send("coast")
		time.Sleep(300 * time.Millisecond)
	}
	isolated := state{Version: 2, CoastIsolated: trouble()}
	isolated.write(st)
	time.Sleep(configApply + time.Second)
	changed := time.Now()
	note("the desired state is in force since %s and a second", configApply)
	for range 5 {
		send("survey")
		send("coast")
		time.Sleep(300 * time.Millisecond)
	}

	shared := 0
	for _, e := range engines {
		e.mu.Lock()
		for _, u := range e.uses {
			if isolated.CoastIsolated && u.at.After(changed) && u.tenant != u.maker {
				shared++
				note("broken: %s of tenant %s used part %s at %s, which %s of tenant %s made; coast is isolated", u.id, u.tenant, u.part, u.engine, u.madeByRequest, u.maker)
			}
		}
		e.mu.Unlock()
	}
	summary := fmt.Sprintf("requests that used KV cache of another tenant while one of the two was isolated: %d", shared)
	note("%s", summary)
	fmt.Println(summary)
	if shared > 0 {
		return broken
	}
	return held
}
