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

// newCluster returns three instances in three failure domains, each domain with an
// engine and a service, configured with a team that has the rate and burst.
func newCluster(seed uint64, rate, burst int64) *testkit.Cluster {
	cluster := testkit.NewCluster(seed)
	for _, domain := range []string{"a", "b", "c"} {
		cluster.AddInstance(domain+"-1", domain)
		cluster.AddService("ordering-"+domain, domain, "ordering")
		cluster.AddEngine("engine-"+domain, domain, "verdict")
	}
	cluster.RunFor(clock.Second)
	cluster.Configure("a-1", testkit.SampleConfig(rate, burst, "a", "b", "c"))
	return cluster
}

func runSession(seed uint64) *testkit.Cluster {
	cluster := newCluster(seed, 3000, 30000)
	cluster.Trace = nil
	cluster.Send("a-1", testkit.ModelRequest(100, 32))
	cluster.RunFor(clock.Second)
	cluster.Send("b-1", testkit.ServiceRequest("term-1"))
	cluster.RunFor(clock.Second)
	cluster.Send("c-1", testkit.ServiceRequest("term-1"))
	cluster.RunFor(clock.Second)
	cluster.Servers["engine-a"].DisconnectAfterRun = 1
	cluster.Send("a-1", testkit.ModelRequest(100, 32))
	cluster.RunFor(clock.Second)
	cluster.Send("a-1", testkit.ModelRequest(20000, 32))
	cluster.RunFor(clock.Second)
	cluster.SubmitEvent("c-1", event.KeyWithdrawalRequested{Operation: "withdraw", ID: "id-press"})
	cluster.RunFor(3 * clock.Second)
	cluster.Send("a-1", testkit.ModelRequest(100, 32))
	cluster.RunFor(clock.Second)
	return cluster
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
	cluster := newCluster(1, 3_000_000, 30_000_000)
	owner := ""
	for _, instance := range []string{"a-1", "b-1", "c-1"} {
		cluster.Trace = nil
		cluster.Send(instance, testkit.ModelRequest(100, 32))
		cluster.RunFor(clock.Second)
		for _, line := range cluster.Trace {
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
	cluster.Instances[owner].Kill()
	cluster.Trace = nil
	request := cluster.Send(other, testkit.ModelRequest(100, 32))
	cluster.RunFor(clock.Second)
	require.True(t, request.HasResponse(), "%+v", request.Refusal)
	require.Contains(t, strings.Join(cluster.Trace, "\n"), "candidate=", "the instance must select the server itself")
	require.LessOrEqual(t, request.EndedAt, cluster.Now-clock.Second+100)
}
