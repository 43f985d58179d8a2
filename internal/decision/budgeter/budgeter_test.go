package budgeter_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/budgeter"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	ratio  = 0.2
	extra  = 56
	window = 10 * clock.Second
)

// TestThirdOfServersFails replays requests of which a third fails and is wanted
// again, at several instances of which one forgets its past: within any window the
// repeats of all stay inside the budget.
func TestThirdOfServersFails(t *testing.T) {
	const members = 8
	source := rand.New(rand.NewPCG(1, 2))
	budgets := make([]*budgeter.Budgeter, members)
	for i := range budgets {
		budgets[i] = budgeter.New(ratio, extra, window)
	}
	var requests, repeats []clock.Millis
	for now := clock.Millis(0); now < 60*clock.Second; now += 15 {
		if now == 30*clock.Second {
			budgets[0] = budgeter.New(ratio, extra, window)
		}
		budget := budgets[source.IntN(members)]
		budget.Request(now, "engines")
		requests = append(requests, now)
		for range 3 {
			if source.IntN(3) == 0 && budget.Take(now, "engines", members) {
				repeats = append(repeats, now)
			}
		}
	}
	within := func(instants []clock.Millis, end clock.Millis) int {
		first, _ := slices.BinarySearch(instants, end-window+1)
		last, _ := slices.BinarySearch(instants, end+1)
		return last - first
	}
	require.NotEmpty(t, repeats)
	for _, end := range repeats {
		allowed := ratio*float64(within(requests, end)) + extra
		require.LessOrEqual(t, float64(within(repeats, end)), allowed, "in the window that ends at %s", end)
	}
	require.Greater(t, float64(len(repeats)), 0.8*ratio*float64(len(requests)), "the budget is there to be used")
}

// TestServicesApart holds that one service's repeats use nothing of another's budget.
func TestServicesApart(t *testing.T) {
	budget := budgeter.New(ratio, 2, window)
	require.True(t, budget.Take(0, "a", 1))
	require.False(t, budget.Take(0, "a", 1))
	require.True(t, budget.Take(0, "b", 1))
	require.True(t, budget.Take(window+1, "a", 1), "the window has passed")
}
