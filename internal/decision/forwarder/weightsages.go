package forwarder

import (
	"cmp"
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/digest"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/replicator"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/revisiondater"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/storeposition"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// maxStall is the time between two steps from which what has arrived may have waited to be read.
	maxStall = 250 * clock.Millisecond
	// maxUncertainty is the time to within which a publication must be known to count as observed: the
	// store is confirmed more often, unless an answer or this instance is late.
	maxUncertainty = clock.Second
	// maxServerWaitDivisor sets the longest wait of a request at a server to the age limit divided by this:
	// callers leave, or are answered, before that.
	maxServerWaitDivisor = 2
	// copyDelay is the time in which a copy of the store's objects usually follows a digest.
	copyDelay = 500 * clock.Millisecond
	// agesRepeated is the time for which all digests have the ages of weights that are new.
	agesRepeated = clock.Second
)

// weightsAges has what the ages of published weights are found from. The age must not count from when
// an instance learns of a version: it may have missed the publication.
type weightsAges struct {
	// revisions dates the store's revisions.
	revisions *revisiondater.Dater
	// stalledAt is the time of the latest step that came late, and repeatUntil the time until which all
	// digests have the ages.
	stalledAt   clock.Millis
	repeatUntil clock.Millis
	// newest has the newest version of each model's weights that came with its position in the store.
	newest map[string]int64
	// named has the times at which an earlier build named versions that are not known yet.
	named map[namedWeights]clock.Millis
}

// namedWeights is a version of a model's weights.
type namedWeights struct {
	model   string
	version int64
}

func (n namedWeights) compare(other namedWeights) int {
	return cmp.Or(cmp.Compare(n.model, other.model), cmp.Compare(n.version, other.version))
}

func newWeightsAges() weightsAges {
	return weightsAges{revisions: revisiondater.New(), newest: map[string]int64{}, named: map[namedWeights]clock.Millis{}}
}

// handleWeightsPublished records newer weights, also if a digest has named them before. A later change of the
// same version says nothing about its publication.
func (f *Forwarder) handleWeightsPublished(published WeightsPublished) {
	known, _ := f.rollout.Knows(published.Model, published.Version)
	if known && published.Version <= f.weightsAges.newest[published.Model] {
		return
	}
	f.weightsAges.newest[published.Model] = max(f.weightsAges.newest[published.Model], published.Version)
	publishedAt, exact := f.datePublication(published)
	f.addWeights(published.Model, published.Version, publishedAt, exact, "store")
}

// datePublication returns the earliest possible time of a publication, and whether that is close enough to
// count as observed. The store did not have the object's latest change when its revision was still lower; only a
// publication changes the object. What arrives late has a lower bound, and is not observed.
func (f *Forwarder) datePublication(published WeightsPublished) (publishedAt clock.Millis, observed bool) {
	publishedAt = f.earliestPublication(published.Model, published.Version)
	if notBefore, ok := f.weightsAges.revisions.NotBefore(published.Position); ok {
		publishedAt = max(publishedAt, notBefore)
	}
	return publishedAt, f.now.Since(publishedAt) <= maxUncertainty
}

// earliestPublication returns the earliest possible time of publication of a version that is new to this
// instance. Its copy was current, without the version, when it was last confirmed; of a version before the
// newest one it shows nothing. Versions that are older than MaxWeightsAge are all the same.
func (f *Forwarder) earliestPublication(model string, version int64) clock.Millis {
	earliest, confirmedAt := f.now.Add(-f.settings.Bounds.MaxWeightsAge), f.replicas.Copy(replicator.Weights).ConfirmedAt
	if confirmedAt == 0 || version < f.rollout.Newest(model) {
		return earliest
	}
	return max(earliest, confirmedAt)
}

// addWeights records published weights, of which this instance learned from the store or a peer.
func (f *Forwarder) addWeights(model string, version int64, publishedAt clock.Millis, exact bool, from string) {
	known, wasExact := f.rollout.Knows(model, version)
	newer, changed := f.rollout.AddVersionAfterGap(f.now, model, version, publishedAt, f.earliestPublication(model, version), exact)
	if changed {
		f.nextWithdrawal = f.now
	}
	dated := exact || f.now.Since(publishedAt) < f.settings.Bounds.MaxWeightsAge
	if dated && (!known || (exact && !wasExact)) {
		f.weightsAges.repeatUntil = f.now.Add(agesRepeated)
		if !f.arrangement.Flat() {
			f.expediteRelay()
		}
	}
	if newer {
		entry := eventlog.New(eventlog.WeightsNamed, "").With("model", model).With("version", version)
		f.log(entry.With("fresh", exact).With("age", f.now.Since(publishedAt)).With("from", from))
	}
}

// mergeWeightsAges records the ages that a peer has stated. Ages count until now, unless the digest
// may have waited, here or at the peer: then from when this instance sent what the peer had received before. The
// times of an earlier build may be too small by any time, so that they only name the versions.
func (f *Forwarder) mergeWeightsAges(message digest.Digest) {
	sums, echoed := f.sent.Find(f.now, message.Echo)
	bound := func(model string, version int64, age clock.Millis) {
		earliest := sums.SentAt.Add(-age)
		switch known, _ := f.rollout.Knows(model, version); {
		case known && !echoed:
			return
		case !known && !echoed:
			earliest = f.earliestPublication(model, version)
		case !known:
			earliest = max(earliest, f.earliestPublication(model, version))
		}
		f.addWeights(model, version, earliest, false, "peer")
	}
	observe := func(model string, version int64, age clock.Millis) {
		f.addWeights(model, version, f.now.Add(-age), true, "peer")
	}
	if !echoed || sums.SentAt < f.weightsAges.stalledAt || f.now.Since(sums.SentAt) > maxUncertainty {
		observe = bound
	}
	forEachAge(message.WeightsAges, observe)
	forEachAge(message.WeightsBounds, bound)
	name := func(model string, version int64, _ clock.Millis) {
		named := namedWeights{model: model, version: version}
		if _, waiting := f.weightsAges.named[named]; !waiting {
			f.weightsAges.named[named] = f.now
		}
	}
	forEachAge(message.EarlierAges, name)
	forEachAge(message.EarlierBounds, name)
	f.addNamedWeights()
}

// addNamedWeights records the versions that an earlier build has named. The copy from which it has the newest
// one tells more about the publication, so that there is some time for it to arrive.
func (f *Forwarder) addNamedWeights() {
	if len(f.weightsAges.named) == 0 {
		return
	}
	for _, named := range slices.SortedFunc(maps.Keys(f.weightsAges.named), namedWeights.compare) {
		known, _ := f.rollout.Knows(named.model, named.version)
		if !known && named.version > f.rollout.Newest(named.model) && f.now.Since(f.weightsAges.named[named]) < copyDelay {
			continue
		}
		delete(f.weightsAges.named, named)
		if !known {
			f.addWeights(named.model, named.version, f.earliestPublication(named.model, named.version), false, "earlierBuild")
		}
	}
}

func forEachAge(byModel map[string]map[int64]clock.Millis, do func(model string, version int64, age clock.Millis)) {
	for model, ages := range byModel {
		for version, age := range ages {
			do(model, version, age)
		}
	}
}

// fillWeightsAges adds the ages of weights to a digest: to each one while they are new, and to full ones.
func (f *Forwarder) fillWeightsAges(message *digest.Digest, full bool) {
	if full || f.now < f.weightsAges.repeatUntil {
		message.WeightsAges, message.WeightsBounds = f.WeightsAges(f.now)
		message.EarlierAges, message.EarlierBounds = f.agesWithWait(message.WeightsAges), message.WeightsBounds
	}
}

// agesWithWait returns ages for builds that check the limit only when they choose a server: what waits there
// begins later, so that the wait counts as age.
func (f *Forwarder) agesWithWait(byModel map[string]map[int64]clock.Millis) map[string]map[int64]clock.Millis {
	wait := f.settings.Bounds.MaxWeightsAge / maxServerWaitDivisor
	withWait := map[string]map[int64]clock.Millis{}
	forEachAge(byModel, func(model string, version int64, age clock.Millis) {
		if withWait[model] == nil {
			withWait[model] = map[int64]clock.Millis{}
		}
		withWait[model][version] = age + wait
	})
	return withWait
}

// WeightsAges returns the times since weights were published, by model and version, and the longest
// possible times where no instance has observed the publication.
func (f *Forwarder) WeightsAges(now clock.Millis) (ages, bounds map[string]map[int64]clock.Millis) {
	return f.rollout.VersionAges(now), f.rollout.VersionBounds(now, f.settings.Bounds.MaxWeightsAge)
}

// confirmRevision records that the store had no later revision than a copy that was read from it.
func (f *Forwarder) confirmRevision(read replicator.Copy) {
	f.weightsAges.revisions.Confirm(read.ConfirmedAt, storeposition.Position{Era: read.Era, Revision: max(read.Revision, read.Through)})
}
