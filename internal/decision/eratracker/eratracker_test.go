package eratracker_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/eratracker"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// TestVerdicts verifies what each of a series of eras means; -1 is an invalid one.
func TestVerdicts(t *testing.T) {
	const current, changed, outdated = eratracker.Current, eratracker.Changed, eratracker.Outdated
	tests := map[string]struct {
		eras []int64
		want []eratracker.Verdict
	}{
		"the first era is no change":          {[]int64{3, 3}, []eratracker.Verdict{current, current}},
		"a higher one is a change":            {[]int64{1, 2, 2}, []eratracker.Verdict{current, changed, current}},
		"a late answer is outdated":           {[]int64{1, 2, 1, 2}, []eratracker.Verdict{current, changed, outdated, current}},
		"an era after answers without one":    {[]int64{-1, 1}, []eratracker.Verdict{current, changed}},
		"a store that begins with zero":       {[]int64{0, 1, 0}, []eratracker.Verdict{current, changed, outdated}},
		"changes that were not seen":          {[]int64{1, 5}, []eratracker.Verdict{current, changed}},
		"an invalid one changes nothing":      {[]int64{2, -1, 2}, []eratracker.Verdict{current, current, current}},
		"an invalid one after a later change": {[]int64{2, 3, -1, 2}, []eratracker.Verdict{current, changed, current, outdated}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tracker := eratracker.New()
			for i, era := range test.eras {
				if era < 0 {
					tracker.SeeInvalid(clock.Second)
					continue
				}
				require.Equal(t, test.want[i], tracker.See(clock.Second, era), "era %d at place %d", era, i)
			}
		})
	}
}

// TestSettlingTimes verifies that a change, and only a change, invalidates what is read
// within some time.
func TestSettlingTimes(t *testing.T) {
	tracker := eratracker.New()
	tracker.See(5*clock.Second, 1)
	require.Zero(t, tracker.StateSettledAt())
	require.Zero(t, tracker.EntriesSettledAt())
	tracker.See(9*clock.Second, 2)
	tracker.See(12*clock.Second, 2)
	require.Equal(t, 10*clock.Second, tracker.StateSettledAt())
	require.Equal(t, 11200*clock.Millisecond, tracker.EntriesSettledAt())
}

// TestEraOfAnInstanceThatStarts verifies that the first era that is seen may have begun just
// now, unless another instance knows better.
func TestEraOfAnInstanceThatStarts(t *testing.T) {
	type sight struct {
		begunAt clock.Millis
		era     int64
	}
	tests := map[string]struct {
		seen      []sight
		settledAt clock.Millis
	}{
		"the first era":                     {[]sight{{9000, 1}}, 0},
		"a later era":                       {[]sight{{9000, 4}}, 10_000},
		"another instance knows it longer":  {[]sight{{9000, 4}, {3000, 4}}, 4000},
		"another instance has just seen it": {[]sight{{9000, 4}, {9500, 4}}, 10_000},
		"it changes":                        {[]sight{{3000, 4}, {9000, 5}, {9400, 5}}, 10_000},
		"a late word of the era before":     {[]sight{{3000, 4}, {9000, 5}, {1000, 4}}, 10_000},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tracker := eratracker.New()
			for _, sight := range test.seen {
				tracker.See(sight.begunAt, sight.era)
			}
			require.Equal(t, test.settledAt, tracker.StateSettledAt())
		})
	}
}

// TestHighErasAreDoubted verifies that an era which is far above the known one is used once
// two answers have named it.
func TestHighErasAreDoubted(t *testing.T) {
	tests := map[string]struct {
		eras    []int64
		doubted []bool
		era     int64
	}{
		"the first era":                     {[]int64{70}, []bool{false}, 70},
		"one above":                         {[]int64{1, 2}, []bool{false, false}, 2},
		"several above, once":               {[]int64{1, 9000, 2}, []bool{false, true, false}, 2},
		"several above, twice":              {[]int64{1, 4, 4}, []bool{false, true, false}, 4},
		"several above, and one more after": {[]int64{1, 4, 5, 5}, []bool{false, true, true, false}, 5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tracker := eratracker.New()
			for i, era := range test.eras {
				doubted := tracker.Doubts(era)
				require.Equal(t, test.doubted[i], doubted, "era %d at place %d", era, i)
				if !doubted {
					tracker.See(clock.Second, era)
				}
			}
			require.Equal(t, test.era, tracker.Era())
		})
	}
}

// TestInvalidErasAreLoggedSeldom verifies that many answers without a valid era do not fill
// the log.
func TestInvalidErasAreLoggedSeldom(t *testing.T) {
	tracker := eratracker.New()
	logged := 0
	for now := clock.Second; now < 31*clock.Second; now += 100 {
		if tracker.SeeInvalid(now) {
			logged++
		}
	}
	require.Equal(t, 3, logged)
}
