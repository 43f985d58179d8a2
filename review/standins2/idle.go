package main

import (
	"fmt"
	"os"
	"strconv"
	"time"
)

func init() { cases["idle"] = idle }

func idle(f *fleet, trouble bool) int {
	for i := range 2 {
		f.addEngine(fmt.Sprintf("i-app%d", i), "app", "")
		f.addEngine(fmt.Sprintf("i-mod%d", i), "models", "m1")
	}
	if pause, err := time.ParseDuration(os.Getenv("REVIEW_READ_PAUSE")); err == nil {
		for _, e := range f.engines {
			e.readPause = pause
		}
	}
	f.store.put("versions", "m1", map[string]any{"model": "m1", "version": 1})
	f.store.put("config", "main", desired(1, standardRoutes(), []string{key}))
	f.addEdges(2)
	for _, e := range f.edges {
		f.start(e)
	}
	if !f.awaitReady(20 * time.Second) {
		return 2
	}
	for _, e := range f.edges {
		fmt.Println(e.front, e.ready, e.cmd.Process.Pid, f.store.address)
	}
	n, _ := strconv.Atoi(os.Getenv("REVIEW_SECONDS"))
	time.Sleep(time.Duration(n) * time.Second)
	return 0
}
