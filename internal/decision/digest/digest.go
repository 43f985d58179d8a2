// Package digest has what an instance tells the others several times a second: a
// whole state each time, so that a lost datagram costs nothing but its delay.
//
// # Usage
//
//	datagram, err := state.Encode()
//	state, err := digest.Decode(datagram)
package digest

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/cachetracker"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/orderer"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Digest is one instance's state for its peers.
type Digest struct {
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	Address string `json:"address"`
	// Incarnation differs for each start; Sequence grows with each digest.
	Incarnation string `json:"incarnation"`
	Sequence    int64  `json:"sequence"`
	Leaving     bool   `json:"leaving,omitempty"`
	// Admitted is what was admitted since the start, by team, in tokens; Levels are the
	// levels of the teams' buckets.
	Admitted     map[string]int64 `json:"spent,omitempty"`
	BucketLevels map[string]int64 `json:"levels,omitempty"`
	// Loads are requests, prompt tokens to read and tokens held, by server.
	Loads map[string][3]int64 `json:"loads,omitempty"`
	// SentParts are the keys and tokens of prompt parts that were sent lately, by server.
	SentParts map[string][][2]uint64 `json:"sent,omitempty"`
	// CacheDeltas are what the instance has just read of the caches of servers.
	CacheDeltas map[string]cachetracker.News `json:"caches,omitempty"`
	// UnreachableServers are the servers that the instance can't reach.
	UnreachableServers []string `json:"down,omitempty"`
	// LoadingEngines are the engines that the instance has ordered to load weights, and
	// Weights the versions that it knows better than the store, by server and model.
	LoadingEngines  []string                    `json:"updating,omitempty"`
	ReportedWeights map[string]map[string]int64 `json:"weights,omitempty"`
	// WeightsAges is for how long versions of weights have been named, by model and version,
	// in milliseconds.
	WeightsAges map[string]map[int64]clock.Millis `json:"named,omitempty"`
	// Lease is the instance's latest sight of the lease of orders; Orders tells that
	// it holds it.
	Lease      orderer.Sight `json:"lease"`
	HoldsLease bool          `json:"orders,omitempty"`
	// StoreDown tells that the instance can't reach the store, and Wish the update of
	// the lease that it asks its peers to make.
	StoreDown    bool           `json:"storeDown,omitempty"`
	RelayRequest orderer.Update `json:"wish"`
	// CrashedServers are the servers that crashed, by the fingerprint of a request that ran
	// there.
	CrashedServers map[string][]string `json:"crashes,omitempty"`
}

// Encode returns the digest as a datagram.
func (d Digest) Encode() ([]byte, error) {
	datagram, err := json.Marshal(d)
	if err != nil {
		return nil, errors.Wrap(err, "digest.Encode")
	}
	return datagram, nil
}

// Decode reads a datagram.
func Decode(datagram []byte) (Digest, error) {
	var d Digest
	if err := json.Unmarshal(datagram, &d); err != nil {
		return Digest{}, errors.Wrap(err, "digest.Decode")
	}
	if d.Name == "" || d.Incarnation == "" {
		return Digest{}, errors.New("digest.Decode: the name or the incarnation is missing")
	}
	return d, nil
}
