package limitsharer_test

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/limitsharer"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

var start = limitsharer.Start{Server: "e", StartedAt: 1}

// TestHoldersKeepLimit lets all holders of a limit send whatever they may, after they have
// saved up, and verifies the most requests in four seconds and the mean.
func TestHoldersKeepLimit(t *testing.T) {
	for name, perSecond := range map[string]float64{"none at all": 0, "less than one": 0.3, "about one": 1.1, "two": 2, "three": 3, "some": 7.5, "many": 120} {
		t.Run(name, func(t *testing.T) {
			holder := limitsharer.New()
			holder.SetLimit(0, start, limitsharer.PerSecond(perSecond))
			count := holder.Holders(start)
			// All holders send at the same times, so that one of them stands for all.
			var sent []clock.Millis
			for now := 60 * clock.Second; now < 100*clock.Second; now++ {
				if holder.Available(now, start, count) {
					holder.Take(now, start, count)
					sent = append(sent, now)
				}
			}
			for i, from := range sent {
				within := 0
				for _, at := range sent[i:] {
					if at < from+4*clock.Second {
						within++
					}
				}
				require.LessOrEqual(t, float64(within*count), 1.5*4*perSecond+5)
			}
			require.LessOrEqual(t, float64(len(sent)*count), 40*math.Max(perSecond, 0.2)+float64(count)+0.25*perSecond+1)
			require.GreaterOrEqual(t, float64(len(sent)*count), 0.9*40*perSecond-float64(count))
		})
	}
}

// TestLatestLimitHolds verifies which of two instances' limits holds after they have exchanged
// them in either order.
func TestLatestLimitHolds(t *testing.T) {
	tests := map[string]struct {
		first, second func(*limitsharer.Sharer)
		limited       bool
		holders       int
	}{
		"the lower one of equal versions": {first: set(2), second: set(1), limited: true, holders: 5},
		"a limit and none":                {first: set(2), second: func(*limitsharer.Sharer) {}, limited: true, holders: 7},
		"lifted":                          {first: func(s *limitsharer.Sharer) { set(2)(s); s.Lift(2, start) }, second: set(3)},
		"named again":                     {first: func(s *limitsharer.Sharer) { set(2)(s); s.Lift(2, start); set(4)(s) }, second: set(3), limited: true, holders: 11},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			a, b := limitsharer.New(), limitsharer.New()
			test.first(a)
			test.second(b)
			a.Merge(5, b.Snapshot())
			b.Merge(5, a.Snapshot())
			for _, each := range []*limitsharer.Sharer{a, b} {
				require.Equal(t, test.limited, each.Limited(start))
				if test.limited {
					require.Equal(t, test.holders, each.Holders(start))
				}
			}
			require.Empty(t, a.Merge(6, b.Snapshot()))
			require.False(t, a.Limited(limitsharer.Start{Server: "e", StartedAt: 2}), "another start has no limit")
		})
	}
}

func set(perSecond float64) func(*limitsharer.Sharer) {
	return func(s *limitsharer.Sharer) { s.SetLimit(1, start, limitsharer.PerSecond(perSecond)) }
}
