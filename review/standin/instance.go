package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"text/template"
	"time"
)

//go:embed settings.conf
var settingsText string

//go:embed state.json
var stateText string

// memoryMB is the memory that the platform gives a process.
const memoryMB = 134

// instance is one process of the project.
type instance struct {
	name     string
	ip       string
	front    string
	ready    string
	file     string
	settings map[string]any
	log      *os.File

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

var running struct {
	sync.Mutex
	instances []*instance
	folder    string
}

// freePorts returns the first of count consecutive free ports of the address.
func freePorts(ip string, count int) int {
	for first := 20000 + os.Getpid()%20000; first < 60000; first += count {
		free := true
		for port := first; port < first+count && free; port++ {
			listener, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
			if err != nil {
				free = false
				continue
			}
			_ = listener.Close()
		}
		if free {
			return first
		}
	}
	unable("no free ports")
	return 0
}

// newInstance writes the settings of an instance at a loopback address of its own.
func newInstance(number int, zone string, s *store) *instance {
	running.Lock()
	defer running.Unlock()
	if running.folder == "" {
		folder, err := os.MkdirTemp("", "review")
		if err != nil {
			unable("%v", err)
		}
		running.folder = folder
	}
	i := &instance{name: fmt.Sprintf("edge-%s-%d", zone, number), ip: fmt.Sprintf("127.0.0.%d", 10+number)}
	first := freePorts(i.ip, 6)
	i.front, i.ready = net.JoinHostPort(i.ip, strconv.Itoa(first+4)), net.JoinHostPort(i.ip, strconv.Itoa(first+5))
	i.settings = map[string]any{"Name": i.name, "IP": i.ip, "Zone": zone, "Front": first + 4, "Ready": first + 5, "First": first, "Last": first + 3, "Store": s.address, "Bootstrap": true}
	i.file = filepath.Join(running.folder, i.name+".conf")
	log, err := os.Create(filepath.Join(running.folder, i.name+".log"))
	if err != nil {
		unable("%v", err)
	}
	i.log = log
	running.instances = append(running.instances, i)
	return i
}

// writeSettings writes the settings file, with further lines.
func (i *instance) writeSettings(lines ...string) {
	var text strings.Builder
	if err := template.Must(template.New("settings").Parse(settingsText)).Execute(&text, i.settings); err != nil {
		unable("%v", err)
	}
	for _, line := range lines {
		text.WriteString(line + "\n")
	}
	if err := os.WriteFile(i.file, []byte(text.String()), 0o600); err != nil {
		unable("%v", err)
	}
}

// start starts the process with the command of the deploy file.
func (i *instance) start() {
	deploy, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		unable("%v", err)
	}
	var command []string
	for line := range strings.Lines(string(deploy)) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			command = strings.Fields(strings.Trim(value, `"`))
		}
	}
	if len(command) == 0 {
		unable("the deploy file names no command")
	}
	process := exec.Command(command[0], command[1:]...)
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", settingsName + "=" + i.file}
	process.Stdout, process.Stderr = i.log, i.log
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		unable("start %s: %v", i.name, err)
	}
	ended := make(chan struct{})
	i.mu.Lock()
	i.process, i.ended = process, ended
	i.mu.Unlock()
	note("%s is started", i.name)
	go func() {
		_ = process.Wait()
		note("%s has ended: %s", i.name, process.ProcessState)
		close(ended)
	}()
}

// signal sends a signal to the process.
func (i *instance) signal(signal syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.process != nil {
		_ = i.process.Process.Signal(signal)
	}
}

// pid returns the identifier of the process.
func (i *instance) pid() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.process.Process.Pid
}

// hasEnded reports whether the process has ended.
func (i *instance) hasEnded() bool {
	i.mu.Lock()
	ended := i.ended
	i.mu.Unlock()
	select {
	case <-ended:
		return true
	default:
		return false
	}
}

// isReady asks the instance whether it takes clients.
func (i *instance) isReady() bool {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + i.ready + apiRoot + "/ready")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// awaitReady waits until the instance takes clients.
func (i *instance) awaitReady() {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if i.isReady() {
			note("%s is ready", i.name)
			return
		}
	}
	unable("%s is not ready in time", i.name)
}

// anonymousKB returns the memory of the process that belongs to no file, in KB; 0 if it is gone.
func (i *instance) anonymousKB() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", i.pid()))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			size, _ := strconv.Atoi(strings.Fields(value)[0])
			return size
		}
	}
	return 0
}

// limitMemory kills the process when it exceeds its memory, as the platform does. The result is the
// largest size seen, in MB.
func (i *instance) limitMemory() (peakMB func() float64, killed func() bool) {
	var mu sync.Mutex
	peak, isKilled := 0, false
	go func() {
		for !i.hasEnded() {
			size := i.anonymousKB()
			mu.Lock()
			peak = max(peak, size)
			if size > memoryMB<<10 && !isKilled {
				isKilled = true
				note("%s uses %.1f MB of its %d MB: the platform kills it", i.name, float64(size)/1024, memoryMB)
				i.signal(syscall.SIGKILL)
			}
			mu.Unlock()
			time.Sleep(2 * time.Millisecond)
		}
	}()
	return func() float64 { mu.Lock(); defer mu.Unlock(); return float64(peak) / 1024 },
		func() bool { mu.Lock(); defer mu.Unlock(); return isKilled }
}

// stopAll ends all processes and removes their files.
func stopAll() {
	running.Lock()
	defer running.Unlock()
	for _, i := range running.instances {
		i.signal(syscall.SIGCONT)
		i.signal(syscall.SIGKILL)
		if i.ended != nil {
			<-i.ended
		}
	}
	if kept := os.Getenv("KEEP_LOGS"); kept != "" {
		for _, i := range running.instances {
			if text, err := os.ReadFile(i.log.Name()); err == nil {
				_ = os.WriteFile(filepath.Join(kept, filepath.Base(i.log.Name())), text, 0o600)
			}
		}
	}
	if running.folder != "" {
		_ = os.RemoveAll(running.folder)
	}
}

// state is the desired state that the operator writes.
type state struct {
	Version           int
	CoastIsolated     bool
	CoastKeyWithdrawn bool
	WithBoard         bool
	RouteMoved        bool
}

// write writes the desired state to the store.
func (st state) write(s *store) {
	var text strings.Builder
	if err := template.Must(template.New("state").Parse(stateText)).Execute(&text, st); err != nil {
		unable("%v", err)
	}
	var value json.RawMessage
	if err := json.Unmarshal([]byte(text.String()), &value); err != nil {
		unable("the desired state: %v", err)
	}
	s.write("config", "main", value)
	note("the store has accepted desired state %d; coast is isolated: %t, its first key is withdrawn: %t; with route r-board: %t; r-moved leads to engines-next: %t", st.Version, st.CoastIsolated, st.CoastKeyWithdrawn, st.WithBoard, st.RouteMoved)
}
