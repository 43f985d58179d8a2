package main

import (
	"bufio"
	"bytes"
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
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/operator"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/platformclient"
	"github.com/hyssopdoor/hyssopdoor/internal/testkit/starter"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	operatorToken = "test-operators-token"
	startTimeout  = 15 * time.Second
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

// process is a started process and the lines of its output.
type process struct {
	t       *testing.T
	command *exec.Cmd
	exited  chan error

	mu    sync.Mutex
	lines []string
}

// startProcess starts the command; it is killed at the end of the test.
func startProcess(t *testing.T, name string, args ...string) *process {
	t.Helper()
	p := &process{t: t, command: exec.Command(binary(t, name), args...), exited: make(chan error, 1)}
	// Setpgid starts the process in its own process group. Otherwise, when the shell
	// that runs the tests exits while a test has stopped the process, the kernel sends
	// SIGHUP to the whole group, because it is orphaned and has a stopped member.
	p.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	reader, writer := io.Pipe()
	p.command.Stdout = writer
	p.command.Stderr = writer
	require.NoError(t, starter.Start(p.command))
	go p.collectLines(reader)
	go func() {
		p.exited <- p.command.Wait()
		_ = writer.Close()
	}()
	t.Cleanup(p.kill)
	return p
}

func (p *process) collectLines(reader io.Reader) {
	scanner := bufio.NewScanner(reader)
	for scanner.Scan() {
		p.mu.Lock()
		p.lines = append(p.lines, scanner.Text())
		p.mu.Unlock()
	}
}

// waitForLine waits for a line that matches the pattern and returns its first
// capture group.
func (p *process) waitForLine(pattern string) string {
	p.t.Helper()
	expression := regexp.MustCompile(pattern)
	var group string
	require.Eventually(p.t, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, line := range p.lines {
			if match := expression.FindStringSubmatch(line); match != nil {
				group = match[1]
				return true
			}
		}
		return false
	}, startTimeout, 10*time.Millisecond, "no line matches %s", pattern)
	return group
}

// kill sends SIGKILL to the process.
func (p *process) kill() {
	_ = p.command.Process.Kill()
}

// signal sends the signal to the process.
func (p *process) signal(signal syscall.Signal) {
	p.t.Helper()
	require.NoError(p.t, p.command.Process.Signal(signal))
}

// pause stops the process with SIGSTOP and waits until it runs no more: the kernel hands the signal to one
// thread, and the others go on until that one is scheduled.
func (p *process) pause() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	require.Eventually(p.t, p.allThreadsStopped, startTimeout, time.Millisecond)
}

func (p *process) allThreadsStopped() bool {
	names, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.command.Process.Pid))
	for _, name := range names {
		stat, err := os.ReadFile(name)
		// The state follows the name of the program in parentheses.
		if err != nil || !strings.HasPrefix(string(stat[bytes.LastIndexByte(stat, ')')+1:]), " T") {
			return false
		}
	}
	return len(names) > 0
}

// instanceProcess is a process that runs one instance.
type instanceProcess struct {
	*process
	name            string
	callerAddress   string
	operatorAddress string
}

// cluster is a platform with instances and backend servers, each a separate process.
type cluster struct {
	t               *testing.T
	platform        *process
	platformURL     string
	instances       map[string]*instanceProcess
	servers         map[string]*process
	serverAddresses map[string]string // serverAddresses are the backend servers' addresses by name.
	key             operator.KeyView
	extraSettings   string // extraSettings are further sections of the instances' settings.
}

// clusterConfig returns the configuration of the test cluster.
func clusterConfig(domains ...string) string {
	return strings.Replace(tryConfig, "domains = try", "domains = "+strings.Join(domains, ", "), 1)
}

// startCluster starts a platform and, in each failure domain, an instance, an engine
// and a service, as separate processes.
func startCluster(t *testing.T, domains ...string) *cluster {
	t.Helper()
	return startClusterWith(t, "", domains...)
}

// startClusterWith does the same with further sections of the instances' settings.
func startClusterWith(t *testing.T, extraSettings string, domains ...string) *cluster {
	t.Helper()
	c := &cluster{t: t, extraSettings: extraSettings, instances: map[string]*instanceProcess{}, servers: map[string]*process{}, serverAddresses: map[string]string{}}
	c.platform = startProcess(t, "standin", "platform")
	c.platformURL = "http://" + c.platform.waitForLine("listening (.*)")
	for _, domain := range domains {
		c.startServer("engine-"+domain, "engine", "--domain", domain, "--model", "scarp", "--model", "notes")
		c.startServer("ordering-"+domain, "service", "--domain", domain, "--service", "ordering")
		c.startInstance(domain+"-1", domain)
	}
	operatorClient := c.operatorClient(domains[0] + "-1")
	_, err := operatorClient.Apply(context.Background(), operator.ConfigChange{File: "test.ini", Config: clusterConfig(domains...)})
	require.NoError(t, err)
	c.key, err = operatorClient.IssueKey(context.Background(), "crew")
	require.NoError(t, err)
	c.waitReady()
	return c
}

func (c *cluster) startServer(name, kind string, args ...string) {
	c.t.Helper()
	args = append([]string{kind, "--platform", c.platformURL, "--name", name}, args...)
	c.servers[name] = startProcess(c.t, "standin", args...)
	c.serverAddresses[name] = c.servers[name].waitForLine("listening (.*)")
}

// startInstance starts an instance and registers it on the instance list, as the
// platform would.
func (c *cluster) startInstance(name, domain string) *instanceProcess {
	c.t.Helper()
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
%s`, name, domain, c.platformURL, operatorToken, c.extraSettings)
	file := filepath.Join(c.t.TempDir(), name+".ini")
	require.NoError(c.t, os.WriteFile(file, []byte(settings), 0o600))
	started := &instanceProcess{process: startProcess(c.t, "hyssopdoor", "serve", "--settings", file), name: name}
	started.callerAddress = started.waitForLine("instanceListening.* callers=(\\S+)")
	started.operatorAddress = started.waitForLine("instanceListening.* operators=(\\S+)")
	peerAddress := started.waitForLine("instanceListening.* peers=(\\S+)")
	c.instances[name] = started
	api := platformclient.New(c.platformURL, 2*clock.Second)
	require.NoError(c.t, api.Register(context.Background(), objectstore.Instance{Name: name, Role: objectstore.RoleEntry, Domain: domain, Address: peerAddress, State: objectstore.StateLive}))
	return started
}

func (c *cluster) operatorClient(name string) *operator.Client {
	return operator.NewClient(c.instances[name].operatorAddress, secret.New(operatorToken))
}

// waitReady waits until every instance lists all servers and peers and has the
// latest configuration in force, and every quota lease has a holder.
func (c *cluster) waitReady() {
	c.t.Helper()
	require.Eventually(c.t, func() bool {
		for name := range c.instances {
			if !c.ready(name) {
				return false
			}
		}
		return true
	}, startTimeout, 50*time.Millisecond, "the cluster did not become ready")
}

func (c *cluster) ready(name string) bool {
	status, err := c.operatorClient(name).Status(context.Background())
	if err != nil || status.Revision < 2 || len(status.Servers) != len(c.servers) {
		return false
	}
	livePeers := 0
	for _, peer := range status.Peers {
		if peer.Alive {
			livePeers++
		}
	}
	for _, lease := range status.Leases {
		if lease.Holder == "" {
			return false
		}
	}
	return livePeers == len(c.instances)-1
}

// mustSend sends a request to the named instance and fails the test if it gets no
// response.
func (c *cluster) mustSend(name, method, path, body string, header http.Header) (*http.Response, string) {
	c.t.Helper()
	response, responseBody, err := c.send(name, method, path, body, header)
	require.NoError(c.t, err)
	return response, responseBody
}

func (c *cluster) send(name, method, path, body string, header http.Header) (*http.Response, string, error) {
	return sendTo(context.Background(), c.instances[name].callerAddress, method, path, body, header)
}

func (c *cluster) authHeader() http.Header {
	return http.Header{"Authorization": {"Bearer " + c.key.Secret}}
}

// mustSendOrder sends an order with the idempotency key through the named instance and
// fails the test if it gets no response.
func (c *cluster) mustSendOrder(name, key, body string) (*http.Response, string) {
	c.t.Helper()
	header := c.authHeader()
	header.Set("Idempotency-Key", key)
	return c.mustSend(name, http.MethodPost, "/services/ordering/orders", body, header)
}
