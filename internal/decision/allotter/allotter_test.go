package allotter_test

import (
	"math/rand/v2"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/allotter"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	team  = "press"
	rate  = int64(100_000) // rate is in tokens a second.
	burst = int64(100_000)
	// size is the tokens of a request.
	size = int64(5_000)
	// window and slack are how the users judge a limit: in any window, rate times
	// window plus burst, a tenth more, plus the slack.
	window = 8 * clock.Second
	slack  = int64(110_000)
)

// allowed is the most that the fleet may admit in any window.
const allowed = (rate*int64(window)/1000+burst)*11/10 + slack

// fleet is instances that tell each other what they admitted.
type fleet struct {
	shares []*allotter.Allotter
	// side is the side of a cut that an instance is on; instances hear their own side.
	side     []int
	admitted []sending
}

type sending struct {
	at     clock.Millis
	tokens int64
}

func newFleet(members int, first int64) *fleet {
	f := &fleet{side: make([]int, members)}
	for range members {
		shares := allotter.New()
		shares.Limit(0, team, rate, burst, first)
		f.shares = append(f.shares, shares)
	}
	return f
}

// tell lets each instance hear the others of its side.
func (f *fleet) tell(now clock.Millis) {
	for i, from := range f.shares {
		for j, to := range f.shares {
			if i != j && f.side[i] == f.side[j] {
				to.Heard(now, strconv.Itoa(i), "1", from.Spent(), from.Levels(now))
			}
		}
	}
}

// count tells each instance how many of its side it hears.
func (f *fleet) count(now clock.Millis) {
	for i, shares := range f.shares {
		heard := 0
		for j := range f.shares {
			if f.side[i] == f.side[j] {
				heard++
			}
		}
		shares.Members(now, heard, len(f.shares))
	}
}

// most returns the most tokens admitted in any window.
func (f *fleet) most() int64 {
	var most, sum int64
	first := 0
	for _, s := range f.admitted {
		sum += s.tokens
		for s.at.Since(f.admitted[first].at) >= window {
			sum -= f.admitted[first].tokens
			first++
		}
		most = max(most, sum)
	}
	return most
}

// TestTeamOverItsRate replays a team that sends several times its rate, through
// instances that get uneven parts, with and without cuts and restarts.
func TestTeamOverItsRate(t *testing.T) {
	tests := map[string]struct {
		members int
		// cutAt and restartAt are when the fleet splits in three, and when an instance
		// starts again without memory; 0 for never.
		cutAt     clock.Millis
		restartAt clock.Millis
		// served is the least part of the limit that must be admitted.
		served float64
	}{
		"all hear each other":            {members: 8, served: 0.95},
		"three sides for ten seconds":    {members: 9, cutAt: 6 * clock.Second, served: 0.9},
		"one instance starts again":      {members: 8, restartAt: 6 * clock.Second, served: 0.95},
		"a start again in a cut":         {members: 9, cutAt: 5 * clock.Second, restartAt: 7 * clock.Second, served: 0.9},
		"many instances, few messages":   {members: 40, served: 0.9},
		"a single instance of its fleet": {members: 1, served: 0.95},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			const length = 30 * clock.Second
			source := rand.New(rand.NewPCG(1, 2))
			f := newFleet(test.members, burst)
			for now := clock.Millis(1); now < length; now += 10 {
				cut := test.cutAt > 0 && now >= test.cutAt && now < test.cutAt+10*clock.Second
				for i := range f.side {
					f.side[i] = 0
					if cut {
						f.side[i] = i % 3
					}
				}
				if now%150 < 10 {
					f.tell(now)
				}
				// A silent peer is noticed after some digests.
				if now%700 < 10 {
					f.count(now)
				}
				if test.restartAt > 0 && now >= test.restartAt && now < test.restartAt+10 {
					f.shares[0] = allotter.New()
					f.shares[0].Members(now, 1, test.members)
					f.shares[0].Limit(now, team, rate, burst, burst/4)
				}
				// Seven times the rate in all, half of it through two instances.
				for range 7 * rate / size / 100 {
					at := source.IntN(test.members)
					if source.IntN(2) == 0 {
						at = source.IntN(min(2, test.members))
					}
					if f.shares[at].Take(now, team, size) {
						f.admitted = append(f.admitted, sending{at: now, tokens: size})
					}
				}
			}
			require.LessOrEqual(t, f.most(), allowed, "tokens in the worst window")
			var all int64
			for _, s := range f.admitted {
				all += s.tokens
			}
			limit := rate*int64(length)/1000 + burst
			require.GreaterOrEqual(t, float64(all)/float64(limit), test.served, "part of the limit that was admitted")
		})
	}
}

// TestTeamInsideItsRate holds that a team which stays inside its rate is never
// refused, however uneven its requests are spread.
func TestTeamInsideItsRate(t *testing.T) {
	source := rand.New(rand.NewPCG(3, 4))
	f := newFleet(8, burst)
	f.count(1)
	for now := clock.Millis(1); now < 30*clock.Second; now += 10 {
		if now%150 < 10 {
			f.tell(now)
		}
		// Four fifths of the rate, by one request each 62 ms, nine in ten at one place.
		if now%62 >= 10 {
			continue
		}
		at := 0
		if source.IntN(10) == 0 {
			at = 1 + source.IntN(7)
		}
		require.True(t, f.shares[at].Take(now, team, size), "refused at %s", now)
	}
}

// TestReturnedTokens holds that a request which did not run costs nothing.
func TestReturnedTokens(t *testing.T) {
	shares := allotter.New()
	shares.Limit(0, team, rate, burst, burst)
	for range 1000 {
		require.True(t, shares.Take(1, team, size))
		shares.Return(team, size)
	}
	require.Empty(t, shares.Spent())
}

// TestWaitIsWhenItFits holds that a refused team is told a time at which its request
// is admitted.
func TestWaitIsWhenItFits(t *testing.T) {
	shares := allotter.New()
	shares.Limit(0, team, rate, burst, 0)
	require.False(t, shares.Take(0, team, size))
	wait := shares.Wait(0, team, size)
	require.Equal(t, 50*clock.Millisecond, wait)
	require.True(t, shares.Take(wait+1, team, size))
}
