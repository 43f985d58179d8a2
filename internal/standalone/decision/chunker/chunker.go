// Package chunker cuts a prompt into chunks and names each by the hash of all
// text up to its end, so that equal prefixes have equal names.
//
// # Usage
//
//	chain := chunker.Chain(prompt)              // content only
//	keys := chunker.Scoped(scope, chain)        // for one team, model and weights
package chunker

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Sizes of prompts.
const (
	// BytesPerToken is how many bytes of text are counted as one token.
	BytesPerToken = 4
	// ChunkTokens is the length of one chunk, in tokens.
	ChunkTokens = 2000
	chunkBytes  = ChunkTokens * BytesPerToken
)

// EstimateTokens returns the tokens of a text of the given length in bytes, rounded up.
func EstimateTokens(length int) int64 {
	return int64((length + BytesPerToken - 1) / BytesPerToken)
}

// Chain returns the hash of each prefix that ends at a chunk boundary, and last
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

// Scope is within what cached blocks may be used again.
type Scope struct {
	Team    string
	Model   string
	Weights string
}

// Salt returns the hash that stands for the scope.
func (s Scope) Salt() uint64 {
	hash := xxhash.New()
	for _, field := range []string{s.Team, s.Model, s.Weights} {
		writeNumber(hash, uint64(len(field)))
		hash.WriteString(field)
	}
	return hash.Sum64()
}

// ScopeChain returns the chain as it is within the scope.
func ScopeChain(scope Scope, chain []uint64) []uint64 {
	salt := scope.Salt()
	scoped := make([]uint64, len(chain))
	for i, content := range chain {
		hash := xxhash.New()
		writeNumber(hash, salt)
		writeNumber(hash, content)
		scoped[i] = hash.Sum64()
	}
	return scoped
}

func writeNumber(hash *xxhash.Digest, number uint64) {
	var bytes [8]byte
	binary.LittleEndian.PutUint64(bytes[:], number)
	hash.Write(bytes[:])
}
