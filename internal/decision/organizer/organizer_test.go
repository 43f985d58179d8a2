package organizer_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/organizer"
)

// newMembers returns members that are evenly distributed over the domains. The first
// large of each domain have a greater capacity.
func newMembers(count, domains, large int) []organizer.Member {
	var members []organizer.Member
	for i := range count {
		member := organizer.Member{Name: fmt.Sprint("edge-", i), Domain: fmt.Sprint("d", i%domains), Capacity: 192}
		if i/domains < large {
			member.Capacity = 800
		}
		members = append(members, member)
	}
	return members
}

// TestNeighborsAreBounded verifies that the number of neighbors of an instance, and the
// number of levels, don't grow with the cluster, and that everyone reaches the top level.
func TestNeighborsAreBounded(t *testing.T) {
	tests := map[string]struct{ count, domains, maxNeighbors, maxLevels int }{
		"1 of 1 domain":     {1, 1, 0, 1},
		"7 of 3 domains":    {7, 3, 6, 1},
		"9 of 3 domains":    {9, 3, 8, 1},
		"24 of 5 domains":   {24, 5, 14, 2},
		"67 of 3 domains":   {67, 3, 14, 3},
		"295 of 5 domains":  {295, 5, 14, 3},
		"385 of 12 domains": {385, 12, 16, 4},
		"400 of 1 domain":   {400, 1, 14, 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			members := newMembers(test.count, test.domains, 3)
			upstreamOf := map[string]string{}
			neighbors := map[string]int{}
			for _, member := range members {
				arrangement := organizer.Arrange(member.Name, members)
				require.Equal(t, test.count, arrangement.Size())
				if arrangement.IsTop() {
					require.Empty(t, arrangement.Upstreams())
					neighbors[member.Name] += len(arrangement.Tops()) - 1
					continue
				}
				upstream := arrangement.Upstreams()[0]
				upstreamOf[member.Name] = upstream
				neighbors[member.Name]++
				neighbors[upstream]++
			}
			for name, count := range neighbors {
				require.LessOrEqual(t, count, test.maxNeighbors, name)
			}
			for _, member := range members {
				levels := 1
				for name := member.Name; upstreamOf[name] != ""; name = upstreamOf[name] {
					levels++
					require.LessOrEqual(t, levels, test.maxLevels, member.Name)
				}
			}
		})
	}
}

// TestLargeInstancesComeFirst verifies that instances with more processor time are at the
// top level, in each domain.
func TestLargeInstancesComeFirst(t *testing.T) {
	members := newMembers(295, 5, 3)
	capacity := map[string]int64{}
	for _, member := range members {
		capacity[member.Name] = member.Capacity
	}
	for _, top := range organizer.Arrange("edge-0", members).Tops() {
		require.Equal(t, int64(800), capacity[top])
	}
}

// TestNoInstanceIsAboveItself verifies that going from an instance to any of its possible
// upstreams, and on from there, ends at the top level: each has a better rank than the
// instance below it, or is at the top level itself.
func TestNoInstanceIsAboveItself(t *testing.T) {
	members := newMembers(67, 3, 3)
	for _, member := range members {
		arrangement := organizer.Arrange(member.Name, members)
		for _, upstream := range arrangement.Upstreams() {
			isTop := organizer.Arrange(upstream, members).IsTop()
			require.True(t, isTop || arrangement.Rank(upstream) < arrangement.Rank(member.Name), "%s above %s", upstream, member.Name)
		}
	}
}

// TestUnlistedInstance verifies that an instance that is not listed yet is at the top
// level, so that it exchanges messages with the others.
func TestUnlistedInstance(t *testing.T) {
	arrangement := organizer.Arrange("new", newMembers(67, 3, 0))
	require.True(t, arrangement.IsTop())
	require.Len(t, arrangement.Tops(), 9)
	require.Equal(t, 67, arrangement.Rank("new"))
}
