package scheduler_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/scheduler"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const salt = "m@1/"

// reportShared records a server's report that it has cached the shared parts.
func reportShared(sched *scheduler.Scheduler, now clock.Millis, server string, request scheduler.Request) {
	for _, part := range request.Parts[:len(request.Parts)-1] {
		sched.RecordReport(now, server, scheduler.PartKey(salt, part.ID), part.Tokens)
	}
}

// TestRestartedInstanceUsesReports verifies that an instance which has sent nothing
// since its restart finds cached parts from the servers' reports.
func TestRestartedInstanceUsesReports(t *testing.T) {
	for name, server := range map[string]string{"at an engine": "e4", "in the store": scheduler.StoreID} {
		t.Run(name, func(t *testing.T) {
			sched := scheduler.New()
			sched.SetStoreCapacity(700_000)
			request := newRequest(0, 0, 0)
			reportShared(sched, 1000, server, request)
			choice, ok := sched.Choose(1010, request, candidates())
			require.True(t, ok)
			require.Equal(t, int64(2890), choice.UncachedTokens, "only the request's own part is prefilled")
			require.True(t, choice.Server == server || choice.FetchSource == server, "%s fetches from %q", choice.Server, choice.FetchSource)
		})
	}
}

// TestEvictedPartsDoNotCount verifies that parts which a server reports as evicted are
// not counted as cached there nor fetched from there, and are saved again if the cache
// store has evicted them too.
func TestEvictedPartsDoNotCount(t *testing.T) {
	sched := scheduler.New()
	sched.SetStoreCapacity(700_000)
	request := newRequest(0, 0, 0)
	first := run(sched, 1000, 0, request)
	for _, server := range []string{first.Server, scheduler.StoreID} {
		reportShared(sched, 2000, server, request)
		for _, part := range request.Parts {
			sched.RecordReport(3000, server, scheduler.PartKey(salt, part.ID), 0)
		}
	}
	choice, ok := sched.Choose(3100, request, candidates())
	require.True(t, ok)
	require.Equal(t, int64(9190), choice.UncachedTokens)
	require.Empty(t, choice.FetchSource)
	require.True(t, choice.SaveToStore)
}

// TestIncompletePart verifies that only the cached tokens of an incomplete part count,
// and that a part which lacks less than a block counts as complete.
func TestIncompletePart(t *testing.T) {
	for name, test := range map[string]struct{ cached, uncached int64 }{
		"half":                  {1260, 9190 - 1260},
		"less than a block off": {2510, 9190 - 2520},
	} {
		t.Run(name, func(t *testing.T) {
			sched := scheduler.New()
			request := newRequest(0, 0, 0)
			sched.RecordReport(1000, "e0", scheduler.PartKey(salt, request.Parts[0].ID), test.cached)
			choice, ok := sched.Choose(1000, request, candidates()[:1])
			require.True(t, ok)
			require.Equal(t, test.uncached, choice.UncachedTokens)
		})
	}
}

// TestOldReportKeepsSentPart verifies that a report which may be older than a sent part
// does not remove it.
func TestOldReportKeepsSentPart(t *testing.T) {
	sched := scheduler.New()
	request := newRequest(0, 0, 0)
	first := run(sched, 1000, 0, request)
	sched.RecordReport(1500, first.Server, scheduler.PartKey(salt, request.Parts[0].ID), 0)
	choice, _ := sched.Choose(1600, request, candidates())
	require.Equal(t, first.Server, choice.Server)
	require.Less(t, choice.UncachedTokens, int64(9190))
	sched.ResetCache(1600, first.Server)
	choice, _ = sched.Choose(1700, request, candidates())
	require.Less(t, choice.UncachedTokens, int64(9190))
}

// TestUnconfirmedPartsExpire verifies that a part which was sent to a server, but is
// missing from its reports, stops counting as cached: the request was rejected there.
func TestUnconfirmedPartsExpire(t *testing.T) {
	sched := scheduler.New()
	request := newRequest(0, 0, 0)
	first := run(sched, 1000, 0, request)
	sched.RecordReport(5500, first.Server, scheduler.PartKey(salt, "another"), 100)
	choice, _ := sched.Choose(6000, request, candidates())
	require.Equal(t, int64(9190), choice.UncachedTokens)
}

// TestConfirmedSourcesFirst verifies that parts are fetched from a server that has
// reported them, if there is one.
func TestConfirmedSourcesFirst(t *testing.T) {
	sched := scheduler.New()
	sched.SetStoreCapacity(700_000)
	request := newRequest(0, 0, 0)
	first := run(sched, 1000, 0, request)
	reportShared(sched, 1200, scheduler.StoreID, request)
	var others []scheduler.Candidate
	for _, candidate := range candidates() {
		if candidate.Server != first.Server {
			others = append(others, candidate)
		}
	}
	choice, _ := sched.Choose(2000, request, others)
	require.Equal(t, scheduler.StoreID, choice.FetchSource)
	reportShared(sched, 2100, first.Server, request)
	choice, _ = sched.Choose(2200, request, others)
	require.Equal(t, first.Server, choice.FetchSource)
}

// TestUnusedPartsComeFromTheStore verifies that parts which an engine has not used
// recently, and may have evicted since its report, are fetched from the cache store
// unless the store is saturated.
func TestUnusedPartsComeFromTheStore(t *testing.T) {
	request := newRequest(0, 0, 0)
	for name, test := range map[string]struct {
		now          clock.Millis
		storeFetches int // storeFetches is the number of prompts being fetched from the store.
		source       string
	}{
		"used recently":          {2000, 0, "e4"},
		"not used recently":      {9000, 0, scheduler.StoreID},
		"the store is saturated": {9000, 3, "e4"},
	} {
		t.Run(name, func(t *testing.T) {
			sched := scheduler.New()
			sched.SetStoreCapacity(700_000)
			for i := range test.storeFetches {
				other := newRequest(9, 90+i, i)
				reportShared(sched, 1000, scheduler.StoreID, other)
				choice, _ := sched.Choose(test.now, other, candidates()[:1])
				require.Equal(t, scheduler.StoreID, choice.FetchSource)
				sched.Begin(test.now, fmt.Sprint("other", i), choice)
			}
			reportShared(sched, 1000, scheduler.StoreID, request)
			reportShared(sched, 1000, "e4", request)
			choice, _ := sched.Choose(test.now, request, candidates()[5:6])
			require.Equal(t, test.source, choice.FetchSource)
		})
	}
}

// TestReportsExceedEstimatedMemory sends more subjects than the estimate of an engine's
// memory holds, to engines that report them as cached: nothing is prefilled again.
func TestReportsExceedEstimatedMemory(t *testing.T) {
	sched := scheduler.New()
	const subjects = 100
	var prefilledAgain int64
	for round := range 2 {
		for subject := range subjects {
			now := clock.Millis(1000 + 40*(round*subjects+subject))
			request := newRequest(subject%4, subject, round*subjects+subject)
			choice := run(sched, now, round*subjects+subject, request)
			reportShared(sched, now, choice.Server, request)
			if round == 1 {
				prefilledAgain += max(0, choice.UncachedTokens-2890)
			}
		}
	}
	require.Zero(t, prefilledAgain, "tokens prefilled again")
}
