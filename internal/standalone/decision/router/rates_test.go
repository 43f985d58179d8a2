package router_test

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
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
	l.runIn(fleet)
	return fleet
}

// runIn sends the load in the fleet.
func (l load) runIn(fleet *testkit.Fleet) {
	gap := clock.Millis(usedTokens * 1000 * 100 / (teamRate * l.percent))
	next := 0
	for at := clock.Millis(0); at < loadSpan; at += gap {
		fleet.After(at, func() {
			l.send(fleet, next)
			next++
		})
	}
	fleet.RunFor(loadSpan + 2*outage)
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

// refusedForTokens counts the requests that were refused for want of tokens.
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
	loadNames := slices.Sorted(maps.Keys(loads))
	names := append(slices.Sorted(maps.Keys(faults)), "")
	errs := make([]error, len(loadNames)*len(names))
	parallel(len(errs), func(i int) {
		fleet := loads[loadNames[i/len(names)]].run(1, names[i%len(names)])
		errs[i] = checkWindows(fleet.Admissions)
		if len(fleet.Admissions) == 0 {
			errs[i] = errors.New("nothing was admitted")
		}
	})
	for i, err := range errs {
		require.NoError(t, err, "load %q, fault %q", loadNames[i/len(names)], names[i%len(names)])
	}
}

// ratePairs is how many runs with two faults are drawn.
var ratePairs = flag.Int("ratepairs", 150, "loads with two faults to draw")

// TestTeamStaysInsideItsRateUnderPairs draws pairs of faults at two instants
// with a fixed seed.
func TestTeamStaysInsideItsRateUnderPairs(t *testing.T) {
	source := rand.New(rand.NewPCG(3, 4))
	names := slices.Sorted(maps.Keys(faults))
	loadNames := slices.Sorted(maps.Keys(loads))
	runs := make([]pairRun, *ratePairs)
	for i := range runs {
		runs[i] = pairRun{seed: source.Uint64(), load: loadNames[source.IntN(len(loadNames))]}
		for range 2 {
			runs[i].faults = append(runs[i].faults, names[source.IntN(len(names))])
			runs[i].at = append(runs[i].at, clock.Millis(source.IntN(int(loadSpan))))
		}
	}
	errs := make([]error, len(runs))
	parallel(len(runs), func(i int) { errs[i] = checkWindows(runs[i].run().Admissions) })
	for i, err := range errs {
		require.NoError(t, err, "%+v", runs[i])
	}
}

// pairRun is a load under two faults.
type pairRun struct {
	seed   uint64
	load   string
	faults []string
	at     []clock.Millis
}

func (p pairRun) run() *testkit.Fleet {
	fleet := newMatrixFleet(p.seed, false)
	for i, name := range p.faults {
		fleet.After(p.at[i], func() { faults[name](fleet) })
	}
	loads[p.load].runIn(fleet)
	return fleet
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

// TestHerdRestart replaces all instances at once, under load inside the rate:
// the new ones serve at once.
func TestHerdRestart(t *testing.T) {
	for _, down := range []clock.Millis{100, clock.Second, 4 * clock.Second} {
		t.Run(down.String(), func(t *testing.T) {
			fleet := newMatrixFleet(1, false)
			var restarted clock.Millis
			fleet.After(faultAt, func() {
				for _, name := range slices.Sorted(maps.Keys(fleet.Nodes)) {
					fleet.Nodes[name].Kill()
				}
			})
			fleet.After(faultAt+down, func() {
				restarted = fleet.Now
				for _, name := range slices.Sorted(maps.Keys(fleet.Nodes)) {
					fleet.Nodes[name].Restart()
				}
			})
			ready := clock.Millis(0)
			fleet.BeforeStep = func(int) {
				if restarted != 0 && ready == 0 && fleet.Nodes["a-1"].Ready() {
					ready = fleet.Now.Since(restarted)
				}
			}
			loads["balanced inside the rate"].runIn(fleet)
			refused, total := refusedForTokens(fleet)
			require.LessOrEqual(t, float64(refused)/float64(total), faultRefusals, "%d of %d refused", refused, total)
			require.LessOrEqual(t, ready, clock.Second)
			require.NoError(t, checkWindows(fleet.Admissions))
			t.Logf("ready after %s, %d of %d refused", ready, refused, total)
		})
	}
}
