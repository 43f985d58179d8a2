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
		HotGuideShare: 0.5, HotGuideInterval: 5 * time.Second, MaxTokens: 8,
		Teams: []workload.Team{{Name: "large", Weight: 3}, {Name: "small", Weight: 1}},
	}
}

func TestEqualSeedsGiveEqualRequests(t *testing.T) {
	require.Equal(t, workload.New(options(), 7), workload.New(options(), 7))
	require.NotEqual(t, workload.New(options(), 7), workload.New(options(), 8))
}

// TestRequestsMatchOptions verifies the arrival rate, the teams' shares, the chunk
// boundaries of the prompt's sections, and the hot guide's share in its interval.
func TestRequestsMatchOptions(t *testing.T) {
	requests := workload.New(options(), 1)
	require.InDelta(t, 4000, len(requests), 250)
	fromLarge, hot := 0, 0
	prefixes := map[uint64]bool{}
	lastOffset := time.Duration(0)
	for _, request := range requests {
		require.GreaterOrEqual(t, request.Offset, lastOffset)
		lastOffset = request.Offset
		if request.Team == "large" {
			fromLarge++
		}
		if request.Offset < 5*time.Second && strings.HasPrefix(request.Prompt, "guide 0. ") {
			hot++
		}
		chain := chunker.Chain(request.Prompt)
		require.Len(t, chain, 5, "four complete chunks and the question")
		prefixes[chain[3]] = true
	}
	require.InDelta(t, 0.75, float64(fromLarge)/float64(len(requests)), 0.05)
	require.InDelta(t, 0.625, float64(hot)/1000, 0.1, "half of the requests and a quarter of the others use the hot guide")
	require.Len(t, prefixes, 4*3*2, "equal chapters have equal prefixes")
}
