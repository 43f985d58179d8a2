package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

func init() { cases["junk"] = junk }

var junkValues = []string{"null", "-1", "0", "1e999", "9223372036854775807", "-9223372036854775808", `"x"`, "[]", "{}", "true", `[null]`, `[[1,"+","s","p",1,"m"]]`, `[[1,"+","s","p",-5,"m"]]`, `[["s","p",9223372036854775807,"m"]]`, `[{"name":null}]`, `[{"name":"m1","version":-3}]`, `[{"name":"","version":1}]`, `"\ud800"`, "1.5"}

func pickJunk() string { return junkValues[rand.IntN(len(junkValues))] }

func junkObject(names ...string) string {
	var fields []string
	for _, name := range names {
		if rand.IntN(3) > 0 {
			fields = append(fields, fmt.Sprintf("%q:%s", name, pickJunk()))
		}
	}
	return "{" + strings.Join(fields, ",") + "}"
}

func junk(f *fleet, _ bool) int {
	for i := range 3 {
		e := f.addEngine(fmt.Sprintf("i-mod%d", i), "models", "m1")
		e.junk = func(conn net.Conn, path string) bool {
			if rand.IntN(3) == 0 {
				return false
			}
			body := junkObject("epoch", "next_token", "lost", "events", "held", "stage", "models", "busy", "seq", "born", "queued")
			if rand.IntN(6) == 0 {
				body = pickJunk()
			}
			_, _ = io.WriteString(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nRetry-After: %s\r\nServer-Limit: %s\r\nX-Hyssopdoor-Instance-Id: %s\r\nContent-Length: %d\r\n\r\n%s", strings.Trim(pickJunk(), `"`), strings.Trim(pickJunk(), `"`), e.id, len(body), body))
			return true
		}
	}
	f.addEngine("i-app0", "app", "")
	f.store.put("versions", "m1", map[string]any{"model": "m1", "version": 1})
	f.store.put("config", "main", desired(1, standardRoutes(), []string{key}))
	f.addEdges(3)
	for _, e := range f.edges {
		f.start(e)
	}
	if !f.awaitReady(20 * time.Second) {
		return 2
	}
	end := time.Now().Add(time.Duration(intEnv("REVIEW_SECONDS", 40)) * time.Second)
	for n := 0; time.Now().Before(end); n++ {
		f.store.raw("servers", fmt.Sprintf("x%d", rand.IntN(30)), junkObject("service", "address", "zone", "version", "slots", "state", "cold_left_ms", "seq", "born", "models", "stage"))
		f.store.raw("servers", fmt.Sprintf("y%d", rand.IntN(30)), fmt.Sprintf(`{"service":"models","address":"127.0.0.1:%d","zone":%s,"version":"v1","slots":%s,"state":"ready","models":%s,"born":%s,"seq":1}`, 1+rand.IntN(60000), `"zone-a"`, pickJunk(), pickJunk(), pickJunk()))
		f.store.raw("versions", fmt.Sprintf("m%d", 2+rand.IntN(5)), junkObject("model", "version"))
		f.store.raw("instances", fmt.Sprintf("z%d", rand.IntN(5)), junkObject("address", "domain", "capacity"))
		f.store.raw("instances", "assignment.models"+fmt.Sprint(rand.IntN(3)), junkObject("era", "routes", "current", "earlier", "leftMs", "exceptions"))
		if rand.IntN(10) == 0 {
			f.store.raw("leases", "weights", junkObject("holder", "writes"))
		}
		prompt := "X-Hyssopdoor-Model: m1\r\nX-Hyssopdoor-Token-Count: 700,49\r\nX-Hyssopdoor-Prompt-Prefix: aa:120,bb:80,cc:500\r\n"
		_ = once(f.edges[n%3].front, http.MethodPost, encode(newID(), http.MethodPost, "/resume/a", 3000, "x", prompt), time.Second)
		for _, e := range f.edges {
			select {
			case <-e.exited:
				fmt.Println("BROKEN process ended", e.name)
				return 1
			default:
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	for _, e := range f.edges {
		fmt.Println(e.name, e.isReady())
	}
	return 0
}
