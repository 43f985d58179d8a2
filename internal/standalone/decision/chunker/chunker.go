// Package chunker splits a prompt into chunks and identifies each by the hash of
// all text up to its end, so that equal prefixes have equal hashes.
//
// # Usage
//
//	chain := chunker.Chain(prompt)              // depends on the content only
//	keys := chunker.ScopeChain(scope, chain)    // for one team, model and weights
package chunker

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Sizes of tokens and chunks.
const (
	// BytesPerToken is the number of bytes that are counted as one token.
	BytesPerToken = 4
	// ChunkTokens is the size of a chunk in tokens.
	ChunkTokens = 2000
	chunkBytes  = ChunkTokens * BytesPerToken
)

// EstimateTokens returns the estimated number of tokens of a text of length bytes,
// rounded up.
func EstimateTokens(length int) int64 {
	return int64((length + BytesPerToken - 1) / BytesPerToken)
}

// Chain returns the hashes of the prefixes that end at a chunk boundary, followed by
// the hash of the whole prompt.
func Chain(prompt string) []uint64 {
	hash := xxhash.New()
	chain := make([]uint64, 0, len(prompt)/chunkBytes+1)
	for len(prompt) > chunkBytes {
		hash.WriteString(prompt[:chunkBytes])
		chain = append(chain, hash.Sum64())
		prompt = prompt[chunkBytes:]
	}
	hash.WriteString(prompt)
	return append(chain, hash.Sum64())
}

// Scope limits the reuse of cached blocks to one team, model and version of weights.
type Scope struct {
	Team    string
	Model   string
	Weights string
}

// Salt returns the hash of the scope.
func (s Scope) Salt() uint64 {
	hash := xxhash.New()
	for _, field := range []string{s.Team, s.Model, s.Weights} {
		writeUint64(hash, uint64(len(field)))
		hash.WriteString(field)
	}
	return hash.Sum64()
}

// ScopeChain returns the chain with each hash combined with the scope.
func ScopeChain(scope Scope, chain []uint64) []uint64 {
	salt := scope.Salt()
	scoped := make([]uint64, len(chain))
	for i, prefixHash := range chain {
		hash := xxhash.New()
		writeUint64(hash, salt)
		writeUint64(hash, prefixHash)
		scoped[i] = hash.Sum64()
	}
	return scoped
}

func writeUint64(hash *xxhash.Digest, number uint64) {
	var bytes [8]byte
	binary.LittleEndian.PutUint64(bytes[:], number)
	hash.Write(bytes[:])
}
