package partquarantine_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/partquarantine"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// crash returns a crash with one interrupted request, sent with what parts are known of now.
func crash(parts *partquarantine.Quarantine, server uint32, begun bool, keys ...uint64) partquarantine.Crash {
	return partquarantine.Crash{Server: server, Requests: []partquarantine.Request{{Parts: keys, Generations: parts.Generations(keys), Begun: begun}}}
}

// TestConviction verifies which part is convicted after a number of crashes, each known when
// the next request is sent.
func TestConviction(t *testing.T) {
	const guide, subject, bad, fresh = 1, 2, 3, 4
	tests := map[string]struct {
		survivors []uint64
		crashes   [][]uint64
		begun     bool
		want      uint64 // want is the convicted part; 0 for none.
	}{
		"one crash":                 {crashes: [][]uint64{{guide, bad}}, begun: true},
		"two crashes":               {crashes: [][]uint64{{guide, bad}, {guide, bad}}, begun: true, want: bad},
		"the last part of unknowns": {crashes: [][]uint64{{guide, bad, fresh}, {guide, bad, fresh}}, begun: true, want: fresh},
		"fresh parts":               {crashes: [][]uint64{{bad, 11}, {bad, 12}, {bad, 13}}, begun: true, want: bad},
		"a survivor":                {survivors: []uint64{subject}, crashes: [][]uint64{{bad, subject}, {bad, subject}}, begun: true, want: bad},
		"only survivors":            {survivors: []uint64{guide, subject}, crashes: [][]uint64{{guide, subject}, {guide, subject}}, begun: true},
		"no head, two crashes":      {crashes: [][]uint64{{bad}, {bad}}},
		"no head, three crashes":    {crashes: [][]uint64{{bad}, {bad}, {bad}}, want: bad},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			parts := partquarantine.New(100)
			parts.RecordSurvival(900, 900, test.survivors)
			var convicted []uint64
			for i, keys := range test.crashes {
				convicted = append(convicted, parts.RecordCrash(clock.Millis(1000+i), crash(parts, uint32(i+1), test.begun, keys...))...)
			}
			if test.want == 0 {
				require.Empty(t, convicted)
				return
			}
			require.Equal(t, []uint64{test.want}, convicted)
			_, blocked := parts.FirstConvicted([]uint64{test.want})
			require.True(t, blocked)
		})
	}
}

// TestCrashesAtOnceCountOnce verifies that many crashes of requests that were sent before the
// first one was known are one accusation, and that an answer which begins later ends it.
func TestCrashesAtOnceCountOnce(t *testing.T) {
	parts := partquarantine.New(100)
	var crashes []partquarantine.Crash
	for server := range uint32(5) {
		crashes = append(crashes, crash(parts, server, true, 7))
	}
	for _, each := range crashes {
		require.Empty(t, parts.RecordCrash(1000, each))
	}
	parts.RecordSurvival(1100, 1050, []uint64{7})
	require.Empty(t, parts.RecordCrash(1200, crash(parts, 9, true, 7)), "the count begins anew")
	parts.RecordSurvival(1300, 1150, []uint64{7})
	require.NotEmpty(t, parts.RecordCrash(5000, crash(parts, 10, true, 7)), "an answer that had begun before the crash clears nothing")
}

// TestOrderOfExchange verifies that instances which exchange their changes in any order, some
// of them more than once, have the same state.
func TestOrderOfExchange(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 3))
		instances := []*partquarantine.Quarantine{partquarantine.New(100), partquarantine.New(100), partquarantine.New(100)}
		for i := range 60 {
			at, now := instances[random.IntN(3)], clock.Millis(1000+100*i)
			keys := []uint64{1 + random.Uint64N(3), 4 + random.Uint64N(3)}
			switch random.IntN(3) {
			case 0:
				at.RecordCrash(now, crash(at, uint32(i+1), random.IntN(2) == 0, keys...))
			case 1:
				at.RecordSurvival(now, now, keys)
			default:
				at.Merge(now, instances[random.IntN(3)].Snapshot(now))
			}
		}
		for range 2 {
			for i, at := range instances {
				at.Merge(8000, instances[(i+1)%3].Snapshot(8000))
				at.Merge(8000, instances[(i+2)%3].Snapshot(8000))
			}
		}
		for part := range uint64(7) {
			var blocked []bool
			for _, at := range instances {
				_, convicted := at.FirstConvicted([]uint64{part})
				blocked = append(blocked, convicted)
			}
			require.Equal(t, []bool{blocked[0], blocked[0], blocked[0]}, blocked, "seed %d, part %d", seed, part)
		}
	}
}

// TestConfirmation verifies that a convicted part that had survived runs again at one instance
// after the other, is cleared by an answer, and waits for long after another crash.
func TestConfirmation(t *testing.T) {
	rank := func(n int) func() int { return func() int { return n } }
	parts := partquarantine.New(100)
	parts.RecordSurvival(1000, 1000, []uint64{7})
	for i := range 2 {
		parts.RecordCrash(clock.Millis(9000+i), crash(parts, uint32(i+1), true, 7))
	}
	require.False(t, parts.ConfirmationDue(10_400, 7, rank(0)))
	require.True(t, parts.ConfirmationDue(10_600, 7, rank(0)))
	require.False(t, parts.ConfirmationDue(10_600, 7, rank(1)))
	require.True(t, parts.ConfirmationDue(11_600, 7, rank(1)))
	parts.BeginConfirmation(11_600, 7)
	require.False(t, parts.ConfirmationDue(11_700, 7, rank(0)))
	parts.RecordCrash(11_800, crash(parts, 3, true, 7))
	require.False(t, parts.ConfirmationDue(11_800+9*clock.Minute, 7, rank(0)))
	parts.RecordCrash(11_900, crash(parts, 4, true, 8))
	require.True(t, parts.Suspicious([]uint64{8}), "accused and never seen before")
	require.True(t, parts.Suspicious([]uint64{9, 7}), "convicted")
	require.Equal(t, []uint64{7}, parts.RecordSurvival(20_000, 19_000, []uint64{7}))
	require.False(t, parts.Suspicious([]uint64{9, 7}))
	_, blocked := parts.FirstConvicted([]uint64{7})
	require.False(t, blocked)
}

// TestConvictedPartsAreNotEvicted verifies that a flood of accused parts evicts no convicted one.
func TestConvictedPartsAreNotEvicted(t *testing.T) {
	parts := partquarantine.New(10)
	for i := range 2 {
		parts.RecordCrash(clock.Millis(1000+i), crash(parts, uint32(i+1), true, 7))
	}
	for key := range uint64(100) {
		parts.RecordCrash(2000, crash(parts, uint32(key+10), true, 100+key))
	}
	_, blocked := parts.FirstConvicted([]uint64{7})
	require.True(t, blocked)
	require.LessOrEqual(t, len(parts.Snapshot(2000)), 10)
}
