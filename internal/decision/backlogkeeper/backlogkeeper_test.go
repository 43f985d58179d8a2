package backlogkeeper_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/backlogkeeper"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

func names(prefix string, count int) []string {
	var all []string
	for i := range count {
		all = append(all, fmt.Sprint(prefix, i))
	}
	return all
}

// TestBacklogShrinksWithTime verifies the backlog of an engine that gets prompts while it
// is busy and while it is idle.
func TestBacklogShrinksWithTime(t *testing.T) {
	keeper := backlogkeeper.New()
	require.Zero(t, keeper.Backlog(1000, "e"))
	keeper.Add(1000, "e", 200)
	keeper.Add(1050, "e", 100)
	require.Equal(t, 250*clock.Millisecond, keeper.Backlog(1050, "e"))
	require.Equal(t, 50*clock.Millisecond, keeper.Backlog(1250, "e"))
	require.Zero(t, keeper.Backlog(1300, "e"))
	keeper.Add(2000, "e", 70)
	require.Equal(t, 70*clock.Millisecond, keeper.Backlog(2000, "e"), "idle time is no credit")
	keeper.Add(2000, "e", -1000)
	require.Equal(t, 70*clock.Millisecond, keeper.Backlog(2000, "e"))
	keeper.Add(2000, "e", clock.Hour)
	require.LessOrEqual(t, keeper.Backlog(2000, "e"), 30*clock.Second, "a wrong message has a bounded effect")
	keeper.Forget("e")
	require.Zero(t, keeper.Backlog(2000, "e"))
}

// TestAssignment verifies that engines are evenly distributed, equally at all instances,
// and that the loss of an instance moves few engines.
func TestAssignment(t *testing.T) {
	tests := map[string]struct{ engines, instances, most int }{
		"fewer engines": {32, 47, 1}, "more engines": {30, 4, 8}, "one instance": {9, 1, 9}, "none": {9, 0, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			engines, instances := names("e", test.engines), names("i", test.instances)
			keepers := backlogkeeper.Assign(engines, instances)
			counts := map[string]int{}
			for _, keeper := range keepers {
				counts[keeper]++
			}
			for _, count := range counts {
				require.LessOrEqual(t, count, test.most)
			}
			slices.Reverse(engines)
			slices.Reverse(instances)
			require.Equal(t, keepers, backlogkeeper.Assign(engines, instances))
			if test.instances < 2 {
				return
			}
			moved := 0
			for engine, keeper := range backlogkeeper.Assign(engines, instances[1:]) {
				if keeper != keepers[engine] {
					moved++
				}
			}
			require.LessOrEqual(t, moved, test.engines/2)
		})
	}
}
