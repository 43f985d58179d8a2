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

// newFleet returns three instances in three failure domains, each domain with an
// engine and a service, configured with a team that has the rate and burst.
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

func runSession(seed uint64) *testkit.Fleet {
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
	fleet.Operate("c-1", event.KeyWithdrawalRequested{Operation: "withdraw", ID: "id-press"})
	fleet.RunFor(3 * clock.Second)
	fleet.Send("a-1", testkit.Verdict(100, 32))
	fleet.RunFor(clock.Second)
	return fleet
}

// TestSessionGolden compares the decisions, events and responses of a complete session
// with the golden file.
func TestSessionGolden(t *testing.T) {
	trace := runSession(1).Trace
	goldie.New(t).Assert(t, "session", []byte(strings.Join(trace, "\n")+"\n"))
}

func TestSessionIsDeterministic(t *testing.T) {
	require.Equal(t, runSession(1).Trace, runSession(1).Trace)
	require.NotEqual(t, runSession(1).Trace, runSession(2).Trace, "the seed must matter")
}

// TestCellOwnerSelectsServer sends model requests through an instance that does not own
// their cell. The owner must select the server, and the instance itself must do so
// once the owner is gone.
func TestCellOwnerSelectsServer(t *testing.T) {
	fleet := newFleet(1, 3_000_000, 30_000_000)
	owner := ""
	for _, node := range []string{"a-1", "b-1", "c-1"} {
		fleet.Trace = nil
		fleet.Send(node, testkit.Verdict(100, 32))
		fleet.RunFor(clock.Second)
		for _, line := range fleet.Trace {
			if _, instance, found := strings.Cut(line, " by="); found {
				owner = instance
			}
		}
	}
	require.NotEmpty(t, owner, "one of the three instances must own the cell and select the servers of the others")
	other := "a-1"
	if owner == other {
		other = "b-1"
	}
	fleet.Nodes[owner].Kill()
	fleet.Trace = nil
	request := fleet.Send(other, testkit.Verdict(100, 32))
	fleet.RunFor(clock.Second)
	require.True(t, request.Answered(), "%+v", request.Refusal)
	require.Contains(t, strings.Join(fleet.Trace, "\n"), "candidate=", "the instance must select the server itself")
	require.LessOrEqual(t, request.EndedAt, fleet.Now-clock.Second+100)
}
