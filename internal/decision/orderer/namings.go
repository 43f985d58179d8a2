package orderer

import (
	"cmp"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// naming is one version of a model's weights and since when it has been named.
type naming struct {
	version int64
	at      clock.Millis
	// seen tells that someone saw the naming when it happened; else the instant is
	// the earliest that matters.
	seen bool
}

// namings are the latest versions of a model's weights, the oldest first.
type namings []naming

// maxNamings bounds the versions remembered of a model.
const maxNamings = 32

func (n namings) newest() naming {
	if len(n) == 0 {
		return naming{}
	}
	return n[len(n)-1]
}

// Named takes in that weights of the model have been named since the instant. Where
// nobody has seen that happen, the instant is the earliest that matters; one that was
// seen replaces it. It reports whether the weights are newer than those known.
func (o *Orderer) Named(model string, version int64, since clock.Millis, seen bool) bool {
	known := o.named[model]
	at, found := slices.BinarySearchFunc(known, version, func(n naming, version int64) int { return cmp.Compare(n.version, version) })
	if found {
		if seen && (!known[at].seen || since < known[at].at) {
			known[at].at, known[at].seen = since, true
		}
		return false
	}
	newer := version > known.newest().version
	known = slices.Insert(known, at, naming{version: version, at: since, seen: seen})
	o.named[model] = known[max(0, len(known)-maxNamings):]
	return newer
}

// Names returns for how long each known version has been named, by model, where that
// was seen.
func (o *Orderer) Names(now clock.Millis) map[string]map[int64]clock.Millis {
	names := map[string]map[int64]clock.Millis{}
	for model, known := range o.named {
		ages := map[int64]clock.Millis{}
		for _, n := range known {
			if n.seen {
				ages[n.version] = now.Since(n.at)
			}
		}
		names[model] = ages
	}
	return names
}

// Superseded returns when a newer version of the model's weights was learnt of. It
// reports false when the version is the newest.
func (o *Orderer) Superseded(model string, version int64) (clock.Millis, bool) {
	for _, known := range o.named[model] {
		if known.version > version {
			return known.at, true
		}
	}
	return 0, false
}
