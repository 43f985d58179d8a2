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

// newMatrixFleet returns two instances in domain a and one in b and in c, each
// domain with an engine and a service.
func newMatrixFleet(seed uint64, repeatableOrders bool) *testkit.Fleet {
	fleet := testkit.NewFleet(seed)
	for _, name := range []string{"a-1", "a-2", "b-1", "c-1"} {
		fleet.AddNode(name, name[:1])
	}
	for _, domain := range []string{"a", "b", "c"} {
		fleet.AddService("ordering-"+domain, domain, "ordering")
		fleet.AddEngine("engine-"+domain, domain, "verdict")
	}
	fleet.RunFor(clock.Second)
	configuration := testkit.Sample(3000, 30000, "a", "b", "c")
	orders := configuration.Routes["orders"]
	orders.Repeatable = repeatableOrders
	configuration.Routes["orders"] = orders
	fleet.Configure("a-1", configuration)
	fleet.Trace = nil
	return fleet
}

// caller sends an order, and sends it again through the next instance when its
// connection is lost, when it is told to come back, and a few times though it is
// not.
type caller struct {
	fleet    *testkit.Fleet
	arrival  event.RequestArrived
	requests []*testkit.Request
	next     int
	sentAt   clock.Millis
	stubborn int
	finished bool
}

// callerTimeout is when a caller without any answer ends.
const callerTimeout = clock.Minute

// maxStubborn is how often a caller comes back though nobody told it to.
const maxStubborn = 3

// maxTries bounds what a caller sends.
const maxTries = 12

func (c *caller) send() {
	nodes := []string{"a-1", "a-2", "b-1", "c-1"}
	node := nodes[c.next%len(nodes)]
	c.next++
	c.sentAt = c.fleet.Now
	c.requests = append(c.requests, c.fleet.Send(node, c.arrival))
	c.look()
}

// look waits for the end of the last request.
func (c *caller) look() {
	last := c.requests[len(c.requests)-1]
	if !last.Ended && c.fleet.Now.Since(c.sentAt) < callerTimeout {
		c.fleet.After(50*clock.Millisecond, c.look)
		return
	}
	again := last.Lost || (last.Refused() && last.Refusal.RetryAfter > 0)
	if !again && last.Refused() && c.stubborn < maxStubborn {
		c.stubborn++
		again = true
	}
	if again && len(c.requests) < maxTries {
		c.fleet.After(max(last.Refusal.RetryAfter, clock.Second), c.send)
		return
	}
	c.finished = true
}

// row is one run of the matrix.
type row struct {
	seed       uint64
	faults     []string
	steps      []int
	repeatable bool
	// verdicts makes the requests model requests instead of orders.
	verdicts bool
}

func (r row) String() string {
	return fmt.Sprintf("seed %d, faults %q at steps %v", r.seed, r.faults, r.steps)
}

// run runs an order under the faults, each before its step counted from the
// order's arrival.
func (r row) run() (*testkit.Fleet, *caller) {
	fleet := newMatrixFleet(r.seed, r.repeatable)
	first := fleet.Steps
	fleet.BeforeStep = func(step int) {
		for i, at := range r.steps {
			if step-first == at {
				faults[r.faults[i]](fleet)
			}
		}
	}
	c := &caller{fleet: fleet, arrival: testkit.Order("k")}
	if r.verdicts {
		c.arrival = testkit.Verdict(promptTokens, maxTokens)
	}
	c.send()
	for !c.finished {
		fleet.RunFor(clock.Second)
	}
	fleet.RunFor(2 * outage)
	return fleet, c
}

// orderSteps is the number of steps of an order without faults, from its
// arrival to a little after its answer.
const orderSteps = 40

// check checks what must always hold for a request and its repeats.
func (r row) check(fleet *testkit.Fleet, c *caller) error {
	runs := fleet.TotalRuns(c.arrival.Fingerprint)
	if runs > 1 && !r.verdicts {
		return fmt.Errorf("the order ran %d times", runs)
	}
	for _, request := range c.requests {
		id := request.Arrival.Request
		ran := fleet.TotalRunsOf(id)
		switch {
		case !request.Ended:
			return fmt.Errorf("request %s has no final answer", id)
		case request.Answered() && runs == 0:
			return fmt.Errorf("request %s is acknowledged, but the order ran %d times", id, runs)
		case request.Answered() && !strings.HasPrefix(string(request.Answer.Body), "ran "):
			return fmt.Errorf("request %s got the answer %q of another request", id, request.Answer.Body)
		case request.Refused() && request.Refusal.NotRun && ran > 0:
			return fmt.Errorf("request %s was refused as not run, but ran %d times", id, ran)
		}
	}
	return nil
}

// verdict is how one row ended.
type verdict struct {
	row   row
	err   error
	trace []string
	end   string
	runs  int
}

func judge(r row) verdict {
	fleet, c := r.run()
	return verdict{row: r, err: r.check(fleet, c), trace: fleet.Trace, end: c.end(), runs: fleet.TotalRuns(c.arrival.Fingerprint)}
}

// end tells how the caller's last request ended.
func (c *caller) end() string {
	last := c.requests[len(c.requests)-1]
	switch {
	case last.Answered():
		return "answered"
	case last.Refusal.Code == action.CodeOutcomeUnknown:
		return "outcome unknown"
	default:
		return "given up " + string(last.Refusal.Code)
	}
}

// parallel runs the job for each number below count, on all cores.
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

func judgeRows(rows []row) []verdict {
	verdicts := make([]verdict, len(rows))
	parallel(len(rows), func(i int) { verdicts[i] = judge(rows[i]) })
	return verdicts
}

// report fails the test for the first rows that broke a promise, with their
// traces.
func report(t *testing.T, verdicts []verdict) {
	t.Helper()
	const shown = 3
	ends := map[string]int{}
	broken := 0
	for _, v := range verdicts {
		ends[v.end]++
		if v.err == nil {
			continue
		}
		broken++
		if broken <= shown {
			t.Errorf("%s: %s\n%s", v.row, v.err, strings.Join(v.trace, "\n"))
		}
	}
	require.Zero(t, broken, "rows that broke a promise, of %d", len(verdicts))
	t.Logf("%d rows; what the callers met last: %v", len(verdicts), ends)
}

// singleRows returns a row like the given one for every fault at every step.
func singleRows(like row) []row {
	var rows []row
	for _, name := range slices.Sorted(maps.Keys(faults)) {
		for step := range orderSteps {
			single := like
			single.seed = 1
			single.faults = []string{name}
			single.steps = []int{step}
			rows = append(rows, single)
		}
	}
	return rows
}

// drawnPairs returns rows like the given one with two faults, drawn with a fixed
// seed.
func drawnPairs(like row) []row {
	source := rand.New(rand.NewPCG(1, 2))
	names := slices.Sorted(maps.Keys(faults))
	rows := make([]row, *pairRows)
	for i := range rows {
		rows[i] = like
		rows[i].seed = source.Uint64()
		rows[i].faults = []string{names[source.IntN(len(names))], names[source.IntN(len(names))]}
		rows[i].steps = []int{source.IntN(orderSteps), source.IntN(3 * orderSteps)}
	}
	return rows
}

// TestVerdictUnderFaults runs a model request under every fault at every step,
// and under pairs of faults.
func TestVerdictUnderFaults(t *testing.T) {
	report(t, judgeRows(singleRows(row{verdicts: true})))
	report(t, judgeRows(drawnPairs(row{verdicts: true})))
}

// TestOrderUnderEachFaultAtEachStep runs an order under every fault at every
// step of its life.
func TestOrderUnderEachFaultAtEachStep(t *testing.T) {
	report(t, judgeRows(singleRows(row{})))
}

// TestOrderDoublesWithoutRecord shows that the matrix finds doubled orders when
// the calls are not recorded.
func TestOrderDoublesWithoutRecord(t *testing.T) {
	doubled := 0
	verdicts := judgeRows(singleRows(row{repeatable: true}))
	for _, v := range verdicts {
		if v.runs > 1 {
			doubled++
		}
	}
	require.Positive(t, doubled, "the matrix must be able to find a doubled order")
	t.Logf("orders that ran more than once without the record: %d of %d rows", doubled, len(verdicts))
}

// pairRows is how many rows with two faults are drawn.
var pairRows = flag.Int("pairs", 1500, "rows with two faults to draw")

// TestOrderUnderPairsOfFaults runs an order under pairs of faults, drawn with a
// fixed seed.
func TestOrderUnderPairsOfFaults(t *testing.T) {
	report(t, judgeRows(drawnPairs(row{})))
}
