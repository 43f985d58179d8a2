package router_test

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
	"github.com/hyssopdoor/hyssopdoor/internal/testkit"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// newMatrixCluster returns two instances in domain a and one in b and in c, each
// domain with an engine and a service.
func newMatrixCluster(seed uint64, repeatableOrders bool) *testkit.Cluster {
	cluster := testkit.NewCluster(seed)
	for _, name := range []string{"a-1", "a-2", "b-1", "c-1"} {
		cluster.AddInstance(name, name[:1])
	}
	for _, domain := range []string{"a", "b", "c"} {
		cluster.AddService("ordering-"+domain, domain, "ordering")
		cluster.AddEngine("engine-"+domain, domain, "verdict")
	}
	cluster.RunFor(clock.Second)
	configuration := testkit.SampleConfig(3000, 30000, "a", "b", "c")
	orders := configuration.Routes["orders"]
	orders.Repeatable = repeatableOrders
	configuration.Routes["orders"] = orders
	cluster.Configure("a-1", configuration)
	cluster.Trace = nil
	return cluster
}

// caller sends a request and retries it through the next instance: after a lost
// connection, after a refusal with Retry-After, and a limited number of times after
// other refusals.
type caller struct {
	cluster           *testkit.Cluster
	arrival           event.RequestArrived
	requests          []*testkit.Request
	nextInstance      int
	sentAt            clock.Millis
	unpromptedRetries int
	finished          bool
}

// callerTimeout is the time for which a caller waits for a response.
const callerTimeout = clock.Minute

// maxUnpromptedRetries is the limit of a caller's retries after refusals without
// Retry-After.
const maxUnpromptedRetries = 3

// maxCallerRequests is the limit of requests that one caller sends.
const maxCallerRequests = 12

func (c *caller) send() {
	instances := []string{"a-1", "a-2", "b-1", "c-1"}
	instance := instances[c.nextInstance%len(instances)]
	c.nextInstance++
	c.sentAt = c.cluster.Now
	c.requests = append(c.requests, c.cluster.Send(instance, c.arrival))
	c.poll()
}

// poll waits for the end of the last request and then retries or finishes.
func (c *caller) poll() {
	last := c.requests[len(c.requests)-1]
	if !last.Ended && c.cluster.Now.Since(c.sentAt) < callerTimeout {
		c.cluster.AfterFunc(50*clock.Millisecond, c.poll)
		return
	}
	retry := last.Disconnected || (last.Refused() && last.Refusal.RetryAfter > 0)
	if !retry && last.Refused() && c.unpromptedRetries < maxUnpromptedRetries {
		c.unpromptedRetries++
		retry = true
	}
	if retry && len(c.requests) < maxCallerRequests {
		c.cluster.AfterFunc(max(last.Refusal.RetryAfter, clock.Second), c.send)
		return
	}
	c.finished = true
}

// scenario is one run of the fault matrix: a request or an order (a service call that
// may not be repeated, unless repeatable is set) under faults at given steps.
type scenario struct {
	seed       uint64
	faults     []string
	steps      []int
	repeatable bool
	// modelRequest reports whether the caller sends a model request instead of an order.
	modelRequest bool
}

func (s scenario) String() string {
	return fmt.Sprintf("seed %d, faults %q at steps %v", s.seed, s.faults, s.steps)
}

// run sends the scenario's request under its faults. Each fault is injected before
// its step, counted from the arrival of the request.
func (s scenario) run() (*testkit.Cluster, *caller) {
	cluster := newMatrixCluster(s.seed, s.repeatable)
	startStep := cluster.Steps
	cluster.BeforeStep = func(step int) {
		for i, at := range s.steps {
			if step-startStep == at {
				faults[s.faults[i]](cluster)
			}
		}
	}
	c := &caller{cluster: cluster, arrival: testkit.ServiceRequest("k")}
	if s.modelRequest {
		c.arrival = testkit.ModelRequest(promptTokens, maxTokens)
	}
	c.send()
	for !c.finished {
		cluster.RunFor(clock.Second)
	}
	cluster.RunFor(2 * outageDuration)
	return cluster, c
}

// maxRequestSteps is the number of steps of an order without faults, from its arrival
// to shortly after its response.
const maxRequestSteps = 40

// check verifies the invariants of a request and its retries.
func (s scenario) check(cluster *testkit.Cluster, c *caller) error {
	runs := cluster.TotalRunsByFingerprint(c.arrival.Fingerprint)
	if runs > 1 && !s.modelRequest {
		return fmt.Errorf("the order ran %d times", runs)
	}
	for _, request := range c.requests {
		id := request.Arrival.Request
		ran := cluster.TotalRunsByRequest(id)
		switch {
		case !request.Ended:
			return fmt.Errorf("request %s has no final response", id)
		case request.HasResponse() && runs == 0:
			return fmt.Errorf("request %s got a response, but it and its retries ran %d times", id, runs)
		case request.HasResponse() && !strings.HasPrefix(string(request.Response.Body), "ran "):
			return fmt.Errorf("request %s got the response %q of another request", id, request.Response.Body)
		case request.Refused() && request.Refusal.NotRun && ran > 0:
			return fmt.Errorf("request %s was refused as not run, but ran %d times", id, ran)
		}
	}
	return nil
}

// scenarioResult is the result of one scenario.
type scenarioResult struct {
	scenario scenario
	err      error
	trace    []string
	outcome  string
	runs     int
}

func runScenario(s scenario) scenarioResult {
	cluster, caller := s.run()
	return scenarioResult{scenario: s, err: s.check(cluster, caller), trace: cluster.Trace, outcome: caller.outcome(), runs: cluster.TotalRunsByFingerprint(caller.arrival.Fingerprint)}
}

// outcome returns the outcome of the caller's last request.
func (c *caller) outcome() string {
	last := c.requests[len(c.requests)-1]
	switch {
	case last.HasResponse():
		return "answered"
	case last.Refusal.Code == action.CodeOutcomeUnknown:
		return "outcome unknown"
	default:
		return "given up " + string(last.Refusal.Code)
	}
}

// parallel runs the job for each number below count, on GOMAXPROCS goroutines.
func parallel(count int, job func(i int)) {
	var next atomic.Int64
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for i := next.Add(1) - 1; i < int64(count); i = next.Add(1) - 1 {
				job(int(i))
			}
		})
	}
	workers.Wait()
}

func runScenarios(scenarios []scenario) []scenarioResult {
	results := make([]scenarioResult, len(scenarios))
	parallel(len(scenarios), func(i int) { results[i] = runScenario(scenarios[i]) })
	return results
}

// requireNoViolations fails the test if a scenario violated an invariant. It prints
// the traces of the first violations.
func requireNoViolations(t *testing.T, results []scenarioResult) {
	t.Helper()
	const maxShown = 3
	outcomes := map[string]int{}
	violations := 0
	for _, result := range results {
		outcomes[result.outcome]++
		if result.err == nil {
			continue
		}
		violations++
		if violations <= maxShown {
			t.Errorf("%s: %s\n%s", result.scenario, result.err, strings.Join(result.trace, "\n"))
		}
	}
	require.Zero(t, violations, "scenarios that violated an invariant, of %d", len(results))
	t.Logf("%d scenarios; outcomes of the callers' last requests: %v", len(results), outcomes)
}

// singleFaultScenarios returns a scenario like base for every fault at every step.
func singleFaultScenarios(base scenario) []scenario {
	var scenarios []scenario
	for _, name := range slices.Sorted(maps.Keys(faults)) {
		for step := range maxRequestSteps {
			next := base
			next.seed = 1
			next.faults = []string{name}
			next.steps = []int{step}
			scenarios = append(scenarios, next)
		}
	}
	return scenarios
}

// randomFaultPairs returns scenarios like base with two random faults at random steps,
// from a fixed seed.
func randomFaultPairs(base scenario) []scenario {
	rng := rand.New(rand.NewPCG(1, 2))
	names := slices.Sorted(maps.Keys(faults))
	scenarios := make([]scenario, *pairCount)
	for i := range scenarios {
		scenarios[i] = base
		scenarios[i].seed = rng.Uint64()
		scenarios[i].faults = []string{names[rng.IntN(len(names))], names[rng.IntN(len(names))]}
		scenarios[i].steps = []int{rng.IntN(maxRequestSteps), rng.IntN(3 * maxRequestSteps)}
	}
	return scenarios
}

// TestModelRequestUnderFaults runs a model request under every fault at every step,
// and under random pairs of faults.
func TestModelRequestUnderFaults(t *testing.T) {
	requireNoViolations(t, runScenarios(singleFaultScenarios(scenario{modelRequest: true})))
	requireNoViolations(t, runScenarios(randomFaultPairs(scenario{modelRequest: true})))
}

// TestOrderUnderEachFaultAtEachStep runs an order under every fault at every step.
func TestOrderUnderEachFaultAtEachStep(t *testing.T) {
	requireNoViolations(t, runScenarios(singleFaultScenarios(scenario{})))
}

// TestMatrixDetectsDuplicateOrders verifies that the matrix detects duplicate orders:
// without call records, some orders must run more than once.
func TestMatrixDetectsDuplicateOrders(t *testing.T) {
	duplicates := 0
	results := runScenarios(singleFaultScenarios(scenario{repeatable: true}))
	for _, result := range results {
		if result.runs > 1 {
			duplicates++
		}
	}
	require.Positive(t, duplicates, "the matrix must detect a duplicate order")
	t.Logf("orders that ran more than once without a call record: %d of %d scenarios", duplicates, len(results))
}

// pairCount is the number of scenarios with random pairs of faults.
var pairCount = flag.Int("pairs", 1500, "number of scenarios with random pairs of faults")

// TestOrderUnderPairsOfFaults runs an order under random pairs of faults from a fixed
// seed.
func TestOrderUnderPairsOfFaults(t *testing.T) {
	requireNoViolations(t, runScenarios(randomFaultPairs(scenario{})))
}
