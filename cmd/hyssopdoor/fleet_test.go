package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/secret"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/client"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/operator"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	operatorsToken = "test-operators-token"
	startTimeout   = 15 * time.Second
)

var (
	buildOnce sync.Once
	buildDir  string
	errBuild  error
)

func TestMain(m *testing.M) {
	code := m.Run()
	if buildDir != "" {
		_ = os.RemoveAll(buildDir)
	}
	os.Exit(code)
}

// binary returns the path of the built command.
func binary(t *testing.T, name string) string {
	t.Helper()
	buildOnce.Do(func() {
		buildDir, errBuild = os.MkdirTemp("", "hyssopdoor-test")
		if errBuild == nil {
			output, err := exec.Command("go", "build", "-o", buildDir, "../hyssopdoor", "../standin").CombinedOutput()
			if err != nil {
				errBuild = fmt.Errorf("%w: %s", err, output)
			}
		}
	})
	require.NoError(t, errBuild)
	return filepath.Join(buildDir, name)
}

// process is one started process and the lines that it has written.
type process struct {
	t       *testing.T
	command *exec.Cmd
	done    chan error

	mu    sync.Mutex
	lines []string
}

// startProcess starts the command; it is killed at the end of the test.
func startProcess(t *testing.T, name string, args ...string) *process {
	t.Helper()
	p := &process{t: t, command: exec.Command(binary(t, name), args...), done: make(chan error, 1)}
	// A group of its own: when the shell that began the tests ends while a process is
	// paused, the kernel sends SIGHUP to the group that the shell leaves behind.
	p.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	reader, writer := io.Pipe()
	p.command.Stdout = writer
	p.command.Stderr = writer
	require.NoError(t, p.command.Start())
	go p.read(reader)
	go func() {
		p.done <- p.command.Wait()
		_ = writer.Close()
	}()
	t.Cleanup(p.kill)
	return p
}

func (p *process) read(reader io.Reader) {
	scanner := bufio.NewScanner(reader)
	for scanner.Scan() {
		p.mu.Lock()
		p.lines = append(p.lines, scanner.Text())
		p.mu.Unlock()
	}
}

// find waits for a line that matches and returns its first group.
func (p *process) find(pattern string) string {
	p.t.Helper()
	expression := regexp.MustCompile(pattern)
	var found string
	require.Eventually(p.t, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, line := range p.lines {
			if match := expression.FindStringSubmatch(line); match != nil {
				found = match[1]
				return true
			}
		}
		return false
	}, startTimeout, 10*time.Millisecond, "no line matches %s", pattern)
	return found
}

// kill ends the process at once.
func (p *process) kill() {
	_ = p.command.Process.Kill()
}

// signal sends the signal to the process.
func (p *process) signal(signal syscall.Signal) {
	p.t.Helper()
	require.NoError(p.t, p.command.Process.Signal(signal))
}

// entry is one instance of the system as a process.
type entry struct {
	*process
	name      string
	callers   string
	operators string
}

// system is a fleet of processes.
type system struct {
	t           *testing.T
	platform    *process
	platformURL string
	entries     map[string]*entry
	servers     map[string]*process
	addresses   map[string]string // addresses are the servers', by name.
	key         operator.KeyView
}

// systemConfig is the configuration of the test fleet.
func systemConfig(domains ...string) string {
	return strings.Replace(tryConfig, "domains = try", "domains = "+strings.Join(domains, ", "), 1)
}

// startSystem starts a platform, and in each failure domain an instance, an
// engine and a service, as separate processes.
func startSystem(t *testing.T, domains ...string) *system {
	t.Helper()
	s := &system{t: t, entries: map[string]*entry{}, servers: map[string]*process{}, addresses: map[string]string{}}
	s.platform = startProcess(t, "standin", "platform")
	s.platformURL = "http://" + s.platform.find("listening (.*)")
	for _, domain := range domains {
		s.startServer("engine-"+domain, "engine", "--domain", domain, "--model", "scarp", "--model", "notes")
		s.startServer("ordering-"+domain, "service", "--domain", domain, "--service", "ordering")
		s.startEntry(domain+"-1", domain)
	}
	operators := s.operator(domains[0] + "-1")
	_, err := operators.Apply(context.Background(), operator.ConfigChange{File: "test.ini", Config: systemConfig(domains...)})
	require.NoError(t, err)
	s.key, err = operators.IssueKey(context.Background(), "crew")
	require.NoError(t, err)
	s.waitReady()
	return s
}

func (s *system) startServer(name, kind string, args ...string) {
	s.t.Helper()
	args = append([]string{kind, "--platform", s.platformURL, "--name", name}, args...)
	s.servers[name] = startProcess(s.t, "standin", args...)
	s.addresses[name] = s.servers[name].find("listening (.*)")
}

// startEntry starts an instance and lists it, as the platform would.
func (s *system) startEntry(name, domain string) *entry {
	s.t.Helper()
	settings := fmt.Sprintf(`[instance]
name = %s
domain = %s
[listen]
callers = 127.0.0.1:0
operators = 127.0.0.1:0
peers = 127.0.0.1:0
[platform]
address = %s
[fleet]
credential = test-fleet-credential
[operators]
token = %s
`, name, domain, s.platformURL, operatorsToken)
	file := filepath.Join(s.t.TempDir(), name+".ini")
	require.NoError(s.t, os.WriteFile(file, []byte(settings), 0o600))
	started := &entry{process: startProcess(s.t, "hyssopdoor", "serve", "--settings", file), name: name}
	started.callers = started.find("instanceListening.* callers=(\\S+)")
	started.operators = started.find("instanceListening.* operators=(\\S+)")
	peers := started.find("instanceListening.* peers=(\\S+)")
	s.entries[name] = started
	api := client.New(s.platformURL, 2*clock.Second)
	defer api.Close()
	require.NoError(s.t, api.Register(context.Background(), objectstore.Instance{Name: name, Role: objectstore.RoleEntry, Domain: domain, Address: peers, State: objectstore.StateLive}))
	return started
}

func (s *system) operator(name string) *operator.Client {
	return operator.NewClient(s.entries[name].operators, secret.New(operatorsToken))
}

// waitReady waits until every instance knows all servers and peers, and has the
// newest configuration in force, and the rates of each domain are held.
func (s *system) waitReady() {
	s.t.Helper()
	require.Eventually(s.t, func() bool {
		for name := range s.entries {
			if !s.ready(name) {
				return false
			}
		}
		return true
	}, startTimeout, 50*time.Millisecond, "the fleet did not become ready")
}

func (s *system) ready(name string) bool {
	status, err := s.operator(name).Status(context.Background())
	if err != nil || status.Revision < 2 || len(status.Servers) != len(s.servers) {
		return false
	}
	alive := 0
	for _, peer := range status.Peers {
		if peer.Alive {
			alive++
		}
	}
	for _, lease := range status.Leases {
		if lease.Holder == "" {
			return false
		}
	}
	return alive == len(s.entries)-1
}

// request sends a request to the named instance, which must answer.
func (s *system) request(name, method, path, body string, header http.Header) (*http.Response, string) {
	s.t.Helper()
	response, answer, err := s.send(name, method, path, body, header)
	require.NoError(s.t, err)
	return response, answer
}

func (s *system) send(name, method, path, body string, header http.Header) (*http.Response, string, error) {
	return sendTo(context.Background(), s.entries[name].callers, method, path, body, header)
}

func (s *system) keyed() http.Header {
	return http.Header{"Authorization": {"Bearer " + s.key.Secret}}
}

// order sends an order with the idempotency key through the named instance.
func (s *system) order(name, key, body string) (*http.Response, string) {
	s.t.Helper()
	header := s.keyed()
	header.Set("Idempotency-Key", key)
	return s.request(name, http.MethodPost, "/services/ordering/orders", body, header)
}
