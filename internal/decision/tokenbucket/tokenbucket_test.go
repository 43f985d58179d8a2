package tokenbucket_test

import (
	"math/rand/v2"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/tokenbucket"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	team  = "press"
	rate  = int64(100_000) // rate is in tokens per second.
	burst = int64(100_000)
	// requestTokens is the number of tokens of a request.
	requestTokens = int64(5_000)
	// window and slack define the acceptance criterion for a limit: in any window
	// at most rate times window plus burst, plus ten percent, plus the slack.
	window = 8 * clock.Second
	slack  = int64(110_000)
)

// maxAdmitted is the number of tokens that all instances may admit in any window.
const maxAdmitted = (rate*int64(window)/1000+burst)*11/10 + slack

// cluster is a set of instances that broadcast the tokens that they admitted.
type cluster struct {
	limiters []*tokenbucket.Limiter
	// side is the side of the partition of each instance; messages reach only instances
	// of the same side.
	side     []int
	admitted []admission
}

type admission struct {
	at     clock.Millis
	tokens int64
}

func newCluster(instances int, initial int64) *cluster {
	c := &cluster{side: make([]int, instances)}
	for range instances {
		limiter := tokenbucket.New()
		limiter.SetLimit(0, team, rate, burst, initial)
		c.limiters = append(c.limiters, limiter)
	}
	return c
}

// broadcast sends the counts of each instance to the others of its side.
func (c *cluster) broadcast(now clock.Millis) {
	for i, from := range c.limiters {
		for j, to := range c.limiters {
			if i != j && c.side[i] == c.side[j] {
				to.ReceivePeer(now, strconv.Itoa(i), "1", from.Admitted(), from.Levels(now))
			}
		}
	}
}

// setMembers sets the number of reachable instances at each instance.
func (c *cluster) setMembers(now clock.Millis) {
	for i, limiter := range c.limiters {
		reachable := 0
		for j := range c.limiters {
			if c.side[i] == c.side[j] {
				reachable++
			}
		}
		limiter.SetMembers(now, reachable, len(c.limiters))
	}
}

// maxInWindow returns the maximum number of tokens admitted in any window.
func (c *cluster) maxInWindow() int64 {
	var most, sum int64
	first := 0
	for _, a := range c.admitted {
		sum += a.tokens
		for a.at.Since(c.admitted[first].at) >= window {
			sum -= c.admitted[first].tokens
			first++
		}
		most = max(most, sum)
	}
	return most
}

// TestTeamOverItsRate simulates a team that sends several times its rate, unevenly
// distributed over the instances, with and without partitions and restarts.
func TestTeamOverItsRate(t *testing.T) {
	tests := map[string]struct {
		instances int
		// partitionAt is the time of a partition into three sides, and restartAt the
		// time when an instance restarts without its counts; 0 for never.
		partitionAt clock.Millis
		restartAt   clock.Millis
		// minAdmitted is the fraction of the limit that must be admitted.
		minAdmitted float64
	}{
		"no partition":                   {instances: 8, minAdmitted: 0.95},
		"three sides for ten seconds":    {instances: 9, partitionAt: 6 * clock.Second, minAdmitted: 0.9},
		"one instance restarts":          {instances: 8, restartAt: 6 * clock.Second, minAdmitted: 0.95},
		"a restart during a partition":   {instances: 9, partitionAt: 5 * clock.Second, restartAt: 7 * clock.Second, minAdmitted: 0.9},
		"many instances, few broadcasts": {instances: 40, minAdmitted: 0.9},
		"a single instance":              {instances: 1, minAdmitted: 0.95},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			const duration = 30 * clock.Second
			random := rand.New(rand.NewPCG(1, 2))
			c := newCluster(test.instances, burst)
			for now := clock.Millis(1); now < duration; now += 10 {
				partitioned := test.partitionAt > 0 && now >= test.partitionAt && now < test.partitionAt+10*clock.Second
				for i := range c.side {
					c.side[i] = 0
					if partitioned {
						c.side[i] = i % 3
					}
				}
				if now%150 < 10 {
					c.broadcast(now)
				}
				// An unreachable peer is detected after several broadcasts.
				if now%700 < 10 {
					c.setMembers(now)
				}
				if test.restartAt > 0 && now >= test.restartAt && now < test.restartAt+10 {
					c.limiters[0] = tokenbucket.New()
					c.limiters[0].SetMembers(now, 1, test.instances)
					c.limiters[0].SetLimit(now, team, rate, burst, burst/4)
				}
				// Seven times the rate in total, half of it through two instances.
				for range 7 * rate / requestTokens / 100 {
					i := random.IntN(test.instances)
					if random.IntN(2) == 0 {
						i = random.IntN(min(2, test.instances))
					}
					if c.limiters[i].Acquire(now, team, requestTokens) {
						c.admitted = append(c.admitted, admission{at: now, tokens: requestTokens})
					}
				}
			}
			require.LessOrEqual(t, c.maxInWindow(), maxAdmitted, "tokens in the worst window")
			var total int64
			for _, a := range c.admitted {
				total += a.tokens
			}
			limit := rate*int64(duration)/1000 + burst
			require.GreaterOrEqual(t, float64(total)/float64(limit), test.minAdmitted, "fraction of the limit that was admitted")
		})
	}
}

// TestTeamWithinItsRate verifies that a team which stays within its rate is never
// rejected, however unevenly its requests are distributed.
func TestTeamWithinItsRate(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	c := newCluster(8, burst)
	c.setMembers(1)
	for now := clock.Millis(1); now < 30*clock.Second; now += 10 {
		if now%150 < 10 {
			c.broadcast(now)
		}
		// Four fifths of the rate, as one request each 62 ms, nine in ten at one instance.
		if now%62 >= 10 {
			continue
		}
		i := 0
		if random.IntN(10) == 0 {
			i = 1 + random.IntN(7)
		}
		require.True(t, c.limiters[i].Acquire(now, team, requestTokens), "rejected at %s", now)
	}
}

// TestReleasedTokens verifies that a request which did not run costs nothing.
func TestReleasedTokens(t *testing.T) {
	limiter := tokenbucket.New()
	limiter.SetLimit(0, team, rate, burst, burst)
	for range 1000 {
		require.True(t, limiter.Acquire(1, team, requestTokens))
		limiter.Release(team, requestTokens)
	}
	require.Empty(t, limiter.Admitted())
}

// TestWaitTime verifies that a rejected request is admitted after the wait time.
func TestWaitTime(t *testing.T) {
	limiter := tokenbucket.New()
	limiter.SetLimit(0, team, rate, burst, 0)
	require.False(t, limiter.Acquire(0, team, requestTokens))
	wait := limiter.WaitTime(0, team, requestTokens)
	require.Equal(t, 50*clock.Millisecond, wait)
	require.True(t, limiter.Acquire(wait+1, team, requestTokens))
}
