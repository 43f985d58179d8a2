package originkeeper_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/originkeeper"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

var (
	v1 = originkeeper.Origin{Service: "engines", SoftwareVersion: "v1"}
	v2 = originkeeper.Origin{Service: "engines", SoftwareVersion: "v2"}
)

// TestKeeper verifies which origins are known after some time.
func TestKeeper(t *testing.T) {
	type put struct {
		at     clock.Millis
		stream string
		origin originkeeper.Origin
	}
	long := strings.Repeat("x", 300)
	for name, test := range map[string]struct {
		puts  []put
		at    clock.Millis
		known map[string]originkeeper.Origin
		kept  int
	}{
		"none":               {known: map[string]originkeeper.Origin{}},
		"two":                {[]put{{0, "a", v1}, {0, "b", v2}}, clock.Minute, map[string]originkeeper.Origin{"a": v1, "b": v2}, 2},
		"an unnamed version": {[]put{{0, "a", originkeeper.Origin{Service: "engines"}}}, 0, map[string]originkeeper.Origin{"a": {Service: "engines"}}, 1},
		"the same again":     {[]put{{0, "a", v1}, {1, "a", v1}}, 2, map[string]originkeeper.Origin{"a": v1}, 1},
		"a conflict":         {[]put{{0, "a", v1}, {1, "a", v2}, {2, "a", v1}}, 3, map[string]originkeeper.Origin{}, 1},
		"a conflict expires": {[]put{{0, "a", v1}, {1, "a", v2}, {11 * clock.Minute, "a", v2}}, 11 * clock.Minute, map[string]originkeeper.Origin{"a": v2}, 1},
		"an old one":         {[]put{{0, "a", v1}}, 11 * clock.Minute, map[string]originkeeper.Origin{}, 1},
		"an old one, renewed": {
			[]put{{0, "a", v1}, {0, "b", v1}, {4 * clock.Minute, "a", v1}, {8 * clock.Minute, "c", v1}},
			8 * clock.Minute, map[string]originkeeper.Origin{"a": v1, "c": v1}, 2,
		},
		"a long name": {[]put{{0, long, v1}, {0, "b", originkeeper.Origin{Service: long}}}, 0, map[string]originkeeper.Origin{}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			keeper := originkeeper.New()
			for _, put := range test.puts {
				keeper.Put(put.at, put.stream, put.origin)
			}
			known := map[string]originkeeper.Origin{}
			for _, put := range test.puts {
				if origin, ok := keeper.Find(test.at, put.stream); ok {
					known[put.stream] = origin
				}
			}
			require.Equal(t, test.known, known)
			require.Equal(t, test.kept, keeper.Len())
			require.Zero(t, keeper.Dropped())
		})
	}
}

// TestKeeperIsBounded verifies that a full memory drops the oldest origins and counts them,
// and that a stream which is put again and again takes up no more room.
func TestKeeperIsBounded(t *testing.T) {
	const limit, puts = 16_384, 40_000
	keeper := originkeeper.New()
	for i := range puts {
		keeper.Put(clock.Millis(i/100), fmt.Sprint(i), v1)
	}
	require.Equal(t, limit, keeper.Len())
	require.EqualValues(t, puts-limit, keeper.Dropped())
	_, known := keeper.Find(clock.Second, fmt.Sprint(puts-limit-1))
	require.False(t, known)
	_, known = keeper.Find(clock.Second, fmt.Sprint(puts-limit))
	require.True(t, known)
	again := originkeeper.New()
	for i := range puts {
		again.Put(clock.Millis(i/100), "a", v1)
	}
	require.Equal(t, 1, again.Len())
	require.Zero(t, again.Dropped())
}

// TestRank verifies that the first names of a stream do not depend on the order of the
// names, that they are spread evenly, and that few streams get others when a name is added.
func TestRank(t *testing.T) {
	const names, streams = 20, 2000
	var all []string
	for i := range names {
		all = append(all, fmt.Sprint("edge-", i))
	}
	reversed := slices.Clone(all)
	slices.Reverse(reversed)
	counts, changed := map[string]int{}, 0
	for i := range streams {
		stream := fmt.Sprint("stream-", i)
		first := originkeeper.Rank(stream, all, 3)
		require.Len(t, first, 3)
		require.Equal(t, first, originkeeper.Rank(stream, reversed, 3))
		require.Equal(t, first[:1], originkeeper.Rank(stream, all, 1))
		counts[first[0]]++
		if originkeeper.Rank(stream, append(reversed, "added"), 1)[0] != first[0] {
			changed++
		}
	}
	for name, count := range counts {
		require.InDelta(t, streams/names, count, streams/names/2, name)
	}
	require.InDelta(t, streams/(names+1), changed, streams/names/2)
	require.Empty(t, originkeeper.Rank("stream-1", nil, 3))
	require.Equal(t, []string{"a"}, originkeeper.Rank("stream-1", []string{"a"}, 3))
}
