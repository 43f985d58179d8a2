package exposurekeeper_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/exposurekeeper"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

var (
	order  = exposurekeeper.Order{Service: "engines", Target: "v2", Duration: 60 * clock.Second}
	bounds = exposurekeeper.Bounds{Share: 0.1, Slack: 50, Rollback: 5 * clock.Second}
)

// TestDecide guards against verdicts on too few answers, and against a move or a completion
// at the wrong time.
func TestDecide(t *testing.T) {
	good := map[uint32]exposurekeeper.Comparison{1: {Target: exposurekeeper.Counts{OK: 100, Failed: 1}, Old: exposurekeeper.Counts{OK: 900, Failed: 9}}}
	routes := func(target, old exposurekeeper.Counts) map[uint32]exposurekeeper.Comparison {
		return map[uint32]exposurekeeper.Comparison{1: {Target: exposurekeeper.Counts{OK: 300}, Old: exposurekeeper.Counts{OK: 3000}}, 2: {Target: target, Old: old}}
	}
	type counts = exposurekeeper.Counts
	for name, test := range map[string]struct {
		seen    exposurekeeper.Observation
		phase   exposurekeeper.Phase
		verdict exposurekeeper.Verdict
		share   float64
	}{
		"start":                         {exposurekeeper.Observation{TargetListed: true}, exposurekeeper.Trial, exposurekeeper.Continue, 0.075},
		"target is not listed":          {exposurekeeper.Observation{Age: 70 * clock.Second, AllRequests: 100}, exposurekeeper.Trial, exposurekeeper.Continue, 0},
		"share is used up":              {exposurekeeper.Observation{TargetListed: true, AllRequests: 100, TargetRequests: 36}, exposurekeeper.Trial, exposurekeeper.Continue, 0},
		"good, before the reserve":      {exposurekeeper.Observation{TargetListed: true, Age: 30 * clock.Second, Routes: good, LongestRequest: 10 * clock.Second}, exposurekeeper.Trial, exposurekeeper.Continue, 0.075},
		"good, in the reserve":          {exposurekeeper.Observation{TargetListed: true, Age: 42 * clock.Second, Routes: good, LongestRequest: 10 * clock.Second}, exposurekeeper.Move, exposurekeeper.Continue, 0.075},
		"few answers, in the reserve":   {exposurekeeper.Observation{TargetListed: true, Age: 42 * clock.Second, LongestRequest: 10 * clock.Second}, exposurekeeper.Trial, exposurekeeper.Continue, 0.075},
		"few answers, late":             {exposurekeeper.Observation{TargetListed: true, Age: 52 * clock.Second, Routes: routes(counts{OK: 3}, counts{OK: 3}), AllRequests: 10}, exposurekeeper.Move, exposurekeeper.Continue, 0.075},
		"no answer, late":               {exposurekeeper.Observation{TargetListed: true, Age: 52 * clock.Second, AllRequests: 500}, exposurekeeper.Trial, exposurekeeper.RollBack, 0},
		"none of ten answers, late":     {exposurekeeper.Observation{TargetListed: true, Age: 52 * clock.Second, AllRequests: 100, TargetRequests: 10}, exposurekeeper.Trial, exposurekeeper.RollBack, 0},
		"no requests, late":             {exposurekeeper.Observation{TargetListed: true, Age: 52 * clock.Second}, exposurekeeper.Move, exposurekeeper.Continue, 0.075},
		"bad at once":                   {exposurekeeper.Observation{TargetListed: true, Routes: routes(counts{OK: 5, Failed: 6}, counts{OK: 100})}, exposurekeeper.Stopped, exposurekeeper.RollBack, 0},
		"bad beside an unknown old one": {exposurekeeper.Observation{TargetListed: true, Routes: routes(counts{OK: 5, Failed: 7}, counts{})}, exposurekeeper.Stopped, exposurekeeper.RollBack, 0},
		"slow on one route":             {exposurekeeper.Observation{TargetListed: true, Routes: routes(counts{OK: 20, Slow: 9}, counts{OK: 300, Slow: 2})}, exposurekeeper.Stopped, exposurekeeper.RollBack, 0},
		"both are slow in a burst":      {exposurekeeper.Observation{TargetListed: true, Routes: routes(counts{OK: 20, Slow: 9}, counts{OK: 200, Slow: 90})}, exposurekeeper.Trial, exposurekeeper.Continue, 0.075},
		"four bad answers":              {exposurekeeper.Observation{TargetListed: true, Routes: routes(counts{OK: 20, Failed: 4}, counts{OK: 300})}, exposurekeeper.Trial, exposurekeeper.Continue, 0.075},
		"a low rate of many":            {exposurekeeper.Observation{TargetListed: true, Routes: routes(counts{OK: 5000, Failed: 25}, counts{OK: 50000})}, exposurekeeper.Stopped, exposurekeeper.RollBack, 0},
		"bad in the move":               {exposurekeeper.Observation{Phase: exposurekeeper.Move, TargetListed: true, Routes: routes(counts{OK: 50, Failed: 20}, counts{OK: 100})}, exposurekeeper.Stopped, exposurekeeper.RollBack, 0},
		"stopped by another":            {exposurekeeper.Observation{Phase: exposurekeeper.Stopped, Routes: good}, exposurekeeper.Stopped, exposurekeeper.RollBack, 0},
		"first half of the ramp":        {exposurekeeper.Observation{Phase: exposurekeeper.Move, MovingFor: 2250, Age: 45 * clock.Second, IdleFor: 9000, AllReachable: true}, exposurekeeper.Move, exposurekeeper.Continue, 0.5},
		"old requests are running":      {exposurekeeper.Observation{Phase: exposurekeeper.Move, MovingFor: 9000, Age: 70 * clock.Second, AllReachable: true}, exposurekeeper.Move, exposurekeeper.Continue, 1},
		"old servers are idle":          {exposurekeeper.Observation{Phase: exposurekeeper.Move, MovingFor: 9000, Age: 50 * clock.Second, IdleFor: 2000, AllReachable: true}, exposurekeeper.Move, exposurekeeper.Complete, 1},
		"an instance is missing":        {exposurekeeper.Observation{Phase: exposurekeeper.Move, MovingFor: 9000, Age: 50 * clock.Second, IdleFor: 2000}, exposurekeeper.Move, exposurekeeper.Continue, 1},
		"an instance is missing, late":  {exposurekeeper.Observation{Phase: exposurekeeper.Move, MovingFor: 9000, Age: 54 * clock.Second, IdleFor: 2000}, exposurekeeper.Move, exposurekeeper.Complete, 1},
	} {
		t.Run(name, func(t *testing.T) {
			decision := exposurekeeper.New(order, bounds).Decide(test.seen)
			require.Equal(t, test.phase, decision.Phase)
			require.Equal(t, test.verdict, decision.Verdict)
			require.InDelta(t, test.share, decision.Share, 1e-9)
		})
	}
}
