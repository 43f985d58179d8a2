package forwarder

import (
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/journal"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/orderer"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// rolloutTickInterval is the time between steps while engines are being updated.
const rolloutTickInterval = 20 * clock.Millisecond

func (f *Forwarder) handleRollout(happened Event) {
	switch happened := happened.(type) {
	case WeightsNamed:
		f.handleWeightsPublished(happened)
	case LeaseRead:
		f.rollout.LeaseRead(f.now, happened.Answer)
	case LeaseWritten:
		held := f.rollout.Holding(f.now)
		f.rollout.LeaseWritten(f.now, happened.Record, happened.Answer)
		if !held && f.rollout.Holding(f.now) {
			f.log(journal.New(journal.LeaseTaken, "").With("lease", orderer.LeaseName).With("term", happened.Answer.Version))
		}
		f.broadcastNow()
	case ServerReported:
		if happened.Report.Failed && f.servers.Unreachable(f.now, happened.Server) {
			f.handleServerCrash(happened.Server)
		}
		for model, version := range happened.Report.Weights {
			if !happened.Report.Busy {
				f.recordWeights(happened.Server, model, version)
			}
		}
		f.emitRolloutSteps(f.rollout.Reported(f.now, happened.Server, happened.Report))
	case OrderReplied:
		f.log(journal.New(journal.OrderReplied, "").With("server", happened.Server).With("reply", happened.Reply))
		f.rollout.Replied(f.now, happened.Server, happened.Reply)
	}
}

// handleWeightsPublished takes in newer weights. What was named before this instance looked
// counts as named for as long as the bound, until a peer knows better.
func (f *Forwarder) handleWeightsPublished(named WeightsNamed) {
	since := f.now
	if !named.Fresh {
		since = f.now.Add(-f.settings.Bounds.WeightsApply)
	}
	if f.rollout.Named(named.Model, named.Version, since, named.Fresh) {
		f.log(journal.New(journal.WeightsNamed, "").With("model", named.Model).With("version", named.Version).With("fresh", named.Fresh))
	}
}

// recordWeights notes a version that a server itself has named.
func (f *Forwarder) recordWeights(id, model string, version int64) {
	server, ok := f.servers.Server(id)
	if !ok || server.Entry.Weights[model] == version {
		return
	}
	if server.Entry.Weights[model] < version {
		f.scheduler.Forget(id)
	}
	f.servers.Weights(id, model, version)
	if f.reportedWeights[id] == nil {
		f.reportedWeights[id] = map[string]int64{}
	}
	f.reportedWeights[id][model] = version
	f.broadcastNow()
}

// loadingEngines returns the engines that load weights, by order from here or elsewhere.
func (f *Forwarder) loadingEngines() map[string]bool {
	updating := map[string]bool{}
	for _, id := range f.rollout.Updating() {
		updating[id] = true
	}
	for _, p := range f.peers {
		if p.reachable(f.now) {
			for _, id := range p.loadingEngines {
				updating[id] = true
			}
		}
	}
	return updating
}

func (f *Forwarder) advanceRollout() {
	view := orderer.View{Rank: f.instanceRank(), StoreSteady: !f.storeDown}
	for _, server := range f.servers.All() {
		if server.Draining || len(server.Entry.Weights) == 0 {
			continue
		}
		engine := orderer.Engine{
			Entry: server.Entry, Down: server.Down(),
			Requests: f.scheduler.LoadAt(f.now, server.ID).Requests, Unused: f.hasExpiredWeights(server.Entry.Weights),
		}
		view.Engines = append(view.Engines, engine)
	}
	if f.draining {
		return
	}
	before, wished := f.rollout.Updating(), f.rollout.Wish(f.now)
	f.emitRolloutSteps(f.rollout.Next(f.now, view))
	if !slices.Equal(f.rollout.Updating(), before) || f.rollout.Wish(f.now) != wished {
		f.broadcastNow()
	}
}

// hasExpiredWeights reports whether one of the versions may not serve any more.
func (f *Forwarder) hasExpiredWeights(weights map[string]int64) bool {
	for model, version := range weights {
		if _, _, usable := f.weightsPenalty(model, version); !usable {
			return true
		}
	}
	return false
}

func (f *Forwarder) emitRolloutSteps(steps []orderer.Step) {
	for _, step := range steps {
		switch step := step.(type) {
		case orderer.ReadLease:
			f.emit(AskStore{Step: step})
		case orderer.WriteLease:
			record := step.Update.Record
			f.log(journal.New(journal.LeaseAsked, "").With("holder", record.Holder).With("writes", record.Writes).With("ifRevision", step.Update.IfRevision))
			f.emit(AskStore{Step: step})
		case orderer.Order:
			entry := journal.New(journal.OrderGiven, "").With("server", step.Server).With("model", step.Model).With("version", step.Version)
			f.log(entry.With("fence", step.Fence).With("accepted", step.Accepted))
			f.emit(AskEngine{Step: step})
		default:
			f.emit(AskEngine{Step: step})
		}
	}
}
