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
	// loadDuration is the time for which requests are sent. The fault is injected at
	// faultAt after the start.
	loadDuration = 20 * clock.Second
	faultAt      = 5 * clock.Second
)

// load is a constant rate of requests, distributed round-robin over instances.
type load struct {
	instances []string
	// demandPercent is the demand in percent of the team's rate.
	demandPercent int
}

var loads = map[string]load{
	"balanced inside the rate": {[]string{"a-1", "b-1", "a-2", "c-1"}, 80},
	"skewed inside the rate":   {[]string{"a-1", "a-2"}, 80},
	"balanced, five-fold":      {[]string{"a-1", "b-1", "a-2", "c-1"}, 500},
	"skewed, five-fold":        {[]string{"a-1", "a-2"}, 500},
}

// runWithFault sends the load under the named fault and returns the cluster. An empty
// name means no fault.
func (l load) runWithFault(seed uint64, name string) *testkit.Cluster {
	cluster := newMatrixCluster(seed, false)
	if name != "" {
		cluster.AfterFunc(faultAt, func() { faults[name](cluster) })
	}
	l.runOn(cluster)
	return cluster
}

// runOn sends the load to the cluster.
func (l load) runOn(cluster *testkit.Cluster) {
	interval := clock.Millis(usedTokens * 1000 * 100 / (teamRate * l.demandPercent))
	next := 0
	for at := clock.Millis(0); at < loadDuration; at += interval {
		cluster.AfterFunc(at, func() {
			l.sendNext(cluster, next)
			next++
		})
	}
	cluster.RunFor(loadDuration + 2*outageDuration)
}

// sendNext sends one request to the next ready instance, as a load balancer does.
func (l load) sendNext(cluster *testkit.Cluster, first int) {
	for i := range l.instances {
		instance := l.instances[(first+i)%len(l.instances)]
		if cluster.Instances[instance].Ready() {
			cluster.Send(instance, testkit.ModelRequest(promptTokens, maxTokens))
			return
		}
	}
}

// checkRateLimit verifies that the tokens admitted in every time window stay within
// the team's rate and burst.
func checkRateLimit(admissions []testkit.Admission) error {
	excess := int64(0) // excess is the maximum over all windows ending now of the tokens above the rate.
	lastAt := clock.Millis(0)
	for _, admission := range admissions {
		excess = max(0, excess-teamRate*int64(admission.At.Since(lastAt))/int64(clock.Second))
		excess += admission.NetTokens
		lastAt = admission.At
		if excess > teamBurst {
			return fmt.Errorf("at %d, a window has %d tokens above rate x window, the burst is %d", admission.At, excess, teamBurst)
		}
	}
	return nil
}

// countTokenRefusals counts all requests and those refused for lack of tokens.
func countTokenRefusals(cluster *testkit.Cluster) (refused, total int) {
	for _, request := range cluster.Requests {
		total++
		code := request.Refusal.Code
		if request.Refused() && (code == action.CodeOverRate || code == action.CodeQuotaUnavailable) {
			refused++
		}
	}
	return refused, total
}

// TestTeamRateLimit verifies that a team stays within its rate and burst in every time
// window, over all instances together, for every load under every fault.
func TestTeamRateLimit(t *testing.T) {
	loadNames := slices.Sorted(maps.Keys(loads))
	names := append(slices.Sorted(maps.Keys(faults)), "")
	errs := make([]error, len(loadNames)*len(names))
	parallel(len(errs), func(i int) {
		cluster := loads[loadNames[i/len(names)]].runWithFault(1, names[i%len(names)])
		errs[i] = checkRateLimit(cluster.Admissions)
		if len(cluster.Admissions) == 0 {
			errs[i] = errors.New("nothing was admitted")
		}
	})
	for i, err := range errs {
		require.NoError(t, err, "load %q, fault %q", loadNames[i/len(names)], names[i%len(names)])
	}
}

// ratePairCount is the number of runs with random pairs of faults.
var ratePairCount = flag.Int("ratepairs", 150, "number of runs with random pairs of faults")

// TestTeamRateLimitUnderFaultPairs verifies the rate limit under random pairs of faults
// at random times, from a fixed seed.
func TestTeamRateLimitUnderFaultPairs(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	names := slices.Sorted(maps.Keys(faults))
	loadNames := slices.Sorted(maps.Keys(loads))
	runs := make([]faultPairRun, *ratePairCount)
	for i := range runs {
		runs[i] = faultPairRun{seed: rng.Uint64(), load: loadNames[rng.IntN(len(loadNames))]}
		for range 2 {
			runs[i].faults = append(runs[i].faults, names[rng.IntN(len(names))])
			runs[i].at = append(runs[i].at, clock.Millis(rng.IntN(int(loadDuration))))
		}
	}
	errs := make([]error, len(runs))
	parallel(len(runs), func(i int) { errs[i] = checkRateLimit(runs[i].run().Admissions) })
	for i, err := range errs {
		require.NoError(t, err, "%+v", runs[i])
	}
}

// faultPairRun is a load under two faults.
type faultPairRun struct {
	seed   uint64
	load   string
	faults []string
	at     []clock.Millis
}

func (p faultPairRun) run() *testkit.Cluster {
	cluster := newMatrixCluster(p.seed, false)
	for i, name := range p.faults {
		cluster.AfterFunc(p.at[i], func() { faults[name](cluster) })
	}
	loads[p.load].runOn(cluster)
	return cluster
}

// Maximum shares of refused requests while the demand is within the rate.
const (
	maxRefusalsWithoutFault = 1.0 / 1000
	maxRefusalsUnderFault   = 1.0 / 100
)

// TestFalseRefusalShare verifies that, while the demand is within the rate, the share
// of requests refused for lack of tokens stays within the limits above.
func TestFalseRefusalShare(t *testing.T) {
	for _, loadName := range []string{"balanced inside the rate", "skewed inside the rate"} {
		for _, name := range append(slices.Sorted(maps.Keys(faults)), "") {
			t.Run(loadName+"/"+name, func(t *testing.T) {
				refused, total := countTokenRefusals(loads[loadName].runWithFault(1, name))
				share := float64(refused) / float64(total)
				limit := maxRefusalsUnderFault
				if name == "" {
					limit = maxRefusalsWithoutFault
				}
				require.LessOrEqual(t, share, limit, "%d of %d refused", refused, total)
			})
		}
	}
}

// TestRestartOfAllInstances restarts all instances at the same time, under load within
// the rate. They must be ready within a second of the restart.
func TestRestartOfAllInstances(t *testing.T) {
	for _, downtime := range []clock.Millis{100, clock.Second, 4 * clock.Second} {
		t.Run(downtime.String(), func(t *testing.T) {
			cluster := newMatrixCluster(1, false)
			var restartedAt clock.Millis
			cluster.AfterFunc(faultAt, func() {
				for _, name := range slices.Sorted(maps.Keys(cluster.Instances)) {
					cluster.Instances[name].Kill()
				}
			})
			cluster.AfterFunc(faultAt+downtime, func() {
				restartedAt = cluster.Now
				for _, name := range slices.Sorted(maps.Keys(cluster.Instances)) {
					cluster.Instances[name].Restart()
				}
			})
			readyAfter := clock.Millis(0)
			cluster.BeforeStep = func(int) {
				if restartedAt != 0 && readyAfter == 0 && cluster.Instances["a-1"].Ready() {
					readyAfter = cluster.Now.Since(restartedAt)
				}
			}
			loads["balanced inside the rate"].runOn(cluster)
			refused, total := countTokenRefusals(cluster)
			require.LessOrEqual(t, float64(refused)/float64(total), maxRefusalsUnderFault, "%d of %d refused", refused, total)
			require.LessOrEqual(t, readyAfter, clock.Second)
			require.NoError(t, checkRateLimit(cluster.Admissions))
			t.Logf("ready after %s, %d of %d refused", readyAfter, refused, total)
		})
	}
}
