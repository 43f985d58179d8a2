package registry_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/registry"
)

// TestEntriesOfAnotherEra puts an entry of another era, or another start, in place of a
// draining server's entry at revision 70 of era 1.
func TestEntriesOfAnotherEra(t *testing.T) {
	type put struct {
		era, revision, startedAt int64
		draining                 bool
	}
	tests := map[string]struct {
		puts      []put
		available bool
		slots     int // slots is the number of the put that is in use.
	}{
		"a lower revision of the same era":      {[]put{{1, 60, 1, false}}, false, 0},
		"an older entry, from before it drains": {[]put{{2, 60, 1, false}}, false, 1},
		"the same entry, listed twice":          {[]put{{2, 60, 1, false}, {2, 60, 1, false}}, false, 2},
		"it is written again":                   {[]put{{2, 60, 1, false}, {2, 61, 1, true}}, false, 2},
		"it serves again":                       {[]put{{2, 60, 1, false}, {2, 61, 1, false}}, true, 2},
		"it has restarted":                      {[]put{{2, 60, 2, false}}, true, 1},
		"a late entry of the earlier era":       {[]put{{2, 60, 2, false}, {1, 90, 1, true}}, true, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			servers := registry.New()
			first := entry("s", 70)
			first.Era, first.Draining, first.Slots = 1, true, 0
			servers.Put(first)
			for i, put := range test.puts {
				next := entry("s", put.revision)
				next.Era, next.StartedAt, next.Draining, next.Slots = put.era, put.startedAt, put.draining, i+1
				servers.Put(next)
			}
			require.Equal(t, test.available, len(servers.Available(0, "engines")) == 1)
			server, _ := servers.Server("s")
			require.Equal(t, test.slots, server.Slots)
		})
	}
}
