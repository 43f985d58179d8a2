// Package chooser chooses a backend server for a request: by the request's
// prefix, so that cached blocks are used again, but never one that carries much
// more than its part of the work.
//
// # Usage
//
//	choice, ok := chooser.Choose(chooser.BoundedPrefix, prefix, turn, candidates)
package chooser

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Load bounds: a server is full when its work is above the mean times
// loadFactor/loadUnit plus one request.
const (
	loadFactor = 125
	loadUnit   = 100
)

// inFlightTokens is what one request in flight counts for in the cost, in tokens.
const inFlightTokens = 32

// Candidate is a server that could run the request.
type Candidate struct {
	Name string
	// InFlight is the number of requests placed here and not seen to end.
	InFlight int
	// QueuedTokens is the prompt tokens placed here whose first token has not come, and
	// Missed those of this request that are not cached here; both are estimates.
	QueuedTokens   int64
	UncachedTokens int64
}

// cost returns the estimated tokens to process until the first token.
func (c Candidate) cost() int64 {
	return c.QueuedTokens + c.UncachedTokens + int64(c.InFlight)*inFlightTokens
}

// Scored is a candidate with its rank for the request's prefix.
type Scored struct {
	Candidate Candidate
	Hash      uint64
	Full      bool
}

// String returns the candidate as "name/in flight/queued/missed".
func (s Scored) String() string {
	numbers := []int64{int64(s.Candidate.InFlight), s.Candidate.QueuedTokens, s.Candidate.UncachedTokens}
	text := s.Candidate.Name
	for _, number := range numbers {
		text += "/" + strconv.FormatInt(number, 10)
	}
	return text
}

// Choice is the chosen candidate and what it was chosen from, best first.
type Choice struct {
	Chosen Candidate
	Ranked []Scored
}

// Choose returns the candidate that the policy takes for the prefix. The turn
// counts the choices. It reports false when there is no candidate.
func Choose(policy Policy, prefix, turn uint64, candidates []Candidate) (Choice, bool) {
	if len(candidates) == 0 {
		return Choice{}, false
	}
	ranked := rank(prefix, candidates)
	i := policy.index(turn, ranked)
	return Choice{Chosen: ranked[i].Candidate, Ranked: ranked}, true
}

func rank(prefix uint64, candidates []Candidate) []Scored {
	limit := fullAt(candidates)
	ranked := make([]Scored, len(candidates))
	for i, candidate := range candidates {
		ranked[i] = Scored{Candidate: candidate, Hash: Rendezvous(prefix, candidate.Name), Full: candidate.InFlight >= limit}
	}
	slices.SortFunc(ranked, func(a, b Scored) int {
		return cmp.Or(cmp.Compare(b.Hash, a.Hash), cmp.Compare(a.Candidate.Name, b.Candidate.Name))
	})
	return ranked
}

func fullAt(candidates []Candidate) int {
	total := 1
	for _, candidate := range candidates {
		total += candidate.InFlight
	}
	scaled := total * loadFactor
	unit := len(candidates) * loadUnit
	return (scaled + unit - 1) / unit
}

// Rendezvous returns the weight of the named node for the key; the node with
// the highest weight owns the key.
func Rendezvous(key uint64, name string) uint64 {
	var bytes [8]byte
	binary.LittleEndian.PutUint64(bytes[:], key)
	hash := xxhash.New()
	hash.Write(bytes[:])
	hash.WriteString(name)
	return hash.Sum64()
}
