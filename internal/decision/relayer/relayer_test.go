package relayer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/relayer"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// TestNotices verifies how long notices are repeated, and that those from elsewhere are
// not sent up.
func TestNotices(t *testing.T) {
	notices := relayer.New[string](600*clock.Millisecond, 2*clock.Second, 3)
	require.True(t, notices.Add(1000, "own", relayer.Own))
	require.True(t, notices.Add(1100, "below", relayer.Below))
	require.True(t, notices.Add(1200, "elsewhere", relayer.Elsewhere))
	require.False(t, notices.Add(1300, "own", relayer.Elsewhere), "a repeated notice is not passed on again")
	require.Equal(t, []string{"own", "below"}, notices.Recent(1300, relayer.Below))
	require.Equal(t, []string{"own", "below", "elsewhere"}, notices.Recent(1300, relayer.Elsewhere))
	require.Equal(t, []string{"elsewhere"}, notices.Recent(1750, relayer.Elsewhere))
	require.False(t, notices.Add(2900, "own", relayer.Own), "remembered for longer than it is repeated")
	require.True(t, notices.Add(3100, "own", relayer.Own))
	require.True(t, notices.Add(3110, "fourth", relayer.Own), "the oldest yields")
	require.Len(t, notices.Recent(3120, relayer.Elsewhere), 2)
}
