package forwarder

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/registry"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// boundWeights are the weights on which an attempt may run at its server: those of one model, or of all models
// of the server if the request names none of them. A server without weights has none.
type boundWeights struct {
	// model is the only model that counts; empty for all.
	model    string
	versions map[string]int64
}

// weightsAt returns the weights on which the request would run at the server, whether or not it has a prompt.
func (fl *flight) weightsAt(server registry.Server) boundWeights {
	versions := server.Entry.WeightVersions
	if _, serves := versions[fl.request.Model]; serves {
		return boundWeights{model: fl.request.Model, versions: versions}
	}
	return boundWeights{versions: versions}
}

// sole returns the model and the version if the weights are those of one model.
func (w boundWeights) sole() (model string, version int64, ok bool) {
	if w.model != "" {
		return w.model, w.versions[w.model], true
	}
	if len(w.versions) == 1 {
		for model, version := range w.versions {
			return model, version, true
		}
	}
	return "", 0, false
}

// supersededAt returns the time at which the first of the weights was superseded. It reports false if all are
// the newest.
func (f *Forwarder) supersededAt(w boundWeights) (clock.Millis, bool) {
	if w.model != "" {
		return f.rollout.SupersededAt(w.model, w.versions[w.model])
	}
	first, superseded := clock.Millis(0), false
	for model, version := range w.versions {
		if at, ok := f.rollout.SupersededAt(model, version); ok && (!superseded || at < first) {
			first, superseded = at, true
		}
	}
	return first, superseded
}
