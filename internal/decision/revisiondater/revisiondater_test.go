package revisiondater_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/revisiondater"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/storeposition"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// TestNotBefore verifies the bounds against all that was confirmed, in random order.
func TestNotBefore(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		dater, confirmed, era := revisiondater.New(), map[storeposition.Position]clock.Millis{}, int64(0)
		for range 200 {
			position := storeposition.Position{Era: era, Revision: 1 + random.Int64N(60)}
			at := clock.Millis(position.Revision*10 + random.Int64N(100))
			confirmed[position] = max(confirmed[position], at)
			dater.Confirm(at, position)
			if random.IntN(80) == 0 {
				era++
				dater.Confirm(1, storeposition.Position{Era: era, Revision: 70})
				dater.Confirm(5000, storeposition.Position{Era: era - 1, Revision: 1})
			}
			asked, want := storeposition.Position{Era: era, Revision: random.Int64N(70)}, clock.Millis(0)
			for known, at := range confirmed {
				if known.Era == era && known.Revision < asked.Revision {
					want = max(want, at)
				}
			}
			got, ok := dater.NotBefore(asked)
			require.Equal(t, want > 0, ok, "seed %d", seed)
			require.Equal(t, want, got, "seed %d", seed)
		}
		_, ok := dater.NotBefore(storeposition.Position{Era: era + 1, Revision: 80})
		require.False(t, ok, "a revision of another era")
	}
}
