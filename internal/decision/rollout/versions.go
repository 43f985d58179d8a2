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
	// exact is set if an instance observed the publication. Otherwise publishedAt is
	// assumed: so early that the previous version has reached its age limit.
	exact bool
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

// AddVersion records a published version of a model's weights. If no instance has
// observed the publication, exact is false and publishedAt is an assumed early time; an
// observed time replaces it, and an earlier observed time replaces a later one. AddVersion
// reports whether the version is newer than all known ones, and whether a time has changed.
func (c *Controller) AddVersion(model string, version int64, publishedAt clock.Millis, exact bool) (newer, changed bool) {
	known := c.versions[model]
	index, found := slices.BinarySearchFunc(known, version, func(p publishedVersion, version int64) int { return cmp.Compare(p.version, version) })
	if found {
		if exact && (!known[index].exact || publishedAt < known[index].publishedAt) {
			known[index].publishedAt, known[index].exact = publishedAt, true
			return false, true
		}
		return false, false
	}
	newer = version > known.newest().version
	known = slices.Insert(known, index, publishedVersion{version: version, publishedAt: publishedAt, exact: exact})
	c.versions[model] = known[max(0, len(known)-maxVersions):]
	return newer, true
}

// VersionAges returns the time since the publication of each version, by model and
// version, where the publication was observed.
func (c *Controller) VersionAges(now clock.Millis) map[string]map[int64]clock.Millis {
	byModel := map[string]map[int64]clock.Millis{}
	for model, known := range c.versions {
		ages := map[int64]clock.Millis{}
		for _, published := range known {
			if published.exact {
				ages[published.version] = now.Since(published.publishedAt)
			}
		}
		byModel[model] = ages
	}
	return byModel
}

// SupersededAt returns the publication time of the next newer version of the model's
// weights. It reports false if the version is the newest.
func (c *Controller) SupersededAt(model string, version int64) (clock.Millis, bool) {
	for _, known := range c.versions[model] {
		if known.version > version {
			return known.publishedAt, true
		}
	}
	return 0, false
}
