package router_test

import (
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
	"github.com/hyssopdoor/hyssopdoor/internal/testkit"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// newFleet returns three instances in three failure domains, each domain with
// an engine and a service, configured with a team of the rate and burst.
func newFleet(seed uint64, rate, burst int64) *testkit.Fleet {
	fleet := testkit.NewFleet(seed)
	for _, domain := range []string{"a", "b", "c"} {
		fleet.AddNode(domain+"-1", domain)
		fleet.AddService("ordering-"+domain, domain, "ordering")
		fleet.AddEngine("engine-"+domain, domain, "verdict")
	}
	fleet.RunFor(clock.Second)
	fleet.Configure("a-1", testkit.Sample(rate, burst, "a", "b", "c"))
	return fleet
}

func session(seed uint64) *testkit.Fleet {
	fleet := newFleet(seed, 3000, 30000)
	fleet.Trace = nil
	fleet.Send("a-1", testkit.Verdict(100, 32))
	fleet.RunFor(clock.Second)
	fleet.Send("b-1", testkit.Order("term-1"))
	fleet.RunFor(clock.Second)
	fleet.Send("c-1", testkit.Order("term-1"))
	fleet.RunFor(clock.Second)
	fleet.Servers["engine-a"].CutAfter = 1
	fleet.Send("a-1", testkit.Verdict(100, 32))
	fleet.RunFor(clock.Second)
	fleet.Send("a-1", testkit.Verdict(20000, 32))
	fleet.RunFor(clock.Second)
	fleet.Operate("c-1", event.KeyWithdrawn{Operation: "withdraw", ID: "id-press"})
	fleet.RunFor(3 * clock.Second)
	fleet.Send("a-1", testkit.Verdict(100, 32))
	fleet.RunFor(clock.Second)
	return fleet
}

// TestSessionGolden holds the decisions, events and answers of a whole session
// against the golden file.
func TestSessionGolden(t *testing.T) {
	trace := session(1).Trace
	goldie.New(t).Assert(t, "session", []byte(strings.Join(trace, "\n")+"\n"))
}

func TestSessionIsDeterministic(t *testing.T) {
	require.Equal(t, session(1).Trace, session(1).Trace)
	require.NotEqual(t, session(1).Trace, session(2).Trace, "the seed must matter")
}

// TestHomeChoosesAndIsReplaced sends model requests through an instance that is
// not the home of their cell: the home chooses, and without it the instance does.
func TestHomeChoosesAndIsReplaced(t *testing.T) {
	fleet := newFleet(1, 3_000_000, 30_000_000)
	home := ""
	for _, node := range []string{"a-1", "b-1", "c-1"} {
		fleet.Trace = nil
		fleet.Send(node, testkit.Verdict(100, 32))
		fleet.RunFor(clock.Second)
		for _, line := range fleet.Trace {
			if _, by, found := strings.Cut(line, " by="); found {
				home = by
			}
		}
	}
	require.NotEmpty(t, home, "one of three instances is the home, the others ask it")
	other := "a-1"
	if home == other {
		other = "b-1"
	}
	fleet.Nodes[home].Kill()
	fleet.Trace = nil
	request := fleet.Send(other, testkit.Verdict(100, 32))
	fleet.RunFor(clock.Second)
	require.True(t, request.Answered(), "%+v", request.Refusal)
	require.Contains(t, strings.Join(fleet.Trace, "\n"), "candidate=", "the instance chose itself")
	require.LessOrEqual(t, request.EndedAt, fleet.Now-clock.Second+100)
}
