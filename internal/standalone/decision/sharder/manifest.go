// Package sharder splits a configuration into content-addressed shards with one
// manifest, and joins them again.
//
// A change writes the new shards first, while nothing refers to them, and then
// the manifest, by one conditional update. So a change takes effect atomically,
// concurrent changes by two operators conflict at one object, and an instance
// fetches only the shards that it lacks.
//
// # Usage
//
//	shards, err := sharder.Split(configuration)
//	manifest := current.WithWrite(writeID, shards)
//	joined, err := sharder.Join(manifest, shards.ByDigest())
package sharder

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/go-faster/errors"
)

// ManifestName is the name of the manifest object.
const ManifestName = "config/manifest"

// ShardObjectName returns the name of the object that stores the shard.
func ShardObjectName(digest string) string {
	return "config/shards/" + digest
}

// maxRecentWrites is the maximum length of Manifest.Writes.
const maxRecentWrites = 32

// Manifest lists the shards of one configuration.
type Manifest struct {
	// Revision increases with each accepted change.
	Revision int64 `json:"revision"`
	// ConfigRevision is the last revision that changed more than keys.
	ConfigRevision int64 `json:"configRevision"`
	// Salt is hashed into the digests of the callers' keys.
	Salt string `json:"salt"`
	// Writes are the identifiers of the latest writes, the newest last. They show
	// whether a write took effect when its response was lost.
	Writes []string `json:"writes"`
	// Shards are content digests by shard name.
	Shards map[string]string `json:"shards"`
}

// DecodeManifest decodes a stored manifest.
func DecodeManifest(value []byte) (Manifest, error) {
	var manifest Manifest
	if err := json.Unmarshal(value, &manifest); err != nil {
		return Manifest{}, errors.Wrap(err, "sharder.DecodeManifest")
	}
	if manifest.Revision <= 0 {
		return Manifest{}, errors.New("sharder.DecodeManifest: revision is not positive")
	}
	return manifest, nil
}

// Encode returns the manifest in its stored form.
func (m Manifest) Encode() []byte {
	value, err := json.Marshal(m)
	if err != nil {
		panic("sharder.Manifest.Encode: " + err.Error())
	}
	return value
}

// Digests returns the sorted digests of the shards, without duplicates.
func (m Manifest) Digests() []string {
	digests := slices.Sorted(maps.Values(m.Shards))
	return slices.Compact(digests)
}

// WithWrite returns the manifest of the next revision, with the shards.
func (m Manifest) WithWrite(writeID string, shards Shards) Manifest {
	m.Revision++
	first := max(0, len(m.Writes)+1-maxRecentWrites)
	m.Writes = append(slices.Clone(m.Writes[first:]), writeID)
	m.Shards = shards.digestsByName()
	return m
}

// HasWrite reports whether the write is among the recent ones.
func (m Manifest) HasWrite(writeID string) bool {
	return slices.Contains(m.Writes, writeID)
}

// WithConfigChanged returns the manifest with ConfigRevision set to its revision.
func (m Manifest) WithConfigChanged() Manifest {
	m.ConfigRevision = m.Revision
	return m
}
