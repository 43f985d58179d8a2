package workload_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/chunker"
	"github.com/hyssopdoor/hyssopdoor/internal/workload"
)

func options() workload.Options {
	return workload.Options{
		Rate: 200, Duration: 20 * time.Second,
		Guides: 4, Subjects: 3, Chapters: 2, GuideChunks: 2, SubjectChunks: 1, ChapterChunks: 1,
		HotShare: 0.5, ShiftEvery: 5 * time.Second, MaxTokens: 8,
		Teams: []workload.Team{{Name: "large", Weight: 3}, {Name: "small", Weight: 1}},
	}
}

func TestEqualSeedsGiveEqualRequests(t *testing.T) {
	require.Equal(t, workload.New(options(), 7), workload.New(options(), 7))
	require.NotEqual(t, workload.New(options(), 7), workload.New(options(), 8))
}

// TestRequestsHaveTheWantedShape holds rate, teams' parts, levels at chunk
// boundaries, and the shifting hot guide.
func TestRequestsHaveTheWantedShape(t *testing.T) {
	requests := workload.New(options(), 1)
	require.InDelta(t, 4000, len(requests), 250)
	large, hot := 0, 0
	prefixes := map[uint64]bool{}
	last := time.Duration(0)
	for _, request := range requests {
		require.GreaterOrEqual(t, request.At, last)
		last = request.At
		if request.Team == "large" {
			large++
		}
		if request.At < 5*time.Second && strings.HasPrefix(request.Prompt, "guide 0. ") {
			hot++
		}
		chain := chunker.Chain(request.Prompt)
		require.Len(t, chain, 5, "four whole chunks and the question")
		prefixes[chain[3]] = true
	}
	require.InDelta(t, 0.75, float64(large)/float64(len(requests)), 0.05)
	require.InDelta(t, 0.625, float64(hot)/1000, 0.1, "half of the requests and a quarter of the others")
	require.Len(t, prefixes, 4*3*2, "equal chapters have equal prefixes")
}
