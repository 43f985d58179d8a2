package rollout

import (
	"cmp"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// publishedVersion is a version of a model's weights and the time of its publication.
type publishedVersion struct {
	version     int64
	publishedAt clock.Millis
	// exact is set if an instance observed the publication. Otherwise publishedAt is the
	// earliest possible time.
	exact bool
	// gapSince is the earliest possible time of publication of versions between the one before and
	// this one, of which this instance does not know.
	gapSince clock.Millis
	// learnedAt is the time at which it became known here; it was published before.
	learnedAt clock.Millis
}

// versionHistory are the latest versions of a model's weights, the oldest first.
type versionHistory []publishedVersion

// maxVersions limits the versions that are kept for each model.
const maxVersions = 32

func (h versionHistory) newest() publishedVersion {
	if len(h) == 0 {
		return publishedVersion{}
	}
	return h[len(h)-1]
}

// search returns the index of the version, or of the next newer one, and whether it is known.
func (h versionHistory) search(version int64) (int, bool) {
	return slices.BinarySearchFunc(h, version, func(p publishedVersion, version int64) int { return cmp.Compare(p.version, version) })
}

// AddVersion records a published version of a model's weights, which becomes known now. If no instance has
// observed the publication, exact is false and publishedAt is the earliest possible time. A
// later bound replaces an earlier one, an observed time replaces a bound, and an earlier
// observed time replaces a later one. AddVersion reports whether the version is newer than
// all known ones, and whether a time has changed.
func (c *Controller) AddVersion(now clock.Millis, model string, version int64, publishedAt clock.Millis, exact bool) (newer, changed bool) {
	return c.AddVersionAfterGap(now, model, version, publishedAt, publishedAt, exact)
}

// AddVersionAfterGap does the same for a version before which others may have been published that are not
// known, but not before gapSince.
func (c *Controller) AddVersionAfterGap(now clock.Millis, model string, version int64, publishedAt, gapSince clock.Millis, exact bool) (newer, changed bool) {
	known := c.versions[model]
	index, found := known.search(version)
	if found {
		before := known[index]
		if (exact && (!before.exact || publishedAt < before.publishedAt)) || (!exact && !before.exact && publishedAt > before.publishedAt) {
			known[index].publishedAt, known[index].exact = publishedAt, exact
			return false, true
		}
		return false, false
	}
	newer = version > known.newest().version
	known = slices.Insert(known, index, publishedVersion{version: version, publishedAt: publishedAt, exact: exact, gapSince: gapSince, learnedAt: now})
	c.versions[model] = known[max(0, len(known)-maxVersions):]
	return newer, true
}

// Knows reports whether the version of the model's weights was recorded, and whether its
// publication was observed.
func (c *Controller) Knows(model string, version int64) (known, exact bool) {
	index, found := c.versions[model].search(version)
	return found, found && c.versions[model][index].exact
}

// Newest returns the newest known version of the model's weights; 0 for none.
func (c *Controller) Newest(model string) int64 { return c.versions[model].newest().version }

// VersionAges returns the time since the publication of each version, by model and
// version, where the publication was observed.
func (c *Controller) VersionAges(now clock.Millis) map[string]map[int64]clock.Millis {
	return c.ages(now, func(published publishedVersion) bool { return published.exact })
}

// VersionBounds returns the longest possible times since the publications of the other
// versions, up to the limit.
func (c *Controller) VersionBounds(now, limit clock.Millis) map[string]map[int64]clock.Millis {
	return c.ages(now, func(published publishedVersion) bool {
		return !published.exact && now.Since(published.publishedAt) < limit
	})
}

func (c *Controller) ages(now clock.Millis, includes func(publishedVersion) bool) map[string]map[int64]clock.Millis {
	byModel := map[string]map[int64]clock.Millis{}
	for model, known := range c.versions {
		ages := map[int64]clock.Millis{}
		for _, published := range known {
			if includes(published) {
				ages[published.version] = now.Since(published.publishedAt)
			}
		}
		byModel[model] = ages
	}
	return byModel
}

// SupersededAt returns the time of publication, or the earliest possible one, of the first
// newer version of the model's weights, known or not. It reports false if the version is the newest.
func (c *Controller) SupersededAt(model string, version int64) (clock.Millis, bool) {
	known := c.versions[model]
	first, found := known.search(version + 1)
	if !found && first == len(known) {
		return 0, false
	}
	at := known[first].publishedAt
	if known[first].version > version+1 {
		at = min(at, known[first].gapSince)
	}
	for _, later := range known[first+1:] {
		// A version that a restored store names for the first time is not newer than those that were
		// published or known before it.
		if later.exact || later.learnedAt < at {
			at = min(at, later.publishedAt)
		}
	}
	return at, true
}
