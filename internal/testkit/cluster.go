// Package testkit simulates a cluster for tests: the real state machines of the
// instances with a fake platform, network and backend servers, under a
// simulated clock that the test advances. A run is deterministic: the same seed
// and the same calls give the same run.
//
// # Usage
//
//	cluster := testkit.NewCluster(seed)
//	cluster.AddInstance("a-1", "a")
//	cluster.AddService("ordering-1", "a", "ordering")
//	cluster.Configure("a-1", configuration)
//	request := cluster.Send("a-1", arrival)
//	cluster.RunFor(2 * clock.Second)
package testkit

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/secret"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/config"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// One-way latencies of the fake network.
const (
	PeerLatency     = clock.Millisecond
	PlatformLatency = clock.Millisecond
	ServerLatency   = clock.Millisecond
	// platformTimeout is the timeout of a call to the platform; a watch has its
	// wait time in addition.
	platformTimeout = 500 * clock.Millisecond
)

// PlatformDomain is the name that stands for the platform in SetPartition.
const PlatformDomain = "platform"

// Cluster is a simulated cluster: its instances, backend servers, platform and
// network, and a record of what happened.
type Cluster struct {
	Now       clock.Millis
	Platform  *Platform
	Instances map[string]*Instance
	Servers   map[string]*Server
	Requests  []*Request
	// Admissions are the requests that acquired tokens, in order.
	Admissions []Admission
	// Results are the results of operators' operations by operation identifier.
	Results map[string]action.OperationResult
	// Trace has a line for each log entry and each response to a caller.
	Trace []string
	// BeforeStep, if not nil, is called before each scheduled call with the call's
	// number, from 0.
	BeforeStep func(step int)
	// Steps is the number of scheduled calls run so far.
	Steps int

	seed       uint64
	queue      callQueue
	sequence   uint64 // sequence is the number of the last scheduled call.
	partitions map[[2]string]bool
	// requestsByID and admissionIndex are requests, and indices in Admissions, by
	// request identifier.
	requestsByID   map[string]*Request
	admissionIndex map[string]int
}

// NewCluster returns a Cluster without instances, with its clock at one second.
func NewCluster(seed uint64) *Cluster {
	c := &Cluster{
		Now:        clock.Second,
		Instances:  map[string]*Instance{},
		Servers:    map[string]*Server{},
		Results:    map[string]action.OperationResult{},
		seed:       seed,
		partitions: map[[2]string]bool{},

		requestsByID:   map[string]*Request{},
		admissionIndex: map[string]int{},
	}
	c.Platform = newPlatform(c)
	return c
}

// scheduledCall is a function that runs at an instant.
type scheduledCall struct {
	at       clock.Millis
	sequence uint64
	run      func()
}

// callQueue is a heap of scheduled calls, ordered by instant and sequence number.
type callQueue []scheduledCall

func (q callQueue) Len() int { return len(q) }
func (q callQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}
func (q callQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *callQueue) Push(x any)   { *q = append(*q, x.(scheduledCall)) }
func (q *callQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// AfterFunc schedules run to be called after the delay.
func (c *Cluster) AfterFunc(delay clock.Millis, run func()) {
	c.sequence++
	heap.Push(&c.queue, scheduledCall{at: c.Now.Add(delay), sequence: c.sequence, run: run})
}

// RunFor advances the clock by the duration and runs the calls that become due.
func (c *Cluster) RunFor(duration clock.Millis) {
	end := c.Now.Add(duration)
	for len(c.queue) > 0 && c.queue[0].at <= end {
		next := heap.Pop(&c.queue).(scheduledCall)
		c.Now = max(c.Now, next.at)
		if c.BeforeStep != nil {
			c.BeforeStep(c.Steps)
		}
		c.Steps++
		next.run()
	}
	c.Now = end
}

// SetPartition starts or ends a network partition between two failure domains;
// PlatformDomain stands for the platform.
func (c *Cluster) SetPartition(a, b string, partitioned bool) {
	c.partitions[[2]string{a, b}] = partitioned
	c.partitions[[2]string{b, a}] = partitioned
}

func (c *Cluster) isPartitioned(a, b string) bool {
	return c.partitions[[2]string{a, b}]
}

func (c *Cluster) trace(instance, format string, args ...any) {
	c.Trace = append(c.Trace, fmt.Sprintf("%6d %s %s", c.Now, instance, fmt.Sprintf(format, args...)))
}

// AddInstance starts an instance in the domain and adds it to the instance list.
func (c *Cluster) AddInstance(name, domain string) *Instance {
	instance := &Instance{cluster: c, name: name, domain: domain}
	c.Instances[name] = instance
	c.Platform.Store.Register(c.Now, objectstore.Instance{Name: name, Role: objectstore.RoleEntry, Domain: domain, Address: name, State: objectstore.StateLive})
	instance.Restart()
	return instance
}

// AddService starts a server of a plain service and adds it to the instance list.
func (c *Cluster) AddService(name, domain, service string) *Server {
	return c.addServer(objectstore.Instance{Name: name, Role: objectstore.RoleService, Domain: domain, Service: service})
}

// AddEngine starts an engine of the model and adds it to the instance list.
func (c *Cluster) AddEngine(name, domain, model string) *Server {
	return c.addServer(objectstore.Instance{Name: name, Role: objectstore.RoleEngine, Domain: domain, Models: []string{model}, Weights: "v1"})
}

func (c *Cluster) addServer(entry objectstore.Instance) *Server {
	entry.Address = entry.Name
	entry.State = objectstore.StateLive
	entry.Incarnation = "1"
	server := &Server{cluster: c, entry: entry, Up: true, RunsByFingerprint: map[string]int{}, RunsByRequest: map[string]int{}, running: map[string]*runningAttempt{}}
	c.Servers[entry.Name] = server
	c.Platform.Store.Register(c.Now, entry)
	return server
}

// SubmitEvent passes an event, such as an operator's, to the instance's router.
func (c *Cluster) SubmitEvent(instance string, submitted event.Event) {
	c.Instances[instance].Step(submitted)
}

// Configure submits the configuration and a key for each team to the instance and
// advances the clock until they are in force there. The key of a team is "key-"
// and its name.
func (c *Cluster) Configure(instance string, configuration config.Config) {
	c.SubmitEvent(instance, event.ConfigSubmitted{Operation: "configure", Config: configuration})
	c.RunFor(clock.Second)
	for _, team := range slices.Sorted(maps.Keys(configuration.Teams)) {
		c.SubmitEvent(instance, event.KeyIssueRequested{Operation: "issue-" + team, ID: "id-" + team, Team: team, Secret: secret.New("key-" + team)})
		c.RunFor(clock.Second)
	}
	c.RunFor(5 * clock.Second)
}

// seedAddresses returns the addresses of all instances, sorted, as the peers that a
// starting instance contacts first.
func (c *Cluster) seedAddresses() []string {
	return slices.Sorted(maps.Keys(c.Instances))
}

// instanceSeed returns the random seed of one start of an instance.
func (c *Cluster) instanceSeed(name string, start int) [32]byte {
	var seed [32]byte
	binary.LittleEndian.PutUint64(seed[:], c.seed)
	binary.LittleEndian.PutUint64(seed[8:], uint64(start))
	copy(seed[16:], name)
	return seed
}
