package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// edge is one process of the system.
type edge struct {
	name, ip, zone, front, ready string
	settings                     string
	log                          *os.File
	cmd                          *exec.Cmd
	exited                       chan struct{}
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	dir     string
	store   *store
	engines []*engine
	edges   []*edge

	mu     sync.Mutex
	record *os.File
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

func newFleet(dir string) (*fleet, error) {
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	f := &fleet{record: record}
	if f.dir, err = os.MkdirTemp("", "review-two-"); err != nil {
		return nil, err
	}
	f.store, err = startStore("127.0.0.1:0")
	return f, err
}

// note writes a line to the record.
func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.record, "%s %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

// freePorts returns the first of count consecutive ports that are free at the address.
func freePorts(ip string, count int) int {
	for base := 21000; base < 30000; base += 20 {
		free := true
		for port := base; port < base+count && free; port++ {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				continue
			}
			_ = listener.Close()
		}
		if free {
			return base
		}
	}
	panic("no free ports at " + ip)
}

// addEngine starts an engine and lists it in the store.
func (f *fleet) addEngine(id, service, model string) *engine {
	e, err := startEngine(id, service, "127.0.0.1:0", zones[len(f.engines)%len(zones)], model)
	if err != nil {
		panic(err)
	}
	f.engines = append(f.engines, e)
	f.store.put("servers", id, e.entry("ready"))
	return e
}

// addEdges prepares the settings of the system's processes.
func (f *fleet) addEdges(count int) {
	// Runs beside each other have addresses of their own.
	address := func(i int) string { return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%200, os.Getpid()/200%250, i+1) }
	base := freePorts(address(0), 19)
	seeds := []string{}
	for i := range count {
		seeds = append(seeds, fmt.Sprintf("%s:%d", address(i), base+18))
	}
	for i := range count {
		ip, zone := address(i), zones[i%len(zones)]
		e := &edge{name: fmt.Sprintf("edge-%s-%d", zone, i), ip: ip, zone: zone, front: fmt.Sprintf("%s:%d", ip, base+16), ready: fmt.Sprintf("%s:%d", ip, base+17)}
		e.settings = filepath.Join(f.dir, e.name+".conf")
		f.edges = append(f.edges, e)
		f.writeSettings(e, base, seeds)
	}
}

// writeSettings writes the settings file of a process, in the form of settings.conf.
func (f *fleet) writeSettings(e *edge, base int, seeds []string) {
	values := strings.NewReplacer("NAME", e.name, "ZONE", e.zone, "FRONT", e.front, "READY", e.ready, "SEEDS", strings.Join(seeds[:min(3, len(seeds))], ","),
		"CONTROL", fmt.Sprintf("%s:%d", e.ip, base+18), "PORTS", fmt.Sprintf("%d,%d", base, base+15), "STORE", f.store.address, "IP", e.ip)
	if err := os.WriteFile(e.settings, []byte(values.Replace(settingsForm)), 0o600); err != nil {
		panic(err)
	}
}

// endFirstStart changes the settings as the platform does once the whole system has started.
func (f *fleet) endFirstStart() {
	for _, e := range f.edges {
		text, err := os.ReadFile(e.settings)
		if err != nil {
			panic(err)
		}
		if err := os.WriteFile(e.settings, []byte(strings.Replace(string(text), "bootstrap=true", "bootstrap=false", 1)), 0o600); err != nil {
			panic(err)
		}
	}
}

// start starts a process of the system with the command of the deploy file.
func (f *fleet) start(e *edge) {
	program := os.Getenv("REVIEW_EDGE")
	if program == "" {
		program = "target/hyssopdoor-edge"
	}
	log, err := os.OpenFile(filepath.Join(f.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	cmd := exec.Command(program, "serve")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), wire.SettingsVariable + "=" + e.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		panic(err)
	}
	exited := make(chan struct{})
	e.log, e.cmd, e.exited = log, cmd, exited
	go func() {
		state, _ := cmd.Process.Wait()
		f.note("process %s pid %d ended: %v", e.name, cmd.Process.Pid, state)
		close(exited)
	}()
}

func (e *edge) signal(sig os.Signal) { _ = e.cmd.Process.Signal(sig) }

// isReady asks the readiness address as the platform does.
func (e *edge) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + e.ready + wire.Ready)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all processes are ready.
func (f *fleet) awaitReady(limit time.Duration) bool {
	until := time.Now().Add(limit)
	for _, e := range f.edges {
		for !e.isReady() {
			if time.Now().After(until) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// close ends all processes that the fleet has started.
func (f *fleet) close() {
	for _, e := range f.edges {
		if e.cmd != nil {
			_ = e.cmd.Process.Kill()
			<-e.exited
			_ = e.log.Close()
		}
	}
	for _, e := range f.engines {
		e.crash()
	}
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
	_ = f.record.Close()
}

// desired returns the desired state of state.json, whose route of streams leads to one service or is split between two.
func desired(split bool) json.RawMessage {
	name := "one"
	if split {
		name = "split"
	}
	var states map[string]json.RawMessage
	if err := json.Unmarshal(statesForm, &states); err != nil {
		panic(err)
	}
	return states[name]
}
