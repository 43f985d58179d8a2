package main

import (
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

// bounds are those of a small deployment of the users' pages.
const bounds = `contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,quota,platform
fault_tolerance.machines=2
fault_tolerance.zones=1
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.stable_window_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.rollback_slack_ms=250
bounds.max_skew_ms=5000
bounds.revoke_strict=true
bounds.revoke_ms=5000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_extra=56
bounds.quota_window_s=8
bounds.quota_overshoot=0.1
bounds.quota_slack=110000
bounds.recover_s=12
bounds.transit_ms=120
bounds.retry_after_s=10
bounds.require_fence=false
bounds.lease_ms=3000
bounds.thaw_slack_ms=300
bounds.version_ms=6000
bounds.version_all_ms=8400
`

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
		f.writeSettings(e, base, seeds, true)
	}
}

func (f *fleet) writeSettings(e *edge, base int, seeds []string, bootstrap bool) {
	text := fmt.Sprintf("node_name=%s\nrole=edge\nmachine_class=edge\nserves=edge\nip=%s\nzone=%s\nregion=west\n", e.name, e.ip, e.zone)
	for _, zone := range zones {
		text += "zones." + zone + "=west\n"
	}
	text += fmt.Sprintf("listen.front=%s\nlisten.ready=%s\nlisten.control=%s:%d\nport_range=%d,%d\nseeds=%s\nbootstrap=%v\nloss_counted=false\n", e.front, e.ready, e.ip, base+18, base, base+15, strings.Join(seeds[:min(3, len(seeds))], ","), bootstrap)
	text += "limits.cpu_share=0.4\nlimits.cores=1\nlimits.memory_mb=134\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\nentry=vip\nheartbeat_ms=1200\n" + bounds
	text += "platform.address=" + f.store.address + "\nplatform.form=objects\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\nplatform.history_s=20\nplatform.value_bytes=1048576\nplatform.ttl_min_ms=1000\n"
	if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
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
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HYSSOPDOOR_NODE_FILE=" + e.settings}
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
	response, err := client.Get("http://" + e.ready + "/hyssopdoor/ready")
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

// route is a route of the desired state.
func route(name, kind, service string, timeout, target, attempts int, resumable bool) map[string]any {
	return map[string]any{"name": name, "host": "review.example", "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": timeout, "target_latency_ms": target, "priority": 1, "service": service, "max_attempts": attempts, "public": false, "sticky": kind == "streaming", "resumable": resumable, "gap_aim_ms": 400}
}

// desired is the first desired state, with a key for one team.
func desired(version int, routes []map[string]any, keys []string) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": "models", "health_path": "/health", "max_conns": 370, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 64, "kv_capacity_tokens": 94570, "kv_token_bytes": 163840, "link_mbps": 1100000.0, "moves": true, "backups": true, "stride": 6, "max_inflight": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []map[string]any{{"name": "m1"}}}},
			{"name": "app", "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "crew", "api_keys": keys, "priority": 1, "unit": "tokens", "uncached_tokens": 200, "isolated": false, "per_s": 1000000, "burst": 1000000}},
	}
}

func standardRoutes() []map[string]any {
	return []map[string]any{
		route("safe", "safe", "app", 2000, 300, 2, false),
		route("unsafe", "unsafe", "app", 2000, 300, 1, false),
		route("stream", "streaming", "models", 5000, 600, 1, false),
		route("resume", "streaming", "models", 12000, 400, 2, true),
	}
}
