package forwarder

import (
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/journal"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/orderer"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// orderStep is the time between steps while engines are being updated.
const orderStep = 20 * clock.Millisecond

func (f *Forwarder) handleOrders(happened Event) {
	switch happened := happened.(type) {
	case WeightsNamed:
		f.weightsNamed(happened)
	case LeaseRead:
		f.orders.HandleLeaseRead(f.now, happened.Answer)
	case LeaseWritten:
		held := f.orders.HoldsLease(f.now)
		f.orders.HandleLeaseWritten(f.now, happened.Record, happened.Answer)
		if !held && f.orders.HoldsLease(f.now) {
			f.log(journal.New(journal.LeaseTaken, "").With("lease", orderer.LeaseName).With("term", happened.Answer.Version))
		}
		f.tellSoon()
	case ServerReported:
		if happened.Report.Failed && f.servers.MarkUnreachable(f.now, happened.Server) {
			f.wentDown(happened.Server)
		}
		for model, version := range happened.Report.Weights {
			if !happened.Report.Busy {
				f.heardWeights(happened.Server, model, version)
			}
		}
		f.perform(f.orders.HandleReport(f.now, happened.Server, happened.Report))
	case OrderReplied:
		f.log(journal.New(journal.OrderReplied, "").With("server", happened.Server).With("reply", happened.Reply))
		f.orders.HandleOrderOutcome(f.now, happened.Server, happened.Reply)
	}
}

// weightsNamed takes in newer weights. What was named before this instance looked
// counts as named for as long as the bound, until a peer knows better.
func (f *Forwarder) weightsNamed(named WeightsNamed) {
	since := f.now
	if !named.Fresh {
		since = f.now.Add(-f.site.Bounds.WeightsApply)
	}
	if f.orders.AddVersion(named.Model, named.Version, since, named.Fresh) {
		f.log(journal.New(journal.WeightsNamed, "").With("model", named.Model).With("version", named.Version).With("fresh", named.Fresh))
	}
}

// heardWeights notes a version that a server itself has named.
func (f *Forwarder) heardWeights(id, model string, version int64) {
	server, ok := f.servers.Server(id)
	if !ok || server.Entry.WeightVersions[model] == version {
		return
	}
	if server.Entry.WeightVersions[model] < version {
		f.places.Forget(id)
	}
	f.servers.SetWeightVersion(id, model, version)
	if f.rumours[id] == nil {
		f.rumours[id] = map[string]int64{}
	}
	f.rumours[id][model] = version
	f.tellSoon()
}

// updating returns the engines that load weights, by order from here or elsewhere.
func (f *Forwarder) updating() map[string]bool {
	updating := map[string]bool{}
	for _, id := range f.orders.UpdatingEngines() {
		updating[id] = true
	}
	for _, p := range f.peers {
		if p.heard(f.now) {
			for _, id := range p.updating {
				updating[id] = true
			}
		}
	}
	return updating
}

func (f *Forwarder) stepOrders() {
	view := orderer.View{Rank: f.rank(), StoreReachable: !f.storeDown}
	for _, server := range f.servers.All() {
		if server.Draining || len(server.Entry.WeightVersions) == 0 {
			continue
		}
		engine := orderer.Engine{
			Entry: server.Entry, Down: server.Down(),
			Requests: f.places.ServerLoad(f.now, server.ID).Requests, TooOld: f.tooOld(server.Entry.WeightVersions),
		}
		view.Engines = append(view.Engines, engine)
	}
	if f.draining {
		return
	}
	before, wished := f.orders.UpdatingEngines(), f.orders.RelayRequest(f.now)
	f.perform(f.orders.Next(f.now, view))
	if !slices.Equal(f.orders.UpdatingEngines(), before) || f.orders.RelayRequest(f.now) != wished {
		f.tellSoon()
	}
}

// tooOld reports whether one of the versions may not serve any more.
func (f *Forwarder) tooOld(weights map[string]int64) bool {
	for model, version := range weights {
		if _, _, usable := f.agePenalty(model, version); !usable {
			return true
		}
	}
	return false
}

func (f *Forwarder) perform(steps []orderer.Step) {
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
			f.log(entry.With("fence", step.Fence).With("accepted", step.AcceptedOrders))
			f.emit(AskEngine{Step: step})
		default:
			f.emit(AskEngine{Step: step})
		}
	}
}
