// Package digest defines the message in which each instance broadcasts its state to its
// peers several times a second. Its fields are whole values rather than changes, so that
// a lost datagram only delays them. CacheDeltas are the exception: a peer that missed
// some reads the server itself. Fields that seldom change may be left out of a digest.
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
	"github.com/hyssopdoor/hyssopdoor/internal/decision/rollout"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Digest is the state of one instance as its peers receive it.
type Digest struct {
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	Address string `json:"address"`
	// Incarnation differs for each start of the instance; Sequence grows with each
	// digest.
	Incarnation string `json:"incarnation"`
	Sequence    int64  `json:"sequence"`
	Leaving     bool   `json:"leaving,omitempty"`
	// Admitted is the number of tokens admitted since the start, by team; BucketLevels
	// are the levels of the teams' buckets in tokens.
	Admitted     map[string]int64 `json:"spent,omitempty"`
	BucketLevels map[string]int64 `json:"levels,omitempty"`
	// Loads are the number of requests, the prompt tokens to prefill and the tokens
	// held in memory, by server.
	Loads map[string][3]int64 `json:"loads,omitempty"`
	// SentParts are the keys and tokens of recently sent prompt parts, by server.
	SentParts map[string][][2]uint64 `json:"sent,omitempty"`
	// CacheDeltas are the changes of servers' caches that the instance has read since
	// its last digest, by server.
	CacheDeltas map[string]cachetracker.Delta `json:"caches,omitempty"`
	// UnreachableServers are the servers that the instance can't reach.
	UnreachableServers []string `json:"down,omitempty"`
	// LoadingEngines are the engines that the instance has ordered to load weights;
	// ReportedWeights are the versions that servers reported themselves and that differ
	// from their entries in the store, by server and model.
	LoadingEngines  []string                    `json:"updating,omitempty"`
	ReportedWeights map[string]map[string]int64 `json:"weights,omitempty"`
	// WeightsAges are the times since versions of weights were published, by model and
	// version, in milliseconds.
	WeightsAges map[string]map[int64]clock.Millis `json:"named,omitempty"`
	// Lease is the instance's latest observation of the rollout lease; HoldsLease
	// reports whether it holds the lease.
	Lease      rollout.Observation `json:"lease"`
	HoldsLease bool                `json:"orders,omitempty"`
	// StoreDown reports whether the instance can't reach the store; RelayRequest is the
	// update of the lease that it asks its peers to write.
	StoreDown    bool           `json:"storeDown,omitempty"`
	RelayRequest rollout.Update `json:"wish"`
	// CrashedServers are the servers that crashed, by the fingerprint of a request that
	// ran there.
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

// Decode decodes and validates a datagram.
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
