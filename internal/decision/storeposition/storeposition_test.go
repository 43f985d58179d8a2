package storeposition_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/storeposition"
)

func TestOrder(t *testing.T) {
	tests := map[string]struct {
		a, b storeposition.Position
		want int
	}{
		"a later revision":                 {storeposition.Position{Era: 1, Revision: 7}, storeposition.Position{Era: 1, Revision: 6}, 1},
		"a lower revision of a later era":  {storeposition.Position{Era: 2, Revision: 3}, storeposition.Position{Era: 1, Revision: 90}, 1},
		"equal":                            {storeposition.Position{Era: 2, Revision: 3}, storeposition.Position{Era: 2, Revision: 3}, 0},
		"no era":                           {storeposition.Position{Revision: 90}, storeposition.Position{Era: 1, Revision: 1}, -1},
		"the same revision of another era": {storeposition.Position{Era: 1, Revision: 3}, storeposition.Position{Era: 2, Revision: 3}, -1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.want, test.a.Compare(test.b))
			require.Equal(t, -test.want, test.b.Compare(test.a))
			require.Equal(t, test.want > 0, test.a.After(test.b))
			require.Equal(t, test.want < 0, test.a.Before(test.b))
		})
	}
}

// TestFencesRiseWithPositions verifies that fences are in the order of the positions, and
// that they are the revisions in the first era.
func TestFencesRiseWithPositions(t *testing.T) {
	require.Equal(t, int64(90), storeposition.Position{Revision: 90}.Fence())
	require.Equal(t, int64(90), storeposition.Position{Era: 1, Revision: 90}.Fence())
	before := storeposition.Position{Era: 1, Revision: 1 << 30}
	for era := int64(2); era < 10; era++ {
		position := storeposition.Position{Era: era, Revision: 5}
		require.Greater(t, position.Fence(), before.Fence())
		before = storeposition.Position{Era: era, Revision: 1 << 39}
	}
}
