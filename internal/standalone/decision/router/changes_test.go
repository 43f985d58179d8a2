package router_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/sharder"
	"github.com/hyssopdoor/hyssopdoor/internal/testkit"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// inForceWithin is how soon a change must be in force on all instances that
	// are reachable.
	inForceWithin = 3 * clock.Second
	// changeSteps is the number of steps of a change without faults, and a few
	// more.
	changeSteps = 60
	newBurst    = 40000
	newRate     = 3000
)

// change is a control action of the matrix and how to see that it is in force.
type change struct {
	submit  event.Event
	inForce func(node *testkit.Node) bool
}

func burstAt(node *testkit.Node) int64 {
	configuration, _, _ := node.Machine.Configuration()
	return configuration.Teams["press"].Burst
}

var changes = map[string]change{
	"configuration": {
		submit:  event.ConfigSubmitted{Operation: "change", Config: testkit.Sample(newRate, newBurst, "a", "b", "c")},
		inForce: func(node *testkit.Node) bool { return burstAt(node) == newBurst },
	},
	"key withdrawn": {
		submit: event.KeyWithdrawn{Operation: "change", ID: "id-press"},
		inForce: func(node *testkit.Node) bool {
			configuration, _, _ := node.Machine.Configuration()
			_, known := configuration.KeyByID("id-press")
			return !known
		},
	},
}

// runChange submits the change at instance a-1 with the fault before the step.
func runChange(name, faultName string, step int) error {
	fleet := newMatrixFleet(1, false)
	first := fleet.Steps
	fleet.BeforeStep = func(at int) {
		if at-first == step {
			faults[faultName](fleet)
		}
	}
	fleet.Operate("a-1", changes[name].submit)
	fleet.RunFor(2*outage + inForceWithin)
	if err := checkChange(fleet, changes[name], faultName); err != nil {
		return fmt.Errorf("%s, fault %q at step %d: %w\n%s", name, faultName, step, err, strings.Join(fleet.Trace, "\n"))
	}
	return nil
}

// checkChange holds what the operator was told against what is in force, and
// that no instance went back.
func checkChange(fleet *testkit.Fleet, change change, faultName string) error {
	result, told := fleet.Results["change"]
	inForce := 0
	for _, name := range slices.Sorted(maps.Keys(fleet.Nodes)) {
		node := fleet.Nodes[name]
		if change.inForce(node) {
			inForce++
		}
		for i, revision := range node.Revisions {
			if i > 0 && revision < node.Revisions[i-1] && revision != 0 {
				return fmt.Errorf("instance %s went from revision %d to %d", name, node.Revisions[i-1], revision)
			}
		}
	}
	if faultName == "operators race" {
		return nil
	}
	switch {
	case told && result.Outcome == action.OperationDone && inForce < len(fleet.Nodes):
		return fmt.Errorf("the change is accepted, but in force on %d of %d instances", inForce, len(fleet.Nodes))
	case told && result.Outcome == action.OperationFailed && inForce > 0:
		return fmt.Errorf("the operator was told that nothing changed, but it is in force on %d instances", inForce)
	case inForce > 0 && inForce < len(fleet.Nodes):
		return fmt.Errorf("the change is in force on %d of %d instances", inForce, len(fleet.Nodes))
	}
	return nil
}

// TestChangeUnderEachFaultAtEachStep runs a change of the configuration and the
// withdrawal of a key under every fault at every step.
func TestChangeUnderEachFaultAtEachStep(t *testing.T) {
	names := slices.Sorted(maps.Keys(faults))
	for _, name := range slices.Sorted(maps.Keys(changes)) {
		errs := make([]error, len(names)*changeSteps)
		parallel(len(errs), func(i int) { errs[i] = runChange(name, names[i/changeSteps], i%changeSteps) })
		for _, err := range errs {
			require.NoError(t, err)
		}
	}
}

// TestChangeIsInForceInTime holds that a change is in force on all instances in
// time, without a fault and with one that leaves them reachable.
func TestChangeIsInForceInTime(t *testing.T) {
	for _, name := range slices.Sorted(maps.Keys(changes)) {
		for _, faultName := range []string{"", "neighbour killed", "platform slow", "platform's answer lost", "two answers lost", "list late", "domain cut others"} {
			t.Run(name+"/"+faultName, func(t *testing.T) {
				fleet := newMatrixFleet(1, false)
				if faultName != "" {
					faults[faultName](fleet)
				}
				fleet.Operate("b-1", changes[name].submit)
				for fleet.Results["change"].Outcome == "" {
					fleet.RunFor(10 * clock.Millisecond)
				}
				require.Equal(t, action.OperationDone, fleet.Results["change"].Outcome)
				fleet.RunFor(inForceWithin)
				for instance, node := range fleet.Nodes {
					if node.Up {
						require.True(t, changes[name].inForce(node), "instance %s", instance)
					}
				}
			})
		}
	}
}

// TestRacingOperatorsGetOneConflict lets two operators change the same revision
// through two instances, the second at each step of the first one's change.
func TestRacingOperatorsGetOneConflict(t *testing.T) {
	for step := range changeSteps {
		fleet := newMatrixFleet(1, false)
		_, _, base := fleet.Nodes["a-1"].Machine.Configuration()
		submit := func(node string, burst int64) {
			fleet.Operate(node, event.ConfigSubmitted{Operation: node, Config: testkit.Sample(newRate, burst, "a", "b", "c"), Base: base})
		}
		first := fleet.Steps
		raced := false
		fleet.BeforeStep = func(at int) {
			if at-first == step {
				raced = true
				submit("b-1", newBurst+1)
			}
		}
		submit("a-1", newBurst)
		fleet.RunFor(5 * clock.Second)
		require.True(t, raced)
		outcomes := []action.OperationOutcome{fleet.Results["a-1"].Outcome, fleet.Results["b-1"].Outcome}
		require.ElementsMatch(t, []action.OperationOutcome{action.OperationDone, action.OperationConflict}, outcomes, "step %d", step)
		want := int64(newBurst)
		if outcomes[1] == action.OperationDone {
			want++
		}
		for name, node := range fleet.Nodes {
			require.Equal(t, want, burstAt(node), "instance %s, step %d", name, step)
		}
	}
}

// TestStartWithoutPlatform holds that an instance that starts while the platform
// is down is ready from its peers' state within a second.
func TestStartWithoutPlatform(t *testing.T) {
	fleet := newMatrixFleet(1, false)
	fleet.Platform.Down = true
	fleet.RunFor(2 * clock.Second)
	fleet.Nodes["a-2"].Kill()
	fleet.RunFor(2 * clock.Second)
	fleet.Nodes["a-2"].Restart()
	fleet.RunFor(clock.Second)
	require.True(t, fleet.Nodes["a-2"].Ready())
	request := fleet.Send("a-2", testkit.Verdict(promptTokens, maxTokens))
	fleet.RunFor(clock.Second)
	require.True(t, request.Answered(), "%+v", request.Refusal)
}

// TestOldManifestIsNotTaken gives an instance an older manifest by every way
// that there is.
func TestOldManifestIsNotTaken(t *testing.T) {
	fleet := newMatrixFleet(1, false)
	old := fleet.Platform.Store.Get(objectstore.Get{Name: sharder.ManifestName})
	fleet.Operate("a-1", changes["configuration"].submit)
	fleet.RunFor(inForceWithin)
	require.Equal(t, int64(newBurst), burstAt(fleet.Nodes["a-1"]))
	for call := range uint64(10000) {
		fleet.Operate("a-1", event.PlatformAnswered{Call: call, Answer: old})
	}
	fleet.Operate("a-1", event.PeerMessage{From: "b-1", Message: &peerv1.Message{Body: &peerv1.Message_ConfigOffer{ConfigOffer: &peerv1.ConfigOffer{Manifest: old.Value}}}})
	fleet.RunFor(inForceWithin)
	require.Equal(t, int64(newBurst), burstAt(fleet.Nodes["a-1"]))
}

// TestDomainRestartsWithoutPlatform restarts a whole failure domain while the
// platform is down: it serves from the state and the rates of the others.
func TestDomainRestartsWithoutPlatform(t *testing.T) {
	fleet := newMatrixFleet(1, false)
	fleet.Platform.Down = true
	fleet.RunFor(2 * clock.Second)
	for _, name := range []string{"a-1", "a-2"} {
		fleet.Nodes[name].Kill()
	}
	fleet.RunFor(clock.Second)
	for _, name := range []string{"a-1", "a-2"} {
		fleet.Nodes[name].Restart()
	}
	fleet.RunFor(clock.Second)
	for _, name := range []string{"a-1", "a-2"} {
		require.True(t, fleet.Nodes[name].Ready(), name)
		request := fleet.Send(name, testkit.Verdict(promptTokens, maxTokens))
		fleet.RunFor(clock.Second)
		require.True(t, request.Answered(), "%s: %+v", name, request.Refusal)
	}
}
