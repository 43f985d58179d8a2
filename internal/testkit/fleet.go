// Package testkit has the fakes that tests share: a fleet of state machines
// with a fake platform, network and backend servers, under a clock that the
// test moves. Equal seeds and equal calls give equal runs.
//
// # Usage
//
//	fleet := testkit.NewFleet(seed)
//	fleet.AddNode("a-1", "a")
//	fleet.AddService("ordering-1", "a", "ordering")
//	fleet.Configure("a-1", configuration)
//	request := fleet.Send("a-1", arrival)
//	fleet.RunFor(2 * clock.Second)
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

// Latencies of the fake network, one way.
const (
	PeerLatency     = clock.Millisecond
	PlatformLatency = clock.Millisecond
	ServerLatency   = clock.Millisecond
	// platformTimeout is when a call without an answer is given up.
	platformTimeout = 500 * clock.Millisecond
)

// PlatformDomain is the platform's name in Cut.
const PlatformDomain = "platform"

// Fleet is several instances and what surrounds them.
type Fleet struct {
	Now      clock.Millis
	Platform *Platform
	Nodes    map[string]*Node
	Servers  map[string]*Server
	Requests []*Request
	// Admissions are the requests that were given tokens, in order.
	Admissions []Admission
	// Results are the results of operators' operations by their identifiers.
	Results map[string]action.OperationResult
	// Trace has a line for each log entry and each answer.
	Trace []string
	// BeforeStep is called before each delivery with its number, from 0.
	BeforeStep func(step int)
	// Steps counts deliveries.
	Steps int

	seed   uint64
	queue  deliveries
	number uint64
	cuts   map[[2]string]bool
	// byID and admitted are requests, and places in Admissions, by identifier.
	byID     map[string]*Request
	admitted map[string]int
}

// NewFleet returns a Fleet without instances at the instant of one second.
func NewFleet(seed uint64) *Fleet {
	f := &Fleet{
		Now:     clock.Second,
		Nodes:   map[string]*Node{},
		Servers: map[string]*Server{},
		Results: map[string]action.OperationResult{},
		seed:    seed,
		cuts:    map[[2]string]bool{},

		byID:     map[string]*Request{},
		admitted: map[string]int{},
	}
	f.Platform = newPlatform(f)
	return f
}

// delivery is something that happens at an instant.
type delivery struct {
	at     clock.Millis
	number uint64
	run    func()
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	if d[i].at != d[j].at {
		return d[i].at < d[j].at
	}
	return d[i].number < d[j].number
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

// After runs the function after the span.
func (f *Fleet) After(span clock.Millis, run func()) {
	f.number++
	heap.Push(&f.queue, delivery{at: f.Now.Add(span), number: f.number, run: run})
}

// RunFor lets the span pass.
func (f *Fleet) RunFor(span clock.Millis) {
	end := f.Now.Add(span)
	for len(f.queue) > 0 && f.queue[0].at <= end {
		next := heap.Pop(&f.queue).(delivery)
		f.Now = max(f.Now, next.at)
		if f.BeforeStep != nil {
			f.BeforeStep(f.Steps)
		}
		f.Steps++
		next.run()
	}
	f.Now = end
}

// Cut cuts or mends the network between two domains; PlatformDomain is the
// platform's.
func (f *Fleet) Cut(a, b string, cut bool) {
	f.cuts[[2]string{a, b}] = cut
	f.cuts[[2]string{b, a}] = cut
}

func (f *Fleet) isCut(a, b string) bool {
	return f.cuts[[2]string{a, b}]
}

func (f *Fleet) trace(node, format string, args ...any) {
	f.Trace = append(f.Trace, fmt.Sprintf("%6d %s %s", f.Now, node, fmt.Sprintf(format, args...)))
}

// AddNode starts an instance in the domain and lists it.
func (f *Fleet) AddNode(name, domain string) *Node {
	node := &Node{fleet: f, name: name, domain: domain}
	f.Nodes[name] = node
	f.Platform.Store.Register(f.Now, objectstore.Instance{Name: name, Role: objectstore.RoleEntry, Domain: domain, Address: name, State: objectstore.StateLive})
	node.Restart()
	return node
}

// AddService starts a plain service and lists it.
func (f *Fleet) AddService(name, domain, service string) *Server {
	return f.addServer(objectstore.Instance{Name: name, Role: objectstore.RoleService, Domain: domain, Service: service})
}

// AddEngine starts an engine of the model and lists it.
func (f *Fleet) AddEngine(name, domain, model string) *Server {
	return f.addServer(objectstore.Instance{Name: name, Role: objectstore.RoleEngine, Domain: domain, Models: []string{model}, Weights: "v1"})
}

func (f *Fleet) addServer(entry objectstore.Instance) *Server {
	entry.Address = entry.Name
	entry.State = objectstore.StateLive
	entry.Incarnation = "1"
	server := &Server{fleet: f, entry: entry, Up: true, Runs: map[string]int{}, RunsOf: map[string]int{}, running: map[string]*serverAttempt{}}
	f.Servers[entry.Name] = server
	f.Platform.Store.Register(f.Now, entry)
	return server
}

// Operate submits an operator's event to the node.
func (f *Fleet) Operate(node string, asked event.Event) {
	f.Nodes[node].Step(asked)
}

// Configure applies the configuration and a key for each team at the node, and
// waits until all is in force there. The key of a team is "key-" and its name.
func (f *Fleet) Configure(node string, configuration config.Config) {
	f.Operate(node, event.ConfigSubmitted{Operation: "configure", Config: configuration})
	f.RunFor(clock.Second)
	for _, team := range slices.Sorted(maps.Keys(configuration.Teams)) {
		f.Operate(node, event.KeyIssueRequested{Operation: "issue-" + team, ID: "id-" + team, Team: team, Secret: secret.New("key-" + team)})
		f.RunFor(clock.Second)
	}
	f.RunFor(5 * clock.Second)
}

// seeds returns the addresses of all instances.
func (f *Fleet) seeds() []string {
	return slices.Sorted(maps.Keys(f.Nodes))
}

// nodeSeed returns the seed of one start of a node.
func (f *Fleet) nodeSeed(name string, start int) [32]byte {
	var seed [32]byte
	binary.LittleEndian.PutUint64(seed[:], f.seed)
	binary.LittleEndian.PutUint64(seed[8:], uint64(start))
	copy(seed[16:], name)
	return seed
}
