package exposurekeeper_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/exposurekeeper"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const seeds = 200

// version is how a simulated version answers: the probability of a failure and of a slow
// answer, by time, route and load (its share of the requests).
type version func(at clock.Millis, route uint32, load float64) (failed, slow float64)

// play simulates a roll-out with 200 requests a second on three routes, whose answers take
// effect after the delay of the digests. It returns the final verdict, its time, and the
// requests that the target got.
func play(seed uint64, old, target version) (verdict exposurekeeper.Verdict, at clock.Millis, toTarget, all int64) {
	const step, delay = 100 * clock.Millisecond, 10
	random := rand.New(rand.NewPCG(seed, 3))
	keeper := exposurekeeper.New(order, bounds)
	seen := exposurekeeper.Observation{TargetListed: true, AllReachable: true, LongestRequest: 10 * clock.Second, Routes: map[uint32]exposurekeeper.Comparison{}}
	var pending [delay]map[uint32]exposurekeeper.Comparison
	var share float64
	for at := clock.Millis(0); at < order.Duration+10*clock.Second; at += step {
		arrived := map[uint32]exposurekeeper.Comparison{}
		for range 20 {
			route := uint32(1 + random.IntN(3))
			compared := arrived[route]
			all++
			if random.Float64() < share {
				toTarget++
				failed, slow := target(at, route, share)
				compared.Target = count(compared.Target, random, failed, slow)
			} else {
				failed, slow := old(at, route, 1-share)
				compared.Old = count(compared.Old, random, failed, slow)
			}
			arrived[route] = compared
		}
		slot := int(at/step) % delay
		for route, compared := range pending[slot] {
			sum := seen.Routes[route]
			sum.Target, sum.Old = add(sum.Target, compared.Target), add(sum.Old, compared.Old)
			seen.Routes[route] = sum
		}
		pending[slot] = arrived
		seen.Age, seen.AllRequests, seen.TargetRequests = at, all, toTarget
		if seen.Phase == exposurekeeper.Move {
			seen.MovingFor += step
		}
		if seen.IdleFor = 0; seen.MovingFor > 12*clock.Second {
			seen.IdleFor = seen.MovingFor - 12*clock.Second
		}
		decision := keeper.Decide(seen)
		share, seen.Phase = decision.Share, decision.Phase
		if decision.Verdict != exposurekeeper.Continue {
			return decision.Verdict, at, toTarget, all
		}
	}
	return exposurekeeper.Continue, order.Duration, toTarget, all
}

func count(counts exposurekeeper.Counts, random *rand.Rand, failed, slow float64) exposurekeeper.Counts {
	switch draw := random.Float64(); {
	case draw < failed:
		counts.Failed++
	case draw < failed+slow:
		counts.Slow++
	default:
		counts.OK++
	}
	return counts
}

func add(a, b exposurekeeper.Counts) exposurekeeper.Counts {
	return exposurekeeper.Counts{OK: a.OK + b.OK, Failed: a.Failed + b.Failed, Slow: a.Slow + b.Slow}
}

func constant(failed, slow float64) version {
	return func(clock.Millis, uint32, float64) (float64, float64) { return failed, slow }
}

// TestVerdicts guards against bad versions that are completed or get more than their share,
// and against good ones that are taken back for faults that both versions have.
func TestVerdicts(t *testing.T) {
	// disturbed has a burst of slow answers and a time of crashes.
	disturbed := func(at clock.Millis, _ uint32, _ float64) (float64, float64) {
		switch {
		case at > 10*clock.Second && at < 17*clock.Second:
			return 0.02, 0.4
		case at > 25*clock.Second && at < 28*clock.Second:
			return 0.2, 0.1
		default:
			return 0.01, 0.02
		}
	}
	for name, test := range map[string]struct {
		old, target version
		verdict     exposurekeeper.Verdict
	}{
		"good":                        {constant(0.002, 0.01), constant(0.002, 0.01), exposurekeeper.Complete},
		"good, beside faults of both": {disturbed, disturbed, exposurekeeper.Complete},
		"bad at once":                 {constant(0.002, 0.01), constant(0.2, 0), exposurekeeper.RollBack},
		"bad beside faults of both":   {disturbed, constant(0.4, 0.4), exposurekeeper.RollBack},
		"bad later": {constant(0.002, 0.01), func(at clock.Millis, _ uint32, _ float64) (float64, float64) {
			if at > 20*clock.Second {
				return 0.25, 0
			}
			return 0.002, 0.01
		}, exposurekeeper.RollBack},
		"bad on one route": {constant(0.002, 0.01), func(_ clock.Millis, route uint32, _ float64) (float64, float64) {
			if route == 3 {
				return 0.25, 0
			}
			return 0.002, 0.01
		}, exposurekeeper.RollBack},
		"bad under load only": {constant(0.002, 0.01), func(_ clock.Millis, _ uint32, load float64) (float64, float64) {
			if load > 0.3 {
				return 0.4, 0
			}
			return 0.002, 0.01
		}, exposurekeeper.RollBack},
		"slow": {constant(0.002, 0.01), constant(0.002, 0.3), exposurekeeper.RollBack},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				verdict, at, toTarget, _ := play(seed, test.old, test.target)
				label := fmt.Sprintf("seed %d at %s", seed, at)
				require.Equal(t, test.verdict, verdict, label)
				require.Less(t, at, order.Duration, label)
				if verdict == exposurekeeper.RollBack {
					// All requests until the deadline count, also those after the verdict.
					limit := int64(bounds.Share*200*float64(order.Duration/clock.Second)) + bounds.Slack
					require.LessOrEqual(t, toTarget, limit, label)
				}
			}
		})
	}
}
