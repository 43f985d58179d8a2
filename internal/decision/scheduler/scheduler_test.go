package scheduler_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/scheduler"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	engineCount  = 9
	memoryTokens = int64(94_570)
)

func candidates() []scheduler.Candidate {
	all := make([]scheduler.Candidate, engineCount)
	for i := range all {
		all[i] = scheduler.Candidate{Server: fmt.Sprintf("e%d", i), Salt: "m@1/", MemoryTokens: memoryTokens, Slots: 64}
	}
	return all
}

// newRequest returns a request about a subject of a guide: two shared parts and one of
// its own.
func newRequest(guide, subject, own int) scheduler.Request {
	return scheduler.Request{
		PromptTokens: 9190, OutputTokens: 9,
		Parts: []scheduler.Part{{ID: fmt.Sprint("g", guide), Tokens: 2520}, {ID: fmt.Sprint("s", subject), Tokens: 3780}, {ID: fmt.Sprint("o", own), Tokens: 2890}},
	}
}

// prefillRate is the number of prompt tokens that the test engines prefill in a
// millisecond.
const prefillRate = 44

// run sends a request to the chosen server, which prefills its prompt without delay, and
// ends it.
func run(sched *scheduler.Scheduler, now clock.Millis, number int, request scheduler.Request) scheduler.Choice {
	choice, ok := sched.Choose(now, request, candidates())
	if !ok {
		panic("no candidate was chosen")
	}
	id := fmt.Sprint("r", number)
	sched.Begin(now, id, choice)
	sched.ResponseStarted(now+clock.Millis(choice.UncachedTokens/prefillRate), id)
	sched.End(id)
	return choice
}

// TestSubjectsStayAtTheirOwners sends requests about many subjects at a low rate: each
// subject is prefilled at one engine and found there afterwards.
func TestSubjectsStayAtTheirOwners(t *testing.T) {
	sched := scheduler.New()
	const subjects = 20
	owners := map[int]string{}
	number := 0
	var prefilledAgain int64
	for round := range 3 {
		for subject := range subjects {
			now := clock.Millis(1000 * (number + 1))
			choice := run(sched, now, number, newRequest(subject%4, subject, number))
			if round == 0 {
				owners[subject] = choice.Server
			} else {
				require.Equal(t, owners[subject], choice.Server, "subject %d", subject)
				prefilledAgain += max(0, choice.UncachedTokens-2890)
			}
			number++
		}
	}
	require.Less(t, prefilledAgain, int64(2*subjects*6300/20), "shared tokens prefilled again, at most a twentieth")
}

// TestInstancesAgreeOnOwners verifies that two instances without any history send a
// subject to the same server.
func TestInstancesAgreeOnOwners(t *testing.T) {
	for subject := range 20 {
		first := run(scheduler.New(), 1000, 1, newRequest(0, subject, 1))
		second := run(scheduler.New(), 1000, 2, newRequest(0, subject, 2))
		require.Equal(t, first.Server, second.Server)
	}
}

// TestHotSubjectLeavesItsOwner sends requests about one subject faster than its owner
// prefills them: other engines share the load, and fetch the shared parts instead of
// prefilling them.
func TestHotSubjectLeavesItsOwner(t *testing.T) {
	sched := scheduler.New()
	run(sched, 1000, 0, newRequest(0, 0, 0))
	requests := map[string]int{}
	fetched := 0
	for i := 1; i <= 30; i++ {
		choice, ok := sched.Choose(5000, newRequest(0, 0, i), candidates())
		require.True(t, ok)
		sched.Begin(5000, fmt.Sprint(i), choice)
		requests[choice.Server]++
		if choice.FetchSource != "" && choice.UncachedTokens == 2890 {
			fetched++
		}
	}
	require.Greater(t, len(requests), 4, "engines that share the load: %v", requests)
	for server, count := range requests {
		require.LessOrEqual(t, count, 10, "requests at %s: %v", server, requests)
	}
	require.Greater(t, fetched, 10)
}

// TestCacheStore verifies that parts which the engines have evicted are fetched from the
// cache store, and that nothing is fetched from excluded servers.
func TestCacheStore(t *testing.T) {
	sched := scheduler.New()
	sched.SetStoreCapacity(700_000)
	first := run(sched, 1000, 0, newRequest(0, 0, 0))
	require.True(t, first.SaveToStore, "the parts are cached nowhere yet")
	require.Empty(t, first.FetchSource)
	second := run(sched, 5000, 1, newRequest(0, 0, 1))
	require.False(t, second.SaveToStore)
	require.Equal(t, first.Server, second.Server)
	require.Equal(t, scheduler.StoreID, second.FetchSource, "the engine may have evicted the parts")
	sched.Forget(first.Server)
	third := run(sched, 9000, 2, newRequest(0, 0, 2))
	require.Equal(t, scheduler.StoreID, third.FetchSource)
	require.Equal(t, int64(2890), third.UncachedTokens)
	sched.ExcludeSources(map[string]bool{third.Server: true, scheduler.StoreID: true})
	choice, ok := sched.Choose(12000, newRequest(0, 0, 3), candidates()[:1])
	require.True(t, ok)
	require.Empty(t, choice.FetchSource)
}

// TestSaltsSeparateParts verifies that parts cached for other weights or an isolated
// team don't count as cached.
func TestSaltsSeparateParts(t *testing.T) {
	sched := scheduler.New()
	run(sched, 1000, 0, newRequest(0, 0, 0))
	isolated := candidates()
	for i := range isolated {
		isolated[i].Salt = "m@1/team"
	}
	choice, ok := sched.Choose(9000, newRequest(0, 0, 0), isolated)
	require.True(t, ok)
	require.Equal(t, int64(9190), choice.UncachedTokens)
	require.Empty(t, choice.FetchSource)
}

// TestPeerLoad verifies that the load placed by another instance counts, until its
// latest broadcast is too old.
func TestPeerLoad(t *testing.T) {
	sched := scheduler.New()
	request := newRequest(0, 0, 0)
	idle, _ := sched.Choose(1000, request, candidates())
	sched.ReceiveLoads(1000, "peer", map[string]scheduler.Load{idle.Server: {Requests: 20, PrefillTokens: 100_000, MemoryTokens: 100_000}})
	busy, _ := sched.Choose(1100, request, candidates())
	require.NotEqual(t, idle.Server, busy.Server)
	later, _ := sched.Choose(9000, request, candidates())
	require.Equal(t, idle.Server, later.Server)
}

// TestMaxStartDelay verifies that a server at which the request would start too late is
// not chosen.
func TestMaxStartDelay(t *testing.T) {
	sched := scheduler.New()
	limited := candidates()[:2]
	limited[0].MaxStartDelayMs = 300
	limited[1].MaxStartDelayMs = 3000
	choice, ok := sched.Choose(1000, newRequest(0, 0, 0), limited)
	require.True(t, ok)
	require.Equal(t, "e1", choice.Server, "230 ms of prefill, twice, exceed 300 ms")
	_, ok = sched.Choose(1000, newRequest(0, 0, 0), limited[:1])
	require.False(t, ok)
}

// TestPlainRequestsUseLeastLoaded verifies that requests without prompts go to the
// server with the fewest in flight, and not to one that fails.
func TestPlainRequestsUseLeastLoaded(t *testing.T) {
	sched := scheduler.New()
	servers := []scheduler.Candidate{{Server: "near"}, {Server: "far", OtherDomain: true}, {Server: "failing", ErrorRate: 0.5}}
	requests := map[string]int{}
	for i := range 12 {
		choice, ok := sched.Choose(1000, scheduler.Request{}, servers)
		require.True(t, ok)
		sched.Begin(1000, fmt.Sprint(i), choice)
		requests[choice.Server]++
	}
	require.Equal(t, map[string]int{"near": 6, "far": 6}, requests)
}

// TestLoadsAreReleased verifies that no load remains after all requests have ended, also
// if End is called twice.
func TestLoadsAreReleased(t *testing.T) {
	sched := scheduler.New()
	for i := range 50 {
		choice, _ := sched.Choose(1000, newRequest(i%4, i%20, i), candidates())
		sched.Begin(1000, fmt.Sprint(i), choice)
		if i%2 == 0 {
			sched.ResponseStarted(1500, fmt.Sprint(i))
		}
	}
	for i := range 50 {
		sched.End(fmt.Sprint(i))
		sched.End(fmt.Sprint(i))
	}
	require.Empty(t, sched.OwnLoads())
}

// BenchmarkChoose measures a choice among the number of engines of today's deployments, and
// of larger ones.
func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{9, 140} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			sched := scheduler.New()
			all := make([]scheduler.Candidate, count)
			for i := range all {
				all[i] = scheduler.Candidate{Server: fmt.Sprintf("e%d", i), Salt: "m@1/", MemoryTokens: memoryTokens}
			}
			for i := range 2000 {
				choice, _ := sched.Choose(clock.Millis(i), newRequest(i%4, i%120, i), all)
				sched.Begin(clock.Millis(i), "r", choice)
			}
			b.ResetTimer()
			for i := range b.N {
				sched.Choose(clock.Millis(i), newRequest(i%4, i%120, i), all)
			}
		})
	}
}
