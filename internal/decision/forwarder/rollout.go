package forwarder

import (
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/digest"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/relayer"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/replicator"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/rollout"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// rolloutTickInterval is the time between steps while a rollout is active.
	rolloutTickInterval = 20 * clock.Millisecond
	// idleRolloutInterval is the same while it is not.
	idleRolloutInterval = 100 * clock.Millisecond
)

func (f *Forwarder) handleRollout(event Event) {
	f.nextRollout = 0
	switch event := event.(type) {
	case WeightsPublished:
		f.handleWeightsPublished(event)
	case LeaseRead:
		f.rollout.HandleLeaseRead(f.now, event.Response)
	case LeaseWritten:
		heldBefore := f.rollout.HoldsLease(f.now)
		f.rollout.HandleLeaseWritten(f.now, event.Record, event.Response)
		if !heldBefore && f.rollout.HoldsLease(f.now) {
			f.log(eventlog.New(eventlog.LeaseTaken, "").With("lease", rollout.LeaseName).With("term", event.Response.Version))
		}
		f.broadcastNow()
	case EngineReported:
		f.recordStart(event.Server, event.Report)
		if event.Report.Unreachable && !f.paused(event.Server) {
			f.recordUnreachable(event.Server, event.Report.Gone, f.now)
		}
		for model, version := range event.Report.WeightVersions {
			if !event.Report.Busy {
				f.recordWeights(event.Server, model, version)
			}
		}
		f.emitRolloutSteps(f.rollout.HandleReport(f.now, event.Server, event.Report))
	case OrderReplied:
		f.log(eventlog.New(eventlog.OrderReplied, "").With("server", event.Server).With("reply", event.Reply))
		f.rollout.HandleOrderOutcome(f.now, event.Server, event.Reply)
	}
}

// withWeights adds the version of the weights to the entry, if it is that of one model, the time since a newer
// one was published, and the age of this instance's copy of the published versions.
func (f *Forwarder) withWeights(entry eventlog.Entry, weights boundWeights) eventlog.Entry {
	if len(weights.versions) == 0 {
		return entry
	}
	if _, version, ok := weights.sole(); ok {
		entry = entry.With("weights", version)
	}
	if supersededAt, superseded := f.supersededAt(weights); superseded {
		entry = entry.With("supersededFor", f.now.Since(supersededAt))
	}
	confirmedAt := f.replicas.Copy(replicator.Weights).ConfirmedAt
	if confirmedAt == 0 {
		return entry.With("versionsAge", "never")
	}
	return entry.With("versionsAge", f.now.Since(confirmedAt))
}

// recordServed records the version that the response to the current attempt names, if it is not the one that
// was sent. That one is no news: the server may have loaded others since it wrote the head.
func (f *Forwarder) recordServed(fl *flight, version int64) {
	model, sent, ok := fl.weights.sole()
	if !ok || version == 0 || version == sent {
		return
	}
	entry := eventlog.New(eventlog.OtherWeightsServed, fl.id()).With("server", fl.server).With("attempt", fl.attempt)
	entry = entry.With("sent", sent).With("served", version)
	if supersededAt, superseded := f.rollout.SupersededAt(model, version); superseded {
		entry = entry.With("supersededFor", f.now.Since(supersededAt))
	}
	f.log(entry)
	f.recordWeights(fl.server, model, version)
}

// recordAnsweredWeights records the version that the response to an attempt names, unless it may be that of
// another model.
func (f *Forwarder) recordAnsweredWeights(id string, weights boundWeights, version int64) {
	if model, _, ok := weights.sole(); ok && version > 0 {
		f.recordWeights(id, model, version)
	}
}

// recordWeights records the version that a server itself reported.
func (f *Forwarder) recordWeights(id, model string, version int64) {
	server, ok := f.servers.Server(id)
	if !ok || server.Entry.WeightVersions[model] == version {
		return
	}
	if server.Entry.WeightVersions[model] < version {
		f.scheduler.Forget(id)
	}
	f.servers.SetWeightVersion(id, model, version)
	f.weightsNotices.Add(f.now, digest.ReportedWeights{Server: id, Model: model, Version: version}, relayer.Own)
	f.broadcastNow()
}

// loadingEngines returns the engines that load weights, by order of this instance or of
// a peer.
func (f *Forwarder) loadingEngines() map[string]bool {
	loading := map[string]bool{}
	for _, id := range f.rollout.LoadingEngines() {
		loading[id] = true
	}
	for _, received := range f.orders {
		if f.now.Since(received.renewedAt) < ordersTimeout {
			for _, id := range received.orders.LoadingEngines {
				loading[id] = true
			}
		}
	}
	return loading
}

// advanceRollout performs the next steps of the rollout.
func (f *Forwarder) advanceRollout() {
	if f.now < f.nextRollout {
		return
	}
	f.nextRollout = f.now.Add(idleRolloutInterval)
	if f.rollout.HoldsLease(f.now) || len(f.rollout.LoadingEngines()) > 0 {
		f.nextRollout = f.now.Add(rolloutTickInterval)
	}
	view := rollout.View{Rank: f.instanceRank(), StoreReachable: !f.storeDown, NeedsLease: f.needsLease(), MaxWeightsAge: f.settings.Bounds.MaxWeightsAge}
	for _, server := range f.servers.All() {
		// Orders must come from one instance, and another one reaches the engines.
		if f.paths.CutOff() {
			break
		}
		if !server.AcceptsRequests() || server.Paused(f.now) || len(server.Entry.WeightVersions) == 0 {
			continue
		}
		engine := rollout.Engine{
			Entry: server.Entry, Down: server.Down(),
			Requests: f.scheduler.ServerLoad(f.now, server.ID).Requests, TooOld: f.hasExpiredWeights(server.Entry.WeightVersions),
		}
		view.Engines = append(view.Engines, engine)
	}
	if f.draining && !f.mayOrderInStop() {
		return
	}
	loadingBefore, relayRequestBefore := f.rollout.LoadingEngines(), f.rollout.RelayRequest(f.now)
	f.emitRolloutSteps(f.rollout.Next(f.now, view))
	if !slices.Equal(f.rollout.LoadingEngines(), loadingBefore) || f.rollout.RelayRequest(f.now) != relayRequestBefore {
		f.broadcastNow()
	}
}

// hasExpiredWeights reports whether one of the versions is too old to serve requests.
func (f *Forwarder) hasExpiredWeights(versions map[string]int64) bool {
	_, usable := f.weightsPenalty(boundWeights{versions: versions})
	return !usable
}

func (f *Forwarder) emitRolloutSteps(steps []rollout.Step) {
	for _, step := range steps {
		switch step := step.(type) {
		case rollout.ReadLease:
			f.emit(CallStore{Step: step})
		case rollout.WriteLease:
			record := step.Update.Record
			f.log(eventlog.New(eventlog.LeaseAsked, "").With("holder", record.Holder).With("writes", record.Writes).With("ifRevision", step.Update.IfRevision))
			f.emit(CallStore{Step: step})
		case rollout.Order:
			if f.paused(step.Server) {
				continue
			}
			entry := eventlog.New(eventlog.OrderGiven, "").With("server", step.Server).With("model", step.Model).With("version", step.Version)
			f.log(entry.With("fence", step.Fence).With("accepted", step.AcceptedOrders))
			f.emit(CallEngine{Step: step})
		case rollout.RequestReport:
			if !f.paused(step.Server) {
				f.emit(CallEngine{Step: step})
			}
		}
	}
}
