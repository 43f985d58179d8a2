package retrybudget_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/retrybudget"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	ratio  = 0.2
	extra  = 56
	window = 10 * clock.Second
)

// TestThirdOfServersFails simulates requests of which a third fail and are retried, at
// several instances, one of which restarts and loses its counts: within any window the
// retries of all instances stay within the budget.
func TestThirdOfServersFails(t *testing.T) {
	const instances = 8
	random := rand.New(rand.NewPCG(1, 2))
	budgets := make([]*retrybudget.Budget, instances)
	for i := range budgets {
		budgets[i] = retrybudget.New(ratio, extra, window)
	}
	var requests, retries []clock.Millis
	for now := clock.Millis(0); now < 60*clock.Second; now += 15 {
		if now == 30*clock.Second {
			budgets[0] = retrybudget.New(ratio, extra, window)
		}
		budget := budgets[random.IntN(instances)]
		budget.RecordRequest(now, "engines")
		requests = append(requests, now)
		for range 3 {
			if random.IntN(3) == 0 && budget.AcquireRetry(now, "engines", instances) {
				retries = append(retries, now)
			}
		}
	}
	countInWindow := func(times []clock.Millis, end clock.Millis) int {
		first, _ := slices.BinarySearch(times, end-window+1)
		last, _ := slices.BinarySearch(times, end+1)
		return last - first
	}
	require.NotEmpty(t, retries)
	for _, end := range retries {
		allowed := ratio*float64(countInWindow(requests, end)) + extra
		require.LessOrEqual(t, float64(countInWindow(retries, end)), allowed, "in the window that ends at %s", end)
	}
	require.Greater(t, float64(len(retries)), 0.8*ratio*float64(len(requests)), "most of the budget is usable")
}

// TestServicesHaveSeparateBudgets verifies that retries of one service use nothing of
// another's budget.
func TestServicesHaveSeparateBudgets(t *testing.T) {
	budget := retrybudget.New(ratio, 2, window)
	require.True(t, budget.AcquireRetry(0, "a", 1))
	require.False(t, budget.AcquireRetry(0, "a", 1))
	require.True(t, budget.AcquireRetry(0, "b", 1))
	require.True(t, budget.AcquireRetry(window+1, "a", 1), "the window has passed")
}
