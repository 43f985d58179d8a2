package placer_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/placer"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	engines = 9
	memory  = int64(94_570)
)

func candidates() []placer.Candidate {
	all := make([]placer.Candidate, engines)
	for i := range all {
		all[i] = placer.Candidate{Server: fmt.Sprintf("e%d", i), Salt: "m@1/", Memory: memory, Slots: 64}
	}
	return all
}

// verdict is a request about a subject of a guide: shared parts and one of its own.
func verdict(guide, subject, own int) placer.Ask {
	return placer.Ask{
		Prompt: 9190, Output: 9,
		Parts: []placer.Part{{ID: fmt.Sprint("g", guide), Tokens: 2520}, {ID: fmt.Sprint("s", subject), Tokens: 3780}, {ID: fmt.Sprint("o", own), Tokens: 2890}},
	}
}

// readRate is the prompt tokens that the engines of the tests read in a millisecond.
const readRate = 44

// play sends a request to the chosen server, which reads its prompt with nothing else
// to do.
func play(places *placer.Placer, now clock.Millis, number int, ask placer.Ask) placer.Choice {
	choice, ok := places.Choose(now, ask, candidates())
	if !ok {
		panic("there are candidates")
	}
	id := fmt.Sprint("r", number)
	places.Begin(now, id, choice)
	places.Answering(now+clock.Millis(choice.Missed/readRate), id)
	places.End(id)
	return choice
}

// TestSubjectsStayAtTheirHomes replays many subjects at a calm rate: each is read at
// one engine and found there afterwards.
func TestSubjectsStayAtTheirHomes(t *testing.T) {
	places := placer.New()
	const subjects = 20
	homes := map[int]string{}
	number := 0
	var again int64
	for round := range 3 {
		for subject := range subjects {
			now := clock.Millis(1000 * (number + 1))
			choice := play(places, now, number, verdict(subject%4, subject, number))
			if round == 0 {
				homes[subject] = choice.Server
			} else {
				require.Equal(t, homes[subject], choice.Server, "subject %d", subject)
				again += max(0, choice.Missed-2890)
			}
			number++
		}
	}
	require.Less(t, again, int64(2*subjects*6300/20), "shared tokens read again, at most a twentieth")
}

// TestOtherInstancesAgreeOnHomes holds that an instance which has seen nothing sends
// a subject where the others do.
func TestOtherInstancesAgreeOnHomes(t *testing.T) {
	for subject := range 20 {
		first := play(placer.New(), 1000, 1, verdict(0, subject, 1))
		second := play(placer.New(), 1000, 2, verdict(0, subject, 2))
		require.Equal(t, first.Server, second.Server)
	}
}

// TestHotSubjectLeavesItsHome replays one subject that is asked for faster than its
// home reads: other engines take part, and fetch the shared parts instead of reading
// them.
func TestHotSubjectLeavesItsHome(t *testing.T) {
	places := placer.New()
	play(places, 1000, 0, verdict(0, 0, 0))
	used := map[string]int{}
	fetched := 0
	for i := 1; i <= 30; i++ {
		choice, ok := places.Choose(5000, verdict(0, 0, i), candidates())
		require.True(t, ok)
		places.Begin(5000, fmt.Sprint(i), choice)
		used[choice.Server]++
		if choice.Source != "" && choice.Missed == 2890 {
			fetched++
		}
	}
	require.Greater(t, len(used), 4, "engines that take part: %v", used)
	for server, count := range used {
		require.LessOrEqual(t, count, 10, "requests at %s: %v", server, used)
	}
	require.Greater(t, fetched, 10)
}

// TestStoreOfKeptParts holds that parts which the engines have dropped come from the
// store, and that nothing is fetched from engines that are barred.
func TestStoreOfKeptParts(t *testing.T) {
	places := placer.New()
	places.SetStore(700_000)
	first := play(places, 1000, 0, verdict(0, 0, 0))
	require.True(t, first.Save, "nobody has the parts yet")
	require.Empty(t, first.Source)
	second := play(places, 5000, 1, verdict(0, 0, 1))
	require.False(t, second.Save)
	require.Equal(t, first.Server, second.Server)
	require.Equal(t, placer.StoreID, second.Source, "the engine may have dropped what it had")
	places.Forget(first.Server)
	third := play(places, 9000, 2, verdict(0, 0, 2))
	require.Equal(t, placer.StoreID, third.Source)
	require.Equal(t, int64(2890), third.Missed)
	places.Bar(map[string]bool{third.Server: true, placer.StoreID: true})
	choice, ok := places.Choose(12000, verdict(0, 0, 3), candidates()[:1])
	require.True(t, ok)
	require.Empty(t, choice.Source)
}

// TestSaltsKeepPartsApart holds that parts of other weights or another wall are never
// taken to be there.
func TestSaltsKeepPartsApart(t *testing.T) {
	places := placer.New()
	play(places, 1000, 0, verdict(0, 0, 0))
	walled := candidates()
	for i := range walled {
		walled[i].Salt = "m@1/team"
	}
	choice, ok := places.Choose(9000, verdict(0, 0, 0), walled)
	require.True(t, ok)
	require.Equal(t, int64(9190), choice.Missed)
	require.Empty(t, choice.Source)
}

// TestPeersLoadCounts holds that what another instance has placed counts, and fades
// when it is no longer heard.
func TestPeersLoadCounts(t *testing.T) {
	places := placer.New()
	ask := verdict(0, 0, 0)
	free, _ := places.Choose(1000, ask, candidates())
	places.Heard(1000, "peer", map[string]placer.Load{free.Server: {Requests: 20, Prefill: 100_000, Tokens: 100_000}})
	busy, _ := places.Choose(1100, ask, candidates())
	require.NotEqual(t, free.Server, busy.Server)
	later, _ := places.Choose(9000, ask, candidates())
	require.Equal(t, free.Server, later.Server)
}

// TestBoundOnTheBeginning holds that a server at which the request would begin too
// late is left out.
func TestBoundOnTheBeginning(t *testing.T) {
	places := placer.New()
	bound := candidates()[:2]
	bound[0].Until = 300
	bound[1].Until = 3000
	choice, ok := places.Choose(1000, verdict(0, 0, 0), bound)
	require.True(t, ok)
	require.Equal(t, "e1", choice.Server, "230 ms of reading, twice, do not fit into 300 ms")
	_, ok = places.Choose(1000, verdict(0, 0, 0), bound[:1])
	require.False(t, ok)
}

// TestPlainRequestsGoWhereTheFewestRun holds the choice for services without prompts.
func TestPlainRequestsGoWhereTheFewestRun(t *testing.T) {
	places := placer.New()
	servers := []placer.Candidate{{Server: "near"}, {Server: "far", Far: true}, {Server: "failing", Errors: 0.5}}
	used := map[string]int{}
	for i := range 12 {
		choice, ok := places.Choose(1000, placer.Ask{}, servers)
		require.True(t, ok)
		places.Begin(1000, fmt.Sprint(i), choice)
		used[choice.Server]++
	}
	require.Equal(t, map[string]int{"near": 6, "far": 6}, used)
}

// TestLoadsAreGivenBack holds that nothing stays counted when all requests have ended.
func TestLoadsAreGivenBack(t *testing.T) {
	places := placer.New()
	for i := range 50 {
		choice, _ := places.Choose(1000, verdict(i%4, i%20, i), candidates())
		places.Begin(1000, fmt.Sprint(i), choice)
		if i%2 == 0 {
			places.Answering(1500, fmt.Sprint(i))
		}
	}
	for i := range 50 {
		places.End(fmt.Sprint(i))
		places.End(fmt.Sprint(i))
	}
	require.Empty(t, places.Own())
}

// BenchmarkChoose measures a choice among the engines of today's sites and of grown
// ones.
func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{9, 140} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			places := placer.New()
			all := make([]placer.Candidate, count)
			for i := range all {
				all[i] = placer.Candidate{Server: fmt.Sprintf("e%d", i), Salt: "m@1/", Memory: memory}
			}
			for i := range 2000 {
				choice, _ := places.Choose(clock.Millis(i), verdict(i%4, i%120, i), all)
				places.Begin(clock.Millis(i), "r", choice)
			}
			b.ResetTimer()
			for i := range b.N {
				places.Choose(clock.Millis(i), verdict(i%4, i%120, i), all)
			}
		})
	}
}
