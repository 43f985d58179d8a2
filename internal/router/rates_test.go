package router_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/action"
	"github.com/hyssopdoor/hyssopdoor/internal/testkit"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// The load of the rate tests, in tokens.
const (
	teamRate     = 3000
	teamBurst    = 30000
	promptTokens = 110
	maxTokens    = 20
	usedTokens   = promptTokens + maxTokens/2
	// loadSpan is how long requests are sent, faultAt when the fault comes.
	loadSpan = 20 * clock.Second
	faultAt  = 5 * clock.Second
)

// load is requests at an even pace over instances.
type load struct {
	nodes []string
	// percent is the demand as a part of the team's rate.
	percent int
}

var loads = map[string]load{
	"balanced inside the rate": {[]string{"a-1", "b-1", "a-2", "c-1"}, 80},
	"skewed inside the rate":   {[]string{"a-1", "a-2"}, 80},
	"balanced, five-fold":      {[]string{"a-1", "b-1", "a-2", "c-1"}, 500},
	"skewed, five-fold":        {[]string{"a-1", "a-2"}, 500},
}

// run sends the load, with the fault if there is one, and returns the fleet.
func (l load) run(seed uint64, name string) *testkit.Fleet {
	fleet := newMatrixFleet(seed, false)
	if name != "" {
		fleet.After(faultAt, func() { faults[name](fleet) })
	}
	gap := clock.Millis(usedTokens * 1000 * 100 / (teamRate * l.percent))
	next := 0
	for at := clock.Millis(0); at < loadSpan; at += gap {
		fleet.After(at, func() {
			l.send(fleet, next)
			next++
		})
	}
	fleet.RunFor(loadSpan + 2*outage)
	return fleet
}

// send sends one request to the next instance that is up, as a balancer does.
func (l load) send(fleet *testkit.Fleet, next int) {
	for i := range l.nodes {
		node := l.nodes[(next+i)%len(l.nodes)]
		if fleet.Nodes[node].Ready() {
			fleet.Send(node, testkit.Verdict(promptTokens, maxTokens))
			return
		}
	}
}

// checkWindows holds what was admitted in every window to the team's rate and
// burst.
func checkWindows(admissions []testkit.Admission) error {
	worst := int64(0) // worst is the most that a window which ends now has above the rate.
	last := clock.Millis(0)
	for _, admission := range admissions {
		worst = max(0, worst-teamRate*int64(admission.At.Since(last))/int64(clock.Second))
		worst += admission.Used
		last = admission.At
		if worst > teamBurst {
			return fmt.Errorf("at %d, a window has %d tokens above rate x window, the burst is %d", admission.At, worst, teamBurst)
		}
	}
	return nil
}

// refusedFor counts the requests that were refused for want of tokens.
func refusedForTokens(fleet *testkit.Fleet) (refused, total int) {
	for _, request := range fleet.Requests {
		total++
		code := request.Refusal.Code
		if request.Refused() && (code == action.CodeOverRate || code == action.CodeRightsAway) {
			refused++
		}
	}
	return refused, total
}

// TestTeamStaysInsideItsRate holds every window of every load under every fault
// to the rate and burst, over all instances together.
func TestTeamStaysInsideItsRate(t *testing.T) {
	for _, loadName := range slices.Sorted(maps.Keys(loads)) {
		for _, name := range append(slices.Sorted(maps.Keys(faults)), "") {
			fleet := loads[loadName].run(1, name)
			require.NotEmpty(t, fleet.Admissions)
			require.NoError(t, checkWindows(fleet.Admissions), "load %q, fault %q", loadName, name)
		}
	}
}

// Wrongful refusals while the demand is inside the rate, at most.
const (
	calmRefusals  = 1.0 / 1000
	faultRefusals = 1.0 / 100
)

// TestFewWrongfulRefusals holds the refusals for want of tokens while the demand
// is inside the rate to the stated shares.
func TestFewWrongfulRefusals(t *testing.T) {
	for _, loadName := range []string{"balanced inside the rate", "skewed inside the rate"} {
		for _, name := range append(slices.Sorted(maps.Keys(faults)), "") {
			t.Run(loadName+"/"+name, func(t *testing.T) {
				refused, total := refusedForTokens(loads[loadName].run(1, name))
				share := float64(refused) / float64(total)
				bound := faultRefusals
				if name == "" {
					bound = calmRefusals
				}
				require.LessOrEqual(t, share, bound, "%d of %d refused", refused, total)
			})
		}
	}
}
