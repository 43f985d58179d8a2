// Package sharder splits a configuration into content-named shards under one
// manifest, and joins them again.
//
// A change writes the new shards first, which nothing refers to yet, and then
// the manifest by one conditional update. So a change of many parts is in
// force whole or not at all, two racing operators meet at one object, and an
// instance fetches just the shards that it lacks.
//
// # Usage
//
//	shards, err := sharder.Split(configuration)
//	manifest := current.WithShards(shards)
//	configuration, err := sharder.Join(manifest, values)
package sharder

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/go-faster/errors"
)

// ManifestName is the name of the manifest object.
const ManifestName = "config/manifest"

// ShardObjectName returns the name of the object that has the shard.
func ShardObjectName(digest string) string {
	return "config/shards/" + digest
}

// maxWrites bounds Manifest.Writes.
const maxWrites = 32

// Manifest names the shards of one configuration.
type Manifest struct {
	// Revision grows with each accepted change.
	Revision int64 `json:"revision"`
	// ConfigRevision is the revision that last changed anything but keys.
	ConfigRevision int64 `json:"configRevision"`
	// Salt is mixed into the digests of the callers' keys.
	Salt string `json:"salt"`
	// Writes are the identifiers of the latest writes, this one last. They tell
	// whether a write whose answer was lost took effect.
	Writes []string `json:"writes"`
	// Shards are content digests by the shard's name.
	Shards map[string]string `json:"shards"`
}

// DecodeManifest reads a manifest.
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

// Encode returns the manifest as it is stored.
func (m Manifest) Encode() []byte {
	value, err := json.Marshal(m)
	if err != nil {
		panic("sharder.Manifest.Encode: " + err.Error())
	}
	return value
}

// Digests returns the digests of the shards, sorted and each once.
func (m Manifest) Digests() []string {
	digests := slices.Sorted(maps.Values(m.Shards))
	return slices.Compact(digests)
}

// WithWrite returns the manifest's successor with the shards.
func (m Manifest) WithWrite(writeID string, shards Shards) Manifest {
	m.Revision++
	first := max(0, len(m.Writes)+1-maxWrites)
	m.Writes = append(slices.Clone(m.Writes[first:]), writeID)
	m.Shards = shards.names()
	return m
}

// HasWrite reports whether the write is one of the latest.
func (m Manifest) HasWrite(writeID string) bool {
	return slices.Contains(m.Writes, writeID)
}

// WithConfigChanged returns the manifest marked as a change of more than keys.
func (m Manifest) WithConfigChanged() Manifest {
	m.ConfigRevision = m.Revision
	return m
}
