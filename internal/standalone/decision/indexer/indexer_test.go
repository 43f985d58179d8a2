package indexer_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/chunker"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/indexer"
)

func TestCachedTokensCountsCommonPrefix(t *testing.T) {
	index := indexer.New()
	index.RecordPrompt("e", []uint64{1, 2, 3})
	tests := map[string]struct {
		engine string
		chain  []uint64
		chunks int64
	}{
		"whole":          {"e", []uint64{1, 2, 3}, 3},
		"longer":         {"e", []uint64{1, 2, 3, 4}, 3},
		"branches off":   {"e", []uint64{1, 9, 3}, 1},
		"other prefix":   {"e", []uint64{9, 2, 3}, 0},
		"other engine":   {"f", []uint64{1, 2, 3}, 0},
		"without chunks": {"e", nil, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.chunks*chunker.ChunkTokens, index.CachedTokens(test.engine, test.chain))
		})
	}
	index.RemoveEngine("e")
	require.Zero(t, index.CachedTokens("e", []uint64{1, 2, 3}), "a removed engine has no cached tokens")
}

// TestCorrectionShrinksTheEstimate verifies that the estimated capacity shrinks when
// an engine repeatedly has less cached than estimated, and that the oldest chunks are
// evicted first.
func TestCorrectionShrinksTheEstimate(t *testing.T) {
	index := indexer.New()
	for chunk := range uint64(200) {
		index.RecordPrompt("e", []uint64{chunk})
	}
	for range 5 {
		index.Correct("e", chunker.ChunkTokens, 0)
	}
	require.Zero(t, index.CachedTokens("e", []uint64{0}))
	require.NotZero(t, index.CachedTokens("e", []uint64{199}))
}

// TestStateIsBounded records random chains and verifies that the latest one counts as
// cached, and that chunks that were never recorded do not.
func TestStateIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		index := indexer.New()
		recorded := map[uint64]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			chain := rapid.SliceOfN(rapid.Uint64Range(0, 50), 1, 6).Draw(t, "chain")
			index.RecordPrompt("e", chain)
			for _, chunk := range chain {
				recorded[chunk] = true
			}
			require.NotZero(t, index.CachedTokens("e", chain[:1]))
			if rapid.Bool().Draw(t, "correct") {
				index.Correct("e", int64(len(chain))*chunker.ChunkTokens, 0)
			}
		}
		for chunk := range uint64(60) {
			if !recorded[chunk] {
				require.Zero(t, index.CachedTokens("e", []uint64{chunk}))
			}
		}
	})
}
