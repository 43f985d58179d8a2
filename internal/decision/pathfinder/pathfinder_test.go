package pathfinder_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/pathfinder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/tunnelverdict"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// connect is a connect that began at a time, and its outcome.
type connect struct {
	server  string
	beganAt clock.Millis
	reached bool
}

// TestConnectsShowPaths verifies which paths count as blocked after some connects.
func TestConnectsShowPaths(t *testing.T) {
	tests := map[string]struct {
		connects []connect
		cutOff   bool
		blocked  []string
		open     []string
	}{
		"none":                      {open: []string{"a"}},
		"one server fails":          {[]connect{{"a", 10, false}}, false, []string{"a"}, []string{"b"}},
		"two servers fail":          {[]connect{{"a", 10, false}, {"b", 11, false}}, true, []string{"a", "b", "c"}, nil},
		"one of three is reached":   {[]connect{{"a", 10, false}, {"b", 11, false}, {"c", 12, true}}, false, []string{"a", "b"}, []string{"c"}},
		"a late success":            {[]connect{{"a", 10, false}, {"b", 11, false}, {"c", 9, true}}, true, []string{"a", "b", "c"}, nil},
		"a later success":           {[]connect{{"a", 10, false}, {"a", 20, true}}, false, nil, []string{"a"}},
		"an earlier failure":        {[]connect{{"a", 20, true}, {"a", 10, false}}, false, nil, []string{"a"}},
		"failures of the same path": {[]connect{{"a", 10, false}, {"a", 20, false}}, false, []string{"a"}, []string{"b"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			paths := pathfinder.New()
			for _, c := range test.connects {
				paths.RecordConnect(c.beganAt.Add(5), c.server, c.beganAt, c.reached)
			}
			require.Equal(t, test.cutOff, paths.CutOff())
			for _, server := range test.blocked {
				require.True(t, paths.Blocked(server), server)
			}
			for _, server := range test.open {
				require.False(t, paths.Blocked(server), server)
			}
		})
	}
}

// TestBlockedPathsAreChecked verifies that a blocked path is checked once a second, and that the end
// of a cut brings the checks forward.
func TestBlockedPathsAreChecked(t *testing.T) {
	paths := pathfinder.New()
	for _, server := range []string{"a", "b", "c", "d"} {
		paths.RecordConnect(100, server, 100, false)
	}
	require.Empty(t, paths.DueChecks(1000))
	require.Equal(t, []string{"a", "b", "c", "d"}, paths.DueChecks(1100))
	require.Empty(t, paths.DueChecks(1200))
	require.True(t, paths.RecordConnect(1300, "a", 1250, true))
	require.Equal(t, []string{"b", "c", "d"}, paths.DueChecks(1300))
}

// TestHopsAreSpread verifies that an instance uses the others of its domain by their part, and
// those of other domains for the part of the ones that are not usable.
func TestHopsAreSpread(t *testing.T) {
	hops := []pathfinder.Hop{
		{Name: "near", SameDomain: true, Alive: true}, {Name: "near, cut off", SameDomain: true, Alive: true}, {Name: "near, gone", SameDomain: true},
		{Name: "far", Alive: true}, {Name: "far, full", Alive: true},
	}
	paths := pathfinder.New()
	paths.RecordHop(0, "near, cut off", "s", tunnelverdict.CutOff)
	paths.RecordHop(0, "far, full", "s", tunnelverdict.Full)
	chosen := map[string]int{}
	for random := range uint64(3000) {
		name, ok := paths.ChooseHop(10, "s", hops, random*7919)
		require.True(t, ok)
		chosen[name]++
	}
	require.Len(t, chosen, 2, "%v", chosen)
	require.Greater(t, chosen["near"], 3000/3)
	require.Greater(t, chosen["far"], 3000/4)
}

// TestRefusalsPauseHops verifies for how long, and for which servers, a hop is not asked.
func TestRefusalsPauseHops(t *testing.T) {
	hops := []pathfinder.Hop{{Name: "h", Alive: true}}
	tests := map[string]struct {
		verdict     tunnelverdict.Verdict
		same, other bool
		until       clock.Millis
	}{
		"reached":     {tunnelverdict.Reached, true, true, 0},
		"no path":     {tunnelverdict.NoPath, false, true, 1000},
		"held back":   {tunnelverdict.HeldBack, false, true, 1000},
		"cut off":     {tunnelverdict.CutOff, false, false, 1000},
		"unavailable": {tunnelverdict.Unavailable, false, false, 1000},
		"full":        {tunnelverdict.Full, false, false, 200},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			paths := pathfinder.New()
			paths.RecordHop(0, "h", "s", test.verdict)
			_, same := paths.ChooseHop(10, "s", hops, 0)
			_, other := paths.ChooseHop(10, "t", hops, 0)
			require.Equal(t, test.same, same)
			require.Equal(t, test.other, other)
			require.Equal(t, test.same, len(paths.Witnesses(10, "s", hops, 3, 0)) > 0)
			_, later := paths.ChooseHop(test.until, "s", hops, 0)
			require.True(t, later)
		})
	}
}

// TestGoodHopsAreAskedFirst verifies that a hop that was used, or that another instance has named, is
// preferred for some seconds, unless it refuses.
func TestGoodHopsAreAskedFirst(t *testing.T) {
	hops := []pathfinder.Hop{}
	for i := range 200 {
		hops = append(hops, pathfinder.Hop{Name: fmt.Sprint("h", i), Alive: true})
	}
	tests := map[string]struct {
		record func(p *pathfinder.Pathfinder)
		at     clock.Millis
		good   bool
	}{
		"none":           {func(*pathfinder.Pathfinder) {}, 10, false},
		"used":           {func(p *pathfinder.Pathfinder) { p.RecordHop(0, "h7", "s", tunnelverdict.Reached) }, 4000, true},
		"used long ago":  {func(p *pathfinder.Pathfinder) { p.RecordHop(0, "h7", "s", tunnelverdict.Reached) }, 5000, false},
		"named":          {func(p *pathfinder.Pathfinder) { p.RecordReferral(0, "h7") }, 900, true},
		"named long ago": {func(p *pathfinder.Pathfinder) { p.RecordReferral(0, "h7") }, 1000, false},
		"named after a refusal": {func(p *pathfinder.Pathfinder) {
			p.RecordHop(0, "h7", "s", tunnelverdict.CutOff)
			p.RecordReferral(1, "h7")
		}, 10, false},
		"refuses since": {func(p *pathfinder.Pathfinder) {
			p.RecordReferral(0, "h7")
			p.RecordHop(1, "h7", "s", tunnelverdict.Full)
		}, 300, false},
		"has no path since": {func(p *pathfinder.Pathfinder) {
			p.RecordReferral(0, "h7")
			p.RecordHop(1, "h7", "s", tunnelverdict.NoPath)
		}, 300, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			paths := pathfinder.New()
			test.record(paths)
			chosen := 0
			for random := range uint64(400) {
				if hop, _ := paths.ChooseHop(test.at, "s", hops, random*7919); hop == "h7" {
					chosen++
				}
			}
			if test.good {
				require.Greater(t, chosen, 400*3/4)
				require.Equal(t, "h7", paths.GoodHop(test.at, 3))
				return
			}
			require.Less(t, chosen, 400/20)
		})
	}
}

// TestWitnessesDiffer verifies that no witness is asked twice.
func TestWitnessesDiffer(t *testing.T) {
	hops := []pathfinder.Hop{{Name: "a", Alive: true}, {Name: "b", Alive: true}, {Name: "c", Alive: true}, {Name: "d"}}
	for random := range uint64(50) {
		require.ElementsMatch(t, []string{"a", "b", "c"}, pathfinder.New().Witnesses(0, "s", hops, 3, random*104729))
	}
}
