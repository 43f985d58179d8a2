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
	// maxChangeSteps is slightly more than the number of steps that a change without
	// faults takes.
	maxChangeSteps = 60
	newBurst       = 40000
	newRate        = 3000
)

// operatorChange is a change by an operator and a check that it is in force.
type operatorChange struct {
	submit  event.Event
	inForce func(instance *testkit.Instance) bool
}

func configuredBurst(instance *testkit.Instance) int64 {
	configuration, _, _ := instance.Router.Configuration()
	return configuration.Teams["press"].Burst
}

var changes = map[string]operatorChange{
	"configuration": {
		submit:  event.ConfigSubmitted{Operation: "change", Config: testkit.SampleConfig(newRate, newBurst, "a", "b", "c")},
		inForce: func(instance *testkit.Instance) bool { return configuredBurst(instance) == newBurst },
	},
	"key withdrawn": {
		submit: event.KeyWithdrawalRequested{Operation: "change", ID: "id-press"},
		inForce: func(instance *testkit.Instance) bool {
			configuration, _, _ := instance.Router.Configuration()
			_, known := configuration.KeyByID("id-press")
			return !known
		},
	},
}

// runChangeUnderFault submits the change at instance a-1 and injects the fault before
// the step.
func runChangeUnderFault(name, faultName string, step int) error {
	cluster := newMatrixCluster(1, false)
	startStep := cluster.Steps
	cluster.BeforeStep = func(at int) {
		if at-startStep == step {
			faults[faultName](cluster)
		}
	}
	cluster.SubmitEvent("a-1", changes[name].submit)
	cluster.RunFor(2*outageDuration + propagationLimit)
	if err := checkChange(cluster, changes[name], faultName); err != nil {
		return fmt.Errorf("%s, fault %q at step %d: %w\n%s", name, faultName, step, err, strings.Join(cluster.Trace, "\n"))
	}
	return nil
}

// checkChange verifies that the operator's result matches the configuration in force
// and that no instance went back to an older revision.
func checkChange(cluster *testkit.Cluster, change operatorChange, faultName string) error {
	result, finished := cluster.Results["change"]
	inForce := 0
	for _, name := range slices.Sorted(maps.Keys(cluster.Instances)) {
		instance := cluster.Instances[name]
		if change.inForce(instance) {
			inForce++
		}
		for i, revision := range instance.Revisions {
			if i > 0 && revision < instance.Revisions[i-1] && revision != 0 {
				return fmt.Errorf("instance %s went from revision %d to %d", name, instance.Revisions[i-1], revision)
			}
		}
	}
	if faultName == "operators race" {
		return nil
	}
	switch {
	case finished && result.Outcome == action.OperationDone && inForce < len(cluster.Instances):
		return fmt.Errorf("the change is accepted, but in force on %d of %d instances", inForce, len(cluster.Instances))
	case finished && result.Outcome == action.OperationFailed && inForce > 0:
		return fmt.Errorf("the operation failed without effect, but the change is in force on %d instances", inForce)
	case inForce > 0 && inForce < len(cluster.Instances):
		return fmt.Errorf("the change is in force on %d of %d instances", inForce, len(cluster.Instances))
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
				cluster := newMatrixCluster(1, false)
				if faultName != "" {
					faults[faultName](cluster)
				}
				cluster.SubmitEvent("b-1", changes[name].submit)
				for cluster.Results["change"].Outcome == "" {
					cluster.RunFor(10 * clock.Millisecond)
				}
				require.Equal(t, action.OperationDone, cluster.Results["change"].Outcome)
				cluster.RunFor(propagationLimit)
				for address, instance := range cluster.Instances {
					if instance.Up {
						require.True(t, changes[name].inForce(instance), "instance %s", address)
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
		cluster := newMatrixCluster(1, false)
		_, _, base := cluster.Instances["a-1"].Router.Configuration()
		submit := func(instance string, burst int64) {
			cluster.SubmitEvent(instance, event.ConfigSubmitted{Operation: instance, Config: testkit.SampleConfig(newRate, burst, "a", "b", "c"), BaseRevision: base})
		}
		startStep := cluster.Steps
		submitted := false
		cluster.BeforeStep = func(at int) {
			if at-startStep == step {
				submitted = true
				submit("b-1", newBurst+1)
			}
		}
		submit("a-1", newBurst)
		cluster.RunFor(5 * clock.Second)
		require.True(t, submitted)
		outcomes := []action.OperationOutcome{cluster.Results["a-1"].Outcome, cluster.Results["b-1"].Outcome}
		require.ElementsMatch(t, []action.OperationOutcome{action.OperationDone, action.OperationConflict}, outcomes, "step %d", step)
		want := int64(newBurst)
		if outcomes[1] == action.OperationDone {
			want++
		}
		for name, instance := range cluster.Instances {
			require.Equal(t, want, configuredBurst(instance), "instance %s, step %d", name, step)
		}
	}
}

// TestInstanceRestartDuringPlatformOutage verifies that an instance that starts while
// the platform is down becomes ready within a second from its peers' state.
func TestInstanceRestartDuringPlatformOutage(t *testing.T) {
	cluster := newMatrixCluster(1, false)
	cluster.Platform.Down = true
	cluster.RunFor(2 * clock.Second)
	cluster.Instances["a-2"].Kill()
	cluster.RunFor(2 * clock.Second)
	cluster.Instances["a-2"].Restart()
	cluster.RunFor(clock.Second)
	require.True(t, cluster.Instances["a-2"].Ready())
	request := cluster.Send("a-2", testkit.ModelRequest(promptTokens, maxTokens))
	cluster.RunFor(clock.Second)
	require.True(t, request.HasResponse(), "%+v", request.Refusal)
}

// TestOldManifestIsIgnored delivers an older manifest in responses of the platform and
// in a peer's offer. It must not replace the newer configuration.
func TestOldManifestIsIgnored(t *testing.T) {
	cluster := newMatrixCluster(1, false)
	oldManifest := cluster.Platform.Store.Get(objectstore.Get{Name: sharder.ManifestName})
	cluster.SubmitEvent("a-1", changes["configuration"].submit)
	cluster.RunFor(propagationLimit)
	require.Equal(t, int64(newBurst), configuredBurst(cluster.Instances["a-1"]))
	for call := range uint64(10000) {
		cluster.SubmitEvent("a-1", event.PlatformResponded{Call: call, Response: oldManifest})
	}
	cluster.SubmitEvent("a-1", event.PeerMessage{From: "b-1", Message: &peerv1.Message{Body: &peerv1.Message_ConfigOffer{ConfigOffer: &peerv1.ConfigOffer{Manifest: oldManifest.Value}}}})
	cluster.RunFor(propagationLimit)
	require.Equal(t, int64(newBurst), configuredBurst(cluster.Instances["a-1"]))
}

// TestDomainRestartDuringPlatformOutage restarts a whole failure domain while the
// platform is down. It must serve requests with the state received from the other
// domains and the tokens that they grant.
func TestDomainRestartDuringPlatformOutage(t *testing.T) {
	cluster := newMatrixCluster(1, false)
	cluster.Platform.Down = true
	cluster.RunFor(2 * clock.Second)
	for _, name := range []string{"a-1", "a-2"} {
		cluster.Instances[name].Kill()
	}
	cluster.RunFor(clock.Second)
	for _, name := range []string{"a-1", "a-2"} {
		cluster.Instances[name].Restart()
	}
	cluster.RunFor(clock.Second)
	for _, name := range []string{"a-1", "a-2"} {
		require.True(t, cluster.Instances[name].Ready(), name)
		request := cluster.Send(name, testkit.ModelRequest(promptTokens, maxTokens))
		cluster.RunFor(clock.Second)
		require.True(t, request.HasResponse(), "%s: %+v", name, request.Refusal)
	}
}
