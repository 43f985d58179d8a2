package sharder

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/hasher"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/config"
)

const (
	// shardCount is the number of shards for teams, and also for keys.
	shardCount = 64
	// maxShardBytes is the platform's maximum size of a value.
	maxShardBytes = 1_000_000

	// fleetShardName is the name of the shard with the domains, classes and routes.
	fleetShardName = "fleet"
)

// Shards are the encoded parts of a configuration by shard name.
type Shards map[string][]byte

// shardContent is the content of one shard; unused fields stay empty.
type shardContent struct {
	Domains []string                `json:"domains,omitempty"`
	Classes map[string]config.Class `json:"classes,omitempty"`
	Routes  map[string]config.Route `json:"routes,omitempty"`
	Teams   map[string]config.Team  `json:"teams,omitempty"`
	Keys    map[string]config.Key   `json:"keys,omitempty"`
}

// Split returns the shards of the configuration. A shard that exceeds the
// platform's maximum size is an error.
func Split(configuration config.Config) (Shards, error) {
	contents := map[string]*shardContent{fleetShardName: {Domains: configuration.Domains, Classes: configuration.Classes, Routes: configuration.Routes}}
	for name, team := range configuration.Teams {
		shard := shardFor(contents, "teams", name)
		if shard.Teams == nil {
			shard.Teams = map[string]config.Team{}
		}
		shard.Teams[name] = team
	}
	for digest, key := range configuration.Keys {
		shard := shardFor(contents, "keys", digest)
		if shard.Keys == nil {
			shard.Keys = map[string]config.Key{}
		}
		shard.Keys[digest] = key
	}
	return encodeShards(contents)
}

func shardFor(contents map[string]*shardContent, kind, name string) *shardContent {
	shardName := fmt.Sprintf("%s/%02d", kind, xxhash.Sum64String(name)%shardCount)
	if contents[shardName] == nil {
		contents[shardName] = &shardContent{}
	}
	return contents[shardName]
}

func encodeShards(contents map[string]*shardContent) (Shards, error) {
	shards := Shards{}
	for _, name := range slices.Sorted(maps.Keys(contents)) {
		value, err := json.Marshal(contents[name])
		if err != nil {
			return nil, errors.Wrap(err, "sharder.Split: "+name)
		}
		if len(value) > maxShardBytes {
			return nil, errors.Errorf("sharder.Split: shard %s has %d bytes, the platform holds %d; use fewer or shorter entries", name, len(value), maxShardBytes)
		}
		shards[name] = value
	}
	return shards, nil
}

// Join returns the configuration whose shards the manifest lists. Values are by
// digest; a missing or undecodable one is an error.
func Join(manifest Manifest, values map[string][]byte) (config.Config, error) {
	return NewJoiner().Join(manifest, values)
}

// Joiner joins successive configurations and decodes only the shards that are new
// since the last one. It is not safe for concurrent use.
type Joiner struct {
	decoded map[string]shardContent // decoded has the shards of the last configuration, by digest.
}

// NewJoiner returns a Joiner without decoded shards.
func NewJoiner() *Joiner {
	return &Joiner{}
}

// Join returns the configuration whose shards the manifest lists.
func (j *Joiner) Join(manifest Manifest, values map[string][]byte) (config.Config, error) {
	decoded, err := j.decodeShards(manifest, values)
	if err != nil {
		return config.Config{}, err
	}
	j.decoded = decoded
	configuration := config.Defaults()
	for name, digest := range manifest.Shards {
		shard := decoded[digest]
		if name == fleetShardName {
			configuration.Domains = shard.Domains
		}
		maps.Copy(configuration.Classes, shard.Classes)
		maps.Copy(configuration.Routes, shard.Routes)
		maps.Copy(configuration.Teams, shard.Teams)
		maps.Copy(configuration.Keys, shard.Keys)
	}
	return configuration, nil
}

func (j *Joiner) decodeShards(manifest Manifest, values map[string][]byte) (map[string]shardContent, error) {
	decoded := make(map[string]shardContent, len(manifest.Shards))
	for _, name := range slices.Sorted(maps.Keys(manifest.Shards)) {
		digest := manifest.Shards[name]
		if previous, ok := j.decoded[digest]; ok {
			decoded[digest] = previous
			continue
		}
		value, ok := values[digest]
		if !ok {
			return nil, errors.Errorf("sharder.Join: shard %s is missing", name)
		}
		var shard shardContent
		if err := json.Unmarshal(value, &shard); err != nil {
			return nil, errors.Wrap(err, "sharder.Join: "+name)
		}
		decoded[digest] = shard
	}
	return decoded, nil
}

// ByDigest returns the shards' values by their digests.
func (s Shards) ByDigest() map[string][]byte {
	values := make(map[string][]byte, len(s))
	for _, value := range s {
		values[hasher.Content(value)] = value
	}
	return values
}

func (s Shards) digestsByName() map[string]string {
	digests := make(map[string]string, len(s))
	for name, value := range s {
		digests[name] = hasher.Content(value)
	}
	return digests
}
