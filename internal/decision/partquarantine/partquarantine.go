// Package partquarantine finds the parts of prompts that crash engines, and keeps which of
// them are convicted: requests with such a part must not be sent any more.
//
// Load pattern: requests that share one part, no two alike, arrive at all instances and
// crash each engine that begins to answer them. They share their other parts with sound
// requests, which run on the same engines.
//
// A crash accuses the parts of the requests that the engine had begun to answer, without an
// event yet. Each accusation raises the part's generation above the one that was known when
// the request was sent. So crashes count only one after the other: a power failure of many
// engines is a single accusation, and instances that see the same crash raise a generation
// only once. An answer that begins after the latest accusation, and goes on, clears the part.
// Of the parts of one request, only one is convicted at a time: the one that has not survived
// for the longest time, the last in the prompt first.
//
// All instances have the same state after they have exchanged their changes in any order:
// it consists of three counters for each part, of which each one takes the maximum.
//
// A convicted part that had been sound runs again once after some time, at one instance
// after the other, to find out whether its conviction is right.
//
// # Usage
//
//	parts := partquarantine.New(capacity)
//	generations := parts.Generations(keys) // when a request is sent
//	convicted := parts.RecordCrash(now, partquarantine.Crash{Server: id, Requests: requests})
//	convicted = parts.Merge(now, evidence)
//	parts.RecordSurvival(now, beganAt, keys)
//	if part, ok := parts.FirstConvicted(keys); ok { ... }
package partquarantine

import (
	"cmp"
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// strongAccusation is the weight of a crash for the parts of a request that the engine
	// had begun to answer, weakAccusation the same if no such request is known.
	strongAccusation = 2
	weakAccusation   = 1
	// convictionScore is the score from which a part is convicted: two strong accusations
	// one after the other, or three weak ones.
	convictionScore = 3
	// recentSurvivalBonus is subtracted from the score of a part that has survived within
	// recentSurvival: popular parts are accused along with others.
	recentSurvivalBonus = 4
	recentSurvival      = 3 * clock.Second
	// suspectLifetime is the time after which an accusation is forgotten.
	suspectLifetime = clock.Minute
	// convictionLifetime is the same for a conviction.
	convictionLifetime = 24 * clock.Hour
	// repeatTime is the time for which a change is repeated to other instances.
	repeatTime = 700 * clock.Millisecond
	// maxSent limits the evidence in one message.
	maxSent = 96
)

// Evidence is the state of one part as instances exchange it.
type Evidence struct {
	Part uint64
	// Generation counts the accusations, Cleared is the generation up to which the part was
	// cleared, and Convicted the one at which it was convicted.
	Generation uint32
	Cleared    uint32
	Convicted  uint32
	// Server is the engine whose crash raised the generation by a strong accusation; 0 for
	// none.
	Server uint32
}

// score is the weight of the accusations that were not cleared.
func (e Evidence) score() int { return int(e.Generation) - int(min(e.Cleared, e.Generation)) }

// convicted reports whether the part is convicted.
func (e Evidence) convicted() bool { return e.Convicted > e.Cleared }

// confirmed reports whether the part crashed an engine again after its conviction.
func (e Evidence) confirmed() bool { return e.Generation >= e.Convicted+strongAccusation }

// Request is an interrupted request. Generations are those of its parts when it was sent.
type Request struct {
	Parts       []uint64
	Generations []uint32
	// Begun reports whether the engine had begun to answer it, without an event yet.
	Begun bool
}

// Crash is the crash of an engine with the requests that it interrupted.
type Crash struct {
	Server   uint32
	Requests []Request
}

// Begun reports whether the engine had begun to answer one of the requests.
func (c Crash) Begun() bool {
	return slices.ContainsFunc(c.Requests, func(r Request) bool { return r.Begun })
}

type record struct {
	Evidence
	changedAt clock.Millis
	raisedAt  clock.Millis
	confirms  clock.Millis // confirms is the time of this instance's latest run of a convicted part.
}

// Quarantine has the records of a bounded number of parts. It is not safe for concurrent use.
type Quarantine struct {
	records  map[uint64]record
	capacity int
	survived survivals
	// explained are the crashes for which there is a strong accusation, by engine.
	explained map[uint32]clock.Millis
}

// New returns a Quarantine for at most capacity parts. Those that are not convicted are
// evicted first.
func New(capacity int) *Quarantine {
	return &Quarantine{records: map[uint64]record{}, capacity: capacity, survived: newSurvivals(), explained: map[uint32]clock.Millis{}}
}

// Generations returns the generations of the parts, to be kept with a request that is sent.
func (q *Quarantine) Generations(parts []uint64) []uint32 {
	generations := make([]uint32, len(parts))
	for i, part := range parts {
		generations[i] = q.records[part].Generation
	}
	return generations
}

// FirstConvicted returns the first of the parts that is convicted.
func (q *Quarantine) FirstConvicted(parts []uint64) (uint64, bool) {
	i := slices.IndexFunc(parts, func(part uint64) bool { return q.records[part].convicted() })
	if i < 0 {
		return 0, false
	}
	return parts[i], true
}

// Suspicious reports whether one of the parts is convicted, or accused without having survived
// before.
func (q *Quarantine) Suspicious(parts []uint64) bool {
	return slices.ContainsFunc(parts, func(part uint64) bool {
		_, survivor := q.survived.at(part)
		return q.records[part].convicted() || (q.records[part].score() > 0 && !survivor)
	})
}

// Survived reports whether all of the parts have survived within recentSurvival.
func (q *Quarantine) Survived(now clock.Millis, parts []uint64) bool {
	return !slices.ContainsFunc(parts, func(part uint64) bool { return !q.survivedRecently(now, part) })
}

func (q *Quarantine) survivedRecently(now clock.Millis, part uint64) bool {
	at, ok := q.survived.at(part)
	return ok && now.Since(at) < recentSurvival
}

// Explained reports whether there is a strong accusation for the crash of an engine.
func (q *Quarantine) Explained(server uint32) bool {
	_, ok := q.explained[server]
	return ok
}

// RecordCrash accuses parts of the interrupted requests, and returns those that are convicted
// by it. If the engine had begun to answer some of the requests, only their parts are accused.
// A request with a convicted part explains the crash.
func (q *Quarantine) RecordCrash(now clock.Millis, crash Crash) []uint64 {
	requests, weight, server := crash.Requests, uint32(weakAccusation), uint32(0)
	if crash.Begun() {
		requests = slices.DeleteFunc(slices.Clone(requests), func(r Request) bool { return !r.Begun })
		weight, server = strongAccusation, crash.Server
		q.explain(now, server)
	}
	var explaining []Request
	for _, request := range requests {
		if part, ok := q.FirstConvicted(request.Parts); ok {
			i := slices.Index(request.Parts, part)
			explaining = append(explaining, Request{Parts: request.Parts[i : i+1], Generations: request.Generations[i : i+1]})
		}
	}
	if len(explaining) > 0 {
		requests = explaining
	}
	for _, request := range requests {
		for i, part := range request.Parts {
			raised := request.Generations[i] + weight
			if found := q.records[part]; raised > found.Generation {
				found.Evidence = Evidence{Part: part, Generation: raised, Cleared: found.Cleared, Convicted: found.Convicted, Server: server}
				found.raisedAt = now
				q.set(now, found)
			}
		}
	}
	var convicted []uint64
	for _, request := range requests {
		if part, ok := q.mostSuspect(now, request.Parts); ok {
			found := q.records[part]
			found.Convicted = found.Generation
			q.set(now, found)
			convicted = append(convicted, part)
		}
	}
	return convicted
}

// mostSuspect returns the part of a request that is to be convicted. It reports false if
// there is none, or one is convicted already.
func (q *Quarantine) mostSuspect(now clock.Millis, parts []uint64) (uint64, bool) {
	if _, ok := q.FirstConvicted(parts); ok {
		return 0, false
	}
	score := func(part uint64) int {
		if q.survivedRecently(now, part) {
			return q.records[part].score() - recentSurvivalBonus
		}
		return q.records[part].score()
	}
	best := -1
	for i, part := range parts {
		if score(part) < convictionScore {
			continue
		}
		survivedAt, _ := q.survived.at(part)
		if best >= 0 {
			bestSurvivedAt, _ := q.survived.at(parts[best])
			if cmp.Or(cmp.Compare(score(part), score(parts[best])), cmp.Compare(bestSurvivedAt, survivedAt)) < 0 {
				continue
			}
		}
		best = i
	}
	if best < 0 {
		return 0, false
	}
	return parts[best], true
}

// RecordSurvival records that an answer to a request with the parts has begun at beganAt and
// gone on. It returns the convicted parts that are cleared by it.
func (q *Quarantine) RecordSurvival(now, beganAt clock.Millis, parts []uint64) []uint64 {
	var cleared []uint64
	for _, part := range parts {
		q.survived.put(part, beganAt)
		found, ok := q.records[part]
		if !ok || found.score() == 0 || beganAt < found.raisedAt {
			continue
		}
		if found.convicted() {
			cleared = append(cleared, part)
		}
		found.Cleared = found.Generation
		q.set(now, found)
	}
	return cleared
}

// Merge takes over the evidence of another instance, and returns the parts that are convicted
// by it. It reports whether anything was new.
func (q *Quarantine) Merge(now clock.Millis, evidence []Evidence) (convicted []uint64, changed bool) {
	for _, other := range evidence {
		found := q.records[other.Part]
		merged := found
		merged.Evidence = Evidence{
			Part: other.Part, Generation: max(found.Generation, other.Generation), Cleared: max(found.Cleared, other.Cleared),
			Convicted: max(found.Convicted, other.Convicted), Server: found.Server,
		}
		if other.Generation > found.Generation {
			merged.Server, merged.raisedAt = other.Server, now
			if other.Server != 0 {
				q.explain(now, other.Server)
			}
		}
		if other.Cleared > found.Cleared {
			q.survived.put(other.Part, now)
		}
		if merged.Evidence == found.Evidence {
			continue
		}
		changed = true
		q.set(now, merged)
		if merged.convicted() && !found.convicted() {
			convicted = append(convicted, other.Part)
		}
	}
	return convicted, changed
}

// explain records that there is a strong accusation for the crash of an engine.
func (q *Quarantine) explain(now clock.Millis, server uint32) {
	if len(q.explained) >= q.capacity {
		clear(q.explained)
	}
	q.explained[server] = now
}

// Changes returns what has changed recently, for the other instances.
func (q *Quarantine) Changes(now clock.Millis) []Evidence {
	return q.collect(func(r record) bool { return now.Since(r.changedAt) <= repeatTime })
}

// Snapshot drops what is too old, and returns the parts that are accused, and those that are
// or were convicted.
func (q *Quarantine) Snapshot(now clock.Millis) []Evidence {
	maps.DeleteFunc(q.records, func(_ uint64, r record) bool { return r.expired(now) })
	maps.DeleteFunc(q.explained, func(_ uint32, at clock.Millis) bool { return now.Since(at) > suspectLifetime })
	return q.collect(func(r record) bool { return r.score() > 0 || r.Convicted > 0 })
}

// collect returns at most maxSent of the wanted records: the convicted ones and those that
// changed last go first.
func (q *Quarantine) collect(wanted func(record) bool) []Evidence {
	var found []record
	for _, r := range q.records {
		if wanted(r) {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(a, b record) int { return cmp.Or(b.compare(a), cmp.Compare(a.Part, b.Part)) })
	var evidence []Evidence
	for _, r := range found[:min(maxSent, len(found))] {
		evidence = append(evidence, r.Evidence)
	}
	return evidence
}

// compare orders records by their importance.
func (r record) compare(other record) int {
	weight := func(r record) int {
		if r.convicted() {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(weight(r), weight(other)), cmp.Compare(r.changedAt, other.changedAt))
}

func (r record) expired(now clock.Millis) bool {
	if r.convicted() {
		return now.Since(r.changedAt) > convictionLifetime
	}
	return now.Since(r.changedAt) > suspectLifetime
}

// set stores a changed record. If there are too many, the least important one is dropped.
func (q *Quarantine) set(now clock.Millis, changed record) {
	changed.changedAt = now
	if _, known := q.records[changed.Part]; !known && len(q.records) >= q.capacity {
		least := slices.MinFunc(slices.Collect(maps.Values(q.records)), func(a, b record) int {
			return cmp.Or(a.compare(b), cmp.Compare(a.Part, b.Part))
		})
		delete(q.records, least.Part)
	}
	q.records[changed.Part] = changed
}
