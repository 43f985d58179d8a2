package outbox_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/digest"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/outbox"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// TestFind verifies which echoes are used: those of this incarnation's recent digests.
func TestFind(t *testing.T) {
	sent := outbox.New(7)
	for i := range 100 {
		sent.Add(outbox.Sums{SentAt: clock.Millis(100 * (i + 1)), Members: i + 1})
	}
	tests := map[string]struct {
		echo  digest.Echo
		found bool
	}{
		"the latest":                     {digest.Echo{Incarnation: 7, Sequence: 100}, true},
		"one of a second before":         {digest.Echo{Incarnation: 7, Sequence: 90}, true},
		"one of two seconds before":      {digest.Echo{Incarnation: 7, Sequence: 80}, false},
		"one that is overwritten":        {digest.Echo{Incarnation: 7, Sequence: 20}, false},
		"one that was not sent yet":      {digest.Echo{Incarnation: 7, Sequence: 101}, false},
		"one of an earlier incarnation":  {digest.Echo{Incarnation: 6, Sequence: 100}, false},
		"none":                           {digest.Echo{}, false},
		"none, of the right incarnation": {digest.Echo{Incarnation: 7}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			sums, found := sent.Find(10_000, test.echo)
			require.Equal(t, test.found, found)
			if found {
				require.Equal(t, int(test.echo.Sequence), sums.Members)
			}
		})
	}
}
