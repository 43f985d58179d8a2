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
	// propagationLimit is the time within which a change must be in force on all
	// reachable instances.
	propagationLimit = 3 * clock.Second
	// maxChangeSteps is a few more than the number of steps of a change without
	// faults.
	maxChangeSteps = 60
	newBurst       = 40000
	newRate        = 3000
)

// operatorChange is a change by an operator and a check that it is in force.
type operatorChange struct {
	submit  event.Event
	inForce func(node *testkit.Node) bool
}

func configuredBurst(node *testkit.Node) int64 {
	configuration, _, _ := node.Machine.Configuration()
	return configuration.Teams["press"].Burst
}

var changes = map[string]operatorChange{
	"configuration": {
		submit:  event.ConfigSubmitted{Operation: "change", Config: testkit.Sample(newRate, newBurst, "a", "b", "c")},
		inForce: func(node *testkit.Node) bool { return configuredBurst(node) == newBurst },
	},
	"key withdrawn": {
		submit: event.KeyWithdrawalRequested{Operation: "change", ID: "id-press"},
		inForce: func(node *testkit.Node) bool {
			configuration, _, _ := node.Machine.Configuration()
			_, known := configuration.KeyByID("id-press")
			return !known
		},
	},
}

// runChangeUnderFault submits the change at instance a-1 and injects the fault before
// the step.
func runChangeUnderFault(name, faultName string, step int) error {
	fleet := newMatrixFleet(1, false)
	startStep := fleet.Steps
	fleet.BeforeStep = func(at int) {
		if at-startStep == step {
			faults[faultName](fleet)
		}
	}
	fleet.Operate("a-1", changes[name].submit)
	fleet.RunFor(2*outageDuration + propagationLimit)
	if err := checkChange(fleet, changes[name], faultName); err != nil {
		return fmt.Errorf("%s, fault %q at step %d: %w\n%s", name, faultName, step, err, strings.Join(fleet.Trace, "\n"))
	}
	return nil
}

// checkChange verifies that the operator's result matches the configuration in force
// and that no instance went back to an older revision.
func checkChange(fleet *testkit.Fleet, change operatorChange, faultName string) error {
	result, finished := fleet.Results["change"]
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
	case finished && result.Outcome == action.OperationDone && inForce < len(fleet.Nodes):
		return fmt.Errorf("the change is accepted, but in force on %d of %d instances", inForce, len(fleet.Nodes))
	case finished && result.Outcome == action.OperationFailed && inForce > 0:
		return fmt.Errorf("the operation failed without effect, but the change is in force on %d instances", inForce)
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
		errs := make([]error, len(names)*maxChangeSteps)
		parallel(len(errs), func(i int) { errs[i] = runChangeUnderFault(name, names[i/maxChangeSteps], i%maxChangeSteps) })
		for _, err := range errs {
			require.NoError(t, err)
		}
	}
}

// TestChangePropagationTime verifies that a change is in force on all instances within
// propagationLimit, without a fault and under faults that leave them reachable.
func TestChangePropagationTime(t *testing.T) {
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
				fleet.RunFor(propagationLimit)
				for instance, node := range fleet.Nodes {
					if node.Up {
						require.True(t, changes[name].inForce(node), "instance %s", instance)
					}
				}
			})
		}
	}
}

// TestConcurrentChangesGetOneConflict submits two changes of the same revision through
// two instances, the second at each step of the first. Exactly one must be accepted;
// the other must get a conflict.
func TestConcurrentChangesGetOneConflict(t *testing.T) {
	for step := range maxChangeSteps {
		fleet := newMatrixFleet(1, false)
		_, _, base := fleet.Nodes["a-1"].Machine.Configuration()
		submit := func(node string, burst int64) {
			fleet.Operate(node, event.ConfigSubmitted{Operation: node, Config: testkit.Sample(newRate, burst, "a", "b", "c"), BaseRevision: base})
		}
		startStep := fleet.Steps
		submitted := false
		fleet.BeforeStep = func(at int) {
			if at-startStep == step {
				submitted = true
				submit("b-1", newBurst+1)
			}
		}
		submit("a-1", newBurst)
		fleet.RunFor(5 * clock.Second)
		require.True(t, submitted)
		outcomes := []action.OperationOutcome{fleet.Results["a-1"].Outcome, fleet.Results["b-1"].Outcome}
		require.ElementsMatch(t, []action.OperationOutcome{action.OperationDone, action.OperationConflict}, outcomes, "step %d", step)
		want := int64(newBurst)
		if outcomes[1] == action.OperationDone {
			want++
		}
		for name, node := range fleet.Nodes {
			require.Equal(t, want, configuredBurst(node), "instance %s, step %d", name, step)
		}
	}
}

// TestInstanceRestartDuringPlatformOutage verifies that an instance that starts while
// the platform is down becomes ready within a second from its peers' state.
func TestInstanceRestartDuringPlatformOutage(t *testing.T) {
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

// TestOldManifestIsIgnored delivers an older manifest in responses of the platform and
// in a peer's offer. It must not replace the newer configuration.
func TestOldManifestIsIgnored(t *testing.T) {
	fleet := newMatrixFleet(1, false)
	oldManifest := fleet.Platform.Store.Get(objectstore.Get{Name: sharder.ManifestName})
	fleet.Operate("a-1", changes["configuration"].submit)
	fleet.RunFor(propagationLimit)
	require.Equal(t, int64(newBurst), configuredBurst(fleet.Nodes["a-1"]))
	for call := range uint64(10000) {
		fleet.Operate("a-1", event.PlatformResponded{Call: call, Response: oldManifest})
	}
	fleet.Operate("a-1", event.PeerMessage{From: "b-1", Message: &peerv1.Message{Body: &peerv1.Message_ConfigOffer{ConfigOffer: &peerv1.ConfigOffer{Manifest: oldManifest.Value}}}})
	fleet.RunFor(propagationLimit)
	require.Equal(t, int64(newBurst), configuredBurst(fleet.Nodes["a-1"]))
}

// TestDomainRestartDuringPlatformOutage restarts a whole failure domain while the
// platform is down. It must serve requests with the state received from the other
// domains and the tokens that they grant.
func TestDomainRestartDuringPlatformOutage(t *testing.T) {
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
