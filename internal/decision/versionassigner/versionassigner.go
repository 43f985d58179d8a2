// Package versionassigner assigns the streams of a service to the versions of its servers'
// software by the identifier of the request that begins them. The record of the assignment
// lies in the store.
//
// Load pattern: servers of two versions serve side by side, or those of the old one have
// just left, when all instances lose power. Their callers come back to instances that know
// no stream. What two versions write does not fit together, so that a stream goes on only
// at the version that began it, which any instance computes from the record.
//
// A record has the current assignment and the earlier ones of which streams may still be
// resumed. An instance begins streams by the newest record that it has. The version of a
// stream is known only where all assignments agree. Earlier ones are dropped when no
// instance has a stream of them left but a few, which the record lists. Instances that have just started can't know of the
// streams of their earlier starts; then the record states for how long those may be resumed.
// A reader needs no common clock for that: at least the time has passed since the write for
// which it has had the record.
//
// The record also names the era of the store and the routes for which it was written. In
// another era, or with other routes, it says nothing about streams that began before.
//
// # Usage
//
//	record := versionassigner.New(era, routes, versionassigner.Shares(servers))
//	version := record.Pick("stream-1")
//	version, known := record.Resolve("stream-1")
package versionassigner

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/balancer"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// MaxShares limits the shares of an assignment. Each costs one hash for each stream.
	MaxShares = 16
	// maxEarlier limits the earlier assignments of a record; with more, the versions of
	// streams are unknown until all have been dropped.
	maxEarlier = 4
	// MaxExceptions limits the exceptions of a record: the streams that run while a version
	// is replaced. Each takes some twenty bytes in the store.
	MaxExceptions = 512
	// maxNameBytes limits the length of a version's name.
	maxNameBytes = 256
	// shareStep separates the hashes of the shares of one version.
	shareStep = 0x9E3779B97F4A7C15
)

// Record is the assignment of a service's streams as it is stored. Values are immutable.
type Record struct {
	era    int64
	routes string
	// current and earlier have the number of shares by version. An empty one stands for
	// streams whose versions are unknown.
	current map[string]int
	earlier []map[string]int
	// left is the time after the write of the record in which streams of the earlier
	// assignments may still be resumed; 0 if it is unknown.
	left clock.Millis
	// exceptions are the versions of the streams that did not begin by the current assignment,
	// by the hash of their identifier; conflicting ones have several.
	exceptions map[uint64][]string
}

// wireRecord is the stored form of a Record.
type wireRecord struct {
	Era     int64            `json:"era"`
	Routes  string           `json:"routes"`
	Current map[string]int   `json:"current"`
	Earlier []map[string]int `json:"earlier"`
	Left    clock.Millis     `json:"leftMs"`
	// Exceptions are the hashes of streams, in hexadecimal as JSON numbers are too short, by
	// version.
	Exceptions map[string][]string `json:"exceptions,omitempty"`
}

// New returns the first record. Streams may have begun without one.
func New(era int64, routes string, shares map[string]int) Record {
	return Record{era: era, routes: routes, current: shares, earlier: []map[string]int{{}}}
}

// Shares returns the shares of versions that have the given numbers of servers.
func Shares(servers map[string]int) map[string]int {
	total := 0
	for _, count := range servers {
		total += count
	}
	shares := make(map[string]int, len(servers))
	for version, count := range servers {
		if total > MaxShares {
			count = max(min(count, 1), (count*MaxShares+total/2)/total)
		}
		if count > 0 {
			shares[version] = count
		}
	}
	return shares
}

// IsFor reports whether the record was written in the era and for the routes.
func (r Record) IsFor(era int64, routes string) bool { return r.era == era && r.routes == routes }

// Settled reports whether no stream of an earlier assignment may be left.
func (r Record) Settled() bool { return len(r.earlier) == 0 }

// Shares returns the shares of the current assignment by version.
func (r Record) Shares() map[string]int { return maps.Clone(r.current) }

// Pick returns the version at which the stream begins.
func (r Record) Pick(stream string) string { return pick(r.current, stream) }

// At returns the record as it is when at least the given time has passed since its write.
func (r Record) At(age clock.Millis) Record {
	if r.left > 0 && age >= r.left {
		return r.WithoutEarlier()
	}
	return r
}

// SettledIn returns the time until At returns a settled record, for a record of the age. It
// reports false if that is unknown.
func (r Record) SettledIn(age clock.Millis) (clock.Millis, bool) {
	return max(0, r.left-age), r.left > 0
}

// Resolve returns the version at which the stream began. It reports false if it is unknown.
func (r Record) Resolve(stream string) (string, bool) {
	if versions := r.exceptions[Hash(stream)]; len(versions) > 0 {
		return versions[0], len(versions) == 1
	}
	version := pick(r.current, stream)
	for _, shares := range r.earlier {
		if pick(shares, stream) != version {
			return "", false
		}
	}
	return version, version != ""
}

// Sole returns the version at which all streams began. It reports false if there may be
// several.
func (r Record) Sole() (string, bool) {
	versions := slices.Collect(maps.Keys(r.current))
	if len(versions) != 1 {
		return "", false
	}
	for _, shares := range r.earlier {
		if _, found := shares[versions[0]]; !found || len(shares) != 1 {
			return "", false
		}
	}
	for _, others := range r.exceptions {
		if len(others) != 1 || others[0] != versions[0] {
			return "", false
		}
	}
	return versions[0], true
}

// WithoutExceptions returns the record without its exceptions.
func (r Record) WithoutExceptions() Record { return r.withExceptions(nil) }

// NamesOnly reports whether the record names no version but the given one.
func (r Record) NamesOnly(version string) bool {
	for _, shares := range append(slices.Clip(r.earlier), r.current) {
		for named := range shares {
			if named != version {
				return false
			}
		}
	}
	for _, versions := range r.exceptions {
		if slices.ContainsFunc(versions, func(named string) bool { return named != version }) {
			return false
		}
	}
	return true
}

// WithCurrent returns the record with another current assignment.
func (r Record) WithCurrent(shares map[string]int) Record {
	earlier := append(slices.Clip(r.earlier), r.current)
	if len(earlier) > maxEarlier {
		earlier = []map[string]int{{}}
	}
	return Record{era: r.era, routes: r.routes, current: shares, earlier: earlier, exceptions: r.exceptions}
}

// WithOrigin returns the record for another era of the store or for other routes. It says
// nothing about the streams that began before.
func (r Record) WithOrigin(era int64, routes string) Record {
	return Record{era: era, routes: routes, current: r.current, earlier: []map[string]int{{}}}
}

// WithLeft returns the record in which streams of the earlier assignments may be resumed for
// the given time after its write.
func (r Record) WithLeft(left clock.Millis) Record {
	r.left = left
	return r
}

// WithoutEarlier returns the record without the earlier assignments.
func (r Record) WithoutEarlier() Record {
	return Record{era: r.era, routes: r.routes, current: r.current, exceptions: r.exceptions}
}

// withExceptions returns the record with these exceptions only.
func (r Record) withExceptions(exceptions map[uint64][]string) Record {
	r.exceptions = exceptions
	return r
}

// joinExceptions returns the exceptions of both. It reports false if there are too many.
func joinExceptions(first, second map[uint64][]string) (map[uint64][]string, bool) {
	joined := maps.Clone(first)
	if joined == nil {
		joined = map[uint64][]string{}
	}
	for stream, versions := range second {
		for _, version := range versions {
			if !slices.Contains(joined[stream], version) {
				joined[stream] = append(slices.Clip(joined[stream]), version)
			}
		}
	}
	return joined, len(joined) <= MaxExceptions
}

// Encode returns the record as it is stored.
func (r Record) Encode() []byte {
	exceptions := map[string][]string{}
	for _, stream := range slices.Sorted(maps.Keys(r.exceptions)) {
		for _, version := range r.exceptions[stream] {
			exceptions[version] = append(exceptions[version], strconv.FormatUint(stream, 16))
		}
	}
	value, err := json.Marshal(wireRecord{Exceptions: exceptions, Era: r.era, Routes: r.routes, Current: r.current, Earlier: r.earlier, Left: r.left})
	if err != nil {
		panic("versionassigner.Record.Encode: " + err.Error())
	}
	return value
}

// Decode decodes a stored record.
func Decode(value []byte) (Record, error) {
	var wire wireRecord
	if err := json.Unmarshal(value, &wire); err != nil {
		return Record{}, errors.Wrap(err, "versionassigner.Decode")
	}
	exceptions := map[uint64][]string{}
	for version, hashes := range wire.Exceptions {
		for _, text := range hashes {
			hash, err := strconv.ParseUint(text, 16, 64)
			if err != nil || len(version) > maxNameBytes || len(exceptions) >= MaxExceptions {
				return Record{}, errors.Errorf("versionassigner.Decode: an exception can't be read, or there are more than %d", MaxExceptions)
			}
			exceptions[hash] = append(exceptions[hash], version)
		}
	}
	if len(wire.Earlier) > maxEarlier {
		return Record{}, errors.Errorf("versionassigner.Decode: %d earlier assignments, at most %d are allowed", len(wire.Earlier), maxEarlier)
	}
	if len(wire.Current) == 0 {
		return Record{}, errors.New("versionassigner.Decode: the current assignment is missing")
	}
	for _, shares := range append(slices.Clip(wire.Earlier), wire.Current) {
		if len(shares) > MaxShares {
			return Record{}, errors.Errorf("versionassigner.Decode: an assignment has %d versions, at most %d are allowed", len(shares), MaxShares)
		}
		for version, count := range shares {
			if count < 1 || count > MaxShares || len(version) > maxNameBytes {
				return Record{}, errors.Errorf("versionassigner.Decode: the shares of a version are out of range: %d", count)
			}
		}
	}
	return Record{era: wire.Era, routes: wire.Routes, current: wire.Current, earlier: wire.Earlier, left: max(0, wire.Left), exceptions: exceptions}, nil
}

// Hash returns the hash of a stream's identifier in the exceptions.
func Hash(stream string) uint64 { return xxhash.Sum64String(stream) }

// pick returns the version whose share has the highest hash for the stream; empty if there
// is none. A change of the shares moves only the streams of the shares that changed.
func pick(shares map[string]int, stream string) string {
	key := Hash(stream)
	best, highest := "", uint64(0)
	for version, count := range shares {
		for share := range uint64(count) {
			hash := balancer.Rendezvous(key^(share*shareStep), version)
			if hash > highest || (hash == highest && version < best) {
				best, highest = version, hash
			}
		}
	}
	return best
}
