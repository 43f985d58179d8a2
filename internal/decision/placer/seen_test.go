package placer_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/placer"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const salt = "m@1/"

// sawAll tells places that the server has the shared parts of the prompt.
func sawAll(places *placer.Placer, now clock.Millis, server string, ask placer.Ask) {
	for _, part := range ask.Parts[:len(ask.Parts)-1] {
		places.Saw(now, server, placer.Key(salt, part.ID), part.Tokens)
	}
}

// TestRestartedInstanceFindsWhatIsCached replays the restart of all instances: one that
// has sent nothing yet finds each subject where it is cached, by the servers' word.
func TestRestartedInstanceFindsWhatIsCached(t *testing.T) {
	for name, server := range map[string]string{"at an engine": "e4", "in the store": placer.StoreID} {
		t.Run(name, func(t *testing.T) {
			places := placer.New()
			places.SetStore(700_000)
			ask := verdict(0, 0, 0)
			sawAll(places, 1000, server, ask)
			choice, ok := places.Choose(1010, ask, candidates())
			require.True(t, ok)
			require.Equal(t, int64(2890), choice.Missed, "only the request's own part is read")
			require.True(t, choice.Server == server || choice.Source == server, "%s fetches from %q", choice.Server, choice.Source)
		})
	}
}

// TestDroppedPartsDoNotCount replays engines that drop parts under load: what a server
// says it has dropped is neither found there nor fetched from there, and is saved again
// when the store has dropped it.
func TestDroppedPartsDoNotCount(t *testing.T) {
	places := placer.New()
	places.SetStore(700_000)
	ask := verdict(0, 0, 0)
	first := play(places, 1000, 0, ask)
	for _, server := range []string{first.Server, placer.StoreID} {
		sawAll(places, 2000, server, ask)
		for _, part := range ask.Parts {
			places.Saw(3000, server, placer.Key(salt, part.ID), 0)
		}
	}
	choice, ok := places.Choose(3100, ask, candidates())
	require.True(t, ok)
	require.Equal(t, int64(9190), choice.Missed)
	require.Empty(t, choice.Source)
	require.True(t, choice.Save)
}

// TestPartOfAPart holds that a part which a server has only in part counts for as much.
func TestPartOfAPart(t *testing.T) {
	for name, want := range map[string]struct{ tokens, missed int64 }{
		"half":                 {1260, 9190 - 1260},
		"whole but for blocks": {2510, 9190 - 2520},
	} {
		t.Run(name, func(t *testing.T) {
			places := placer.New()
			ask := verdict(0, 0, 0)
			places.Saw(1000, "e0", placer.Key(salt, ask.Parts[0].ID), want.tokens)
			choice, ok := places.Choose(1000, ask, candidates()[:1])
			require.True(t, ok)
			require.Equal(t, want.missed, choice.Missed)
		})
	}
}

// TestOldNewsDoNotUndoASending holds that news from before a sending do not hide what
// the sending brings to the server.
func TestOldNewsDoNotUndoASending(t *testing.T) {
	places := placer.New()
	ask := verdict(0, 0, 0)
	first := play(places, 1000, 0, ask)
	places.Saw(1500, first.Server, placer.Key(salt, ask.Parts[0].ID), 0)
	choice, _ := places.Choose(1600, ask, candidates())
	require.Equal(t, first.Server, choice.Server)
	require.Less(t, choice.Missed, int64(9190))
	places.Anew(1600, first.Server)
	choice, _ = places.Choose(1700, ask, candidates())
	require.Less(t, choice.Missed, int64(9190))
}

// TestUnheardPartsDoNotCount holds that what was sent to a server which tells what it
// has, and never told of it, does not count for long: the request was refused there.
func TestUnheardPartsDoNotCount(t *testing.T) {
	places := placer.New()
	ask := verdict(0, 0, 0)
	first := play(places, 1000, 0, ask)
	places.Saw(5500, first.Server, placer.Key(salt, "another"), 100)
	choice, _ := places.Choose(6000, ask, candidates())
	require.Equal(t, int64(9190), choice.Missed)
}

// TestSureSourcesFirst holds that parts are fetched from where they are for sure, if
// there is such a place.
func TestSureSourcesFirst(t *testing.T) {
	places := placer.New()
	places.SetStore(700_000)
	ask := verdict(0, 0, 0)
	first := play(places, 1000, 0, ask)
	sawAll(places, 1200, placer.StoreID, ask)
	var others []placer.Candidate
	for _, candidate := range candidates() {
		if candidate.Server != first.Server {
			others = append(others, candidate)
		}
	}
	choice, _ := places.Choose(2000, ask, others)
	require.Equal(t, placer.StoreID, choice.Source)
	sawAll(places, 2100, first.Server, ask)
	choice, _ = places.Choose(2200, ask, others)
	require.Equal(t, first.Server, choice.Source)
}

// TestUnusedPartsComeFromTheStore replays engines that drop what they have not used for
// longest: such parts are fetched from the store, unless that has much to send already.
func TestUnusedPartsComeFromTheStore(t *testing.T) {
	ask := verdict(0, 0, 0)
	for name, want := range map[string]struct {
		now    clock.Millis
		before int // before is how many prompts are fetched from the store just before.
		source string
	}{
		"used lately":       {2000, 0, "e4"},
		"not used lately":   {9000, 0, placer.StoreID},
		"the store is busy": {9000, 3, "e4"},
	} {
		t.Run(name, func(t *testing.T) {
			places := placer.New()
			places.SetStore(700_000)
			for i := range want.before {
				other := verdict(9, 90+i, i)
				sawAll(places, 1000, placer.StoreID, other)
				choice, _ := places.Choose(want.now, other, candidates()[:1])
				require.Equal(t, placer.StoreID, choice.Source)
				places.Begin(want.now, fmt.Sprint("other", i), choice)
			}
			sawAll(places, 1000, placer.StoreID, ask)
			sawAll(places, 1000, "e4", ask)
			choice, _ := places.Choose(want.now, ask, candidates()[5:6])
			require.Equal(t, want.source, choice.Source)
		})
	}
}

// TestManySubjectsWithNews replays more subjects than the estimate of an engine's memory
// holds, at engines that keep them: by their word nothing is read again.
func TestManySubjectsWithNews(t *testing.T) {
	places := placer.New()
	const subjects = 100
	var missed int64
	for round := range 2 {
		for subject := range subjects {
			now := clock.Millis(1000 + 40*(round*subjects+subject))
			ask := verdict(subject%4, subject, round*subjects+subject)
			choice := play(places, now, round*subjects+subject, ask)
			sawAll(places, now, choice.Server, ask)
			if round == 1 {
				missed += max(0, choice.Missed-2890)
			}
		}
	}
	require.Zero(t, missed, "tokens read again")
}
