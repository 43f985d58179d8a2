package forwarder_test

import (
	"flag"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

var powerLossSeeds = flag.Int("power-loss-seeds", 0, "number of seeds for each case of TestStreamsAfterPowerLoss; 0 for the usual ones")

// powerLoss simulates releases in which all instances lose power at once. What they had in
// memory is lost; the assignments in the store are kept.
type powerLoss struct {
	*release
	// lostAt is the time of the latest loss, and resumed the streams that began before one
	// and were resumed after it, while engines of their version served.
	lostAt  clock.Millis
	resumed map[string]bool
}

// loseAll ends all instances at once and starts them after a time without power.
func (p *powerLoss) loseAll() {
	for _, current := range p.requests {
		if current.finalActions == 0 {
			current.finalActions, current.finalAction = 1, forwarder.DropRequest{}
		}
	}
	for i := range p.instances {
		p.stopped[i] = true
		p.settings[i].FirstStart = false
	}
	p.lostAt = p.now
	p.run(600)
	for i := range p.instances {
		p.stopped[i] = false
		p.startInstance(i)
		p.unstableAt[i] = p.now
	}
}

// recordResumed records the outcome of the requests that resume streams from before a loss.
func (p *powerLoss) recordResumed() {
	for _, stream := range p.streams {
		current := p.requests[stream.current]
		if p.lostAt == 0 || stream.tries < 2 || !stream.began || current.sentAt < p.lostAt || current.finalActions == 0 && !current.partDelivered {
			continue
		}
		if beganAt := p.requests[stream.first].sentAt; beganAt >= p.lostAt {
			continue
		}
		serving := true
		for version := range stream.versions {
			serving = serving && p.serving(version) >= 2
		}
		if serving {
			p.resumed[stream.first] = p.resumed[stream.first] || current.partDelivered
		}
	}
}

// TestStreamsAfterPowerLoss verifies that streams go on, and only at the version that began
// them, after all instances have lost power around a release of the engines' software: no
// instance then knows where a stream began.
func TestStreamsAfterPowerLoss(t *testing.T) {
	t.Parallel()
	releaseAt := func(from, to clock.Millis) func(p *powerLoss, elapsed clock.Millis) {
		return func(p *powerLoss, elapsed clock.Millis) {
			if elapsed >= from && elapsed < to {
				for range max(1, len(p.instances)/20) {
					p.replaceEngine()
				}
			}
		}
	}
	for name, test := range map[string]struct {
		instances, domains int
		duration           clock.Millis
		seeds              int
		losses             []clock.Millis
		release            func(p *powerLoss, elapsed clock.Millis)
		// prepare is called before each loss; nil for nothing.
		prepare func(p *powerLoss)
		// share is the least part of the streams that go on.
		share float64
	}{
		"before a release, 7 instances": {7, 3, 9 * clock.Second, 3, []clock.Millis{4 * clock.Second}, releaseAt(4*clock.Second, 7*clock.Second), nil, 0.5},
		"amid a release, 7 instances":   {7, 3, 9 * clock.Second, 3, []clock.Millis{5 * clock.Second}, releaseAt(3*clock.Second, 3600), nil, 0.5},
		"after a release, 7 instances":  {7, 3, 14 * clock.Second, 3, []clock.Millis{11 * clock.Second}, releaseAt(2*clock.Second, 6*clock.Second), nil, 0.5},
		"two losses, 7 instances":       {7, 3, 17 * clock.Second, 3, []clock.Millis{5 * clock.Second, 13 * clock.Second}, releaseAt(2*clock.Second, 2600), nil, 0.5},
		"during each step, 7 instances": {7, 3, 12 * clock.Second, 3, []clock.Millis{3200, 6200, 9200}, releaseAt(3*clock.Second, 10*clock.Second), nil, 0},
		"a domain is cut off before, 7 instances": {7, 3, 9 * clock.Second, 3, []clock.Millis{5 * clock.Second}, releaseAt(3*clock.Second, 3600), func(p *powerLoss) {
			p.cutDomain, p.cutUntil = 1, p.now.Add(clock.Second)
		}, 0.5},
		"the store is away, 7 instances": {7, 3, 9 * clock.Second, 3, []clock.Millis{5 * clock.Second}, releaseAt(3*clock.Second, 3600), func(p *powerLoss) {
			for i := range p.instances {
				p.storeCutOff[i] = true
			}
		}, 0},
		"some do not reach the store during a release, 7 instances": {7, 3, 9 * clock.Second, 3, []clock.Millis{6 * clock.Second}, func(p *powerLoss, elapsed clock.Millis) {
			p.storeCutOff[1], p.storeCutOff[4] = elapsed > 2*clock.Second && elapsed < 6*clock.Second, elapsed > 2*clock.Second && elapsed < 6*clock.Second
			releaseAt(3*clock.Second, 3600)(p, elapsed)
		}, nil, 0},
		"amid a release, 67 instances":  {67, 3, 8 * clock.Second, 1, []clock.Millis{6 * clock.Second}, releaseAt(3*clock.Second, 3600), nil, 0.5},
		"amid a release, 295 instances": {295, 5, 5 * clock.Second, 1, []clock.Millis{4 * clock.Second}, releaseAt(500, 1100), nil, 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if raceDetector && test.instances > 7 {
				t.Skip("a state machine has no concurrency, and the race detector takes minutes at this size")
			}
			seeds := test.seeds
			if *powerLossSeeds > 0 {
				seeds = *powerLossSeeds
			}
			resumed := share{}
			for seed := range uint64(seeds) {
				p := &powerLoss{release: newRelease(t, seed, test.instances, test.domains, []string{"v1", "v2", "v3"}), resumed: map[string]bool{}}
				p.callersStop = true
				p.assignments = map[string]forwarder.Assignment{}
				p.run(1500)
				start, losses := p.now, test.losses
				p.play(test.duration, func(*release) {
					test.release(p, p.now.Since(start))
					p.recordResumed()
					if len(losses) > 0 && p.now.Since(start) >= losses[0] {
						losses = losses[1:]
						if test.prepare != nil {
							test.prepare(p)
						}
						p.loseAll()
					}
				})
				p.recordResumed()
				p.requireUnmixed(seed)
				served := 0
				for _, goesOn := range p.resumed {
					if goesOn {
						served++
					}
				}
				t.Logf("seed %d: %d of %d streams went on, %d writes", seed, served, len(p.resumed), p.assignmentWrites)
				require.LessOrEqual(t, p.assignmentWrites, 40, "seed %d", seed)
				resumed.all, resumed.served = resumed.all+len(p.resumed), resumed.served+served
			}
			require.GreaterOrEqual(t, resumed.all, 4, "streams are resumed")
			require.GreaterOrEqual(t, resumed.fraction(), test.share, "%+v", resumed)
		})
	}
}
