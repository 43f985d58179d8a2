// Package idgenerator generates identifiers from a seeded random source, so that a
// run with the same seed has the same identifiers.
//
// # Usage
//
//	ids := idgenerator.New(seed)
//	attempt := ids.NewID("a")
package idgenerator

import (
	"encoding/hex"
	"math/rand/v2"
)

// idBytes is the length of the random part of an identifier, in bytes.
const idBytes = 12

// Generator generates identifiers from a seeded random source.
type Generator struct {
	source *rand.ChaCha8
}

// New returns a Generator with the seed.
func New(seed [32]byte) *Generator {
	return &Generator{source: rand.NewChaCha8(seed)}
}

// NewID returns the next identifier: the prefix followed by random hexadecimal digits.
func (g *Generator) NewID(prefix string) string {
	var random [idBytes]byte
	g.source.Read(random[:])
	return prefix + hex.EncodeToString(random[:])
}
