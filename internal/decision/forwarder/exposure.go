package forwarder

import (
	"fmt"
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/digest"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/exposurekeeper"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/registry"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// exposureInterval is the time between two decisions about a roll-out of software.
	exposureInterval = 50 * clock.Millisecond
	// targetScanInterval is the time between two scans for servers of the target.
	targetScanInterval = 500 * clock.Millisecond
	// completedTime is the time for which old servers get nothing after a completion: they
	// stop at once, but are listed until their entries expire.
	completedTime = 30 * clock.Second
	// stoppedStreamDivisor divides the bound on taking back: streams that a bad version began
	// may go on there in the first part of it.
	stoppedStreamDivisor = 2
)

// rollouts is the state of the roll-outs of software.
type rollouts struct {
	// exposures are the roll-outs by service. followsRollouts reports whether this instance
	// copies their orders.
	exposures       map[string]*exposure
	followsRollouts bool
	nextExposure    clock.Millis
	exposureSums    exposureSums
	// exposed are the running attempts by their key, and interrupted those that wait to be
	// judged.
	exposed     map[string]exposedAttempt
	interrupted []interruptedAttempt
	// firstEvents are the mean times to the first event on old servers, in milliseconds.
	firstEvents map[exposureRoute]float64
}

func newRollouts(follows bool) rollouts {
	return rollouts{exposures: map[string]*exposure{}, followsRollouts: follows, exposureSums: newExposureSums(), exposed: map[string]exposedAttempt{}, firstEvents: map[exposureRoute]float64{}}
}

// exposure is a roll-out of a service's software at this instance.
type exposure struct {
	keeper        exposurekeeper.Keeper
	order         exposurekeeper.Order
	id            uint32
	era, revision int64
	// final is the verdict in the status, and finalAt the time at which it was seen.
	// generation is the revision of an earlier order's final status; 0 for none.
	final      exposurekeeper.Verdict
	finalAt    clock.Millis
	generation int64

	own digest.ExposureSums
	// rounding is a random part of one request by which this instance rounds its share.
	rounding     float64
	targetListed bool
	nextScan     clock.Millis
	// idleSince is the time since which no request is known to run on an old server; 0 while
	// one does.
	idleSince clock.Millis
	stoppedAt clock.Millis
	decision  exposurekeeper.Decision
	verdictWrite
}

// exposureID identifies an order in digests.
func exposureID(order exposurekeeper.Order, generation int64) uint32 {
	return digest.ID(fmt.Sprint(order.Service, "\x00", order.Target, "\x00", int64(order.Duration), "\x00", generation))
}

func (f *Forwarder) handleRolloutEvent(event Event) {
	switch event := event.(type) {
	case SoftwareOrdered:
		f.handleSoftwareOrdered(event)
	case SoftwareOrderRemoved:
		delete(f.exposures, event.Service)
	case VerdictWritten:
		f.handleVerdictWritten(event)
	}
}

// handleSoftwareOrdered takes over an order, or a change of its status. After a return of the
// store from an older copy, what is known of the order remains.
func (f *Forwarder) handleSoftwareOrdered(ordered SoftwareOrdered) {
	if !f.followsRollouts || !f.settings.Bounds.LimitsExposure() {
		return
	}
	service := ordered.Order.Service
	known, found := f.exposures[service]
	if found && known.era == ordered.Era && known.revision > ordered.Revision {
		return
	}
	repeated := found && known.order == ordered.Order && known.final != exposurekeeper.Continue && ordered.Final == exposurekeeper.Continue && known.era == ordered.Era
	if found && known.order == ordered.Order && !repeated {
		known.era, known.revision = ordered.Era, ordered.Revision
		if ordered.Final != known.final {
			f.setFinal(known, ordered.Final)
		}
		return
	}
	bounds := exposurekeeper.Bounds{Share: f.settings.Bounds.ExposureShare, Slack: f.settings.Bounds.ExposureSlack, Rollback: f.settings.Bounds.RollbackTime}
	added := &exposure{order: ordered.Order, era: ordered.Era, revision: ordered.Revision, keeper: exposurekeeper.New(ordered.Order, bounds)}
	added.rounding = float64(f.jitter(drawSteps)) / drawSteps
	if repeated {
		added.generation = known.revision
	}
	added.id = exposureID(added.order, added.generation)
	f.exposures[service] = added
	maps.DeleteFunc(f.firstEvents, func(route exposureRoute, _ float64) bool { return found && route.order == known.id })
	f.exposureSums.see(f.now, digest.Exposure{Order: added.id})
	f.log(eventlog.New(eventlog.RolloutOrdered, "").With("service", service).With("target", added.order.Target).With("duration", added.order.Duration).With("revision", added.revision).With("status", ordered.Final))
	if ordered.Final != exposurekeeper.Continue {
		f.setFinal(added, ordered.Final)
		return
	}
	f.exposeRunning(added)
	f.nextExposure = 0
	f.expediteRelay()
}

// setFinal records the verdict in the status.
func (f *Forwarder) setFinal(e *exposure, verdict exposurekeeper.Verdict) {
	e.final, e.finalAt = verdict, f.now
	if verdict == exposurekeeper.Continue {
		// The store has come back from a copy without the status.
		f.exposeRunning(e)
		return
	}
	f.log(eventlog.New(eventlog.RolloutEnded, "").With("service", e.order.Service).With("target", e.order.Target).With("verdict", verdict))
}

// advanceExposures decides about the roll-outs that are in progress.
func (f *Forwarder) advanceExposures() {
	if len(f.exposures) == 0 || f.now < f.nextExposure {
		return
	}
	f.nextExposure = f.now.Add(exposureInterval)
	f.settleInterrupted()
	for _, service := range slices.Sorted(maps.Keys(f.exposures)) {
		if e := f.exposures[service]; e.final == exposurekeeper.Continue {
			f.decideExposure(e)
		}
	}
}

func (f *Forwarder) decideExposure(e *exposure) {
	state, sums := f.exposureSums.orders[e.id], f.allExposure(e)
	f.scanTarget(e)
	switch {
	case sums.OldRunning > 0:
		e.idleSince = 0
	case e.idleSince == 0:
		e.idleSince = f.now
	}
	seen := exposurekeeper.Observation{
		Age: f.now.Since(state.seenAt), Phase: state.phase, Routes: sums.Routes, TargetRequests: sums.TargetRequests, AllRequests: sums.AllRequests,
		TargetListed: e.targetListed, AllReachable: f.reachableCount() >= f.instanceCount(), LongestRequest: f.longestRequest(e.order.Service),
	}
	if e.idleSince > 0 {
		seen.IdleFor = f.now.Since(e.idleSince)
	}
	if state.phase == exposurekeeper.Move {
		seen.MovingFor = f.now.Since(state.movingSince)
	}
	e.decision = e.keeper.Decide(seen)
	if e.decision.Phase > state.phase {
		f.enterPhase(e, state, sums)
	}
	if state.phase == exposurekeeper.Stopped && e.stoppedAt == 0 {
		e.stoppedAt = f.now
	}
	if e.decision.Phase == exposurekeeper.Trial && f.cutOffFromMost() {
		// The others may count the bad answers that end the exposure.
		e.decision.Share = 0
	}
	f.writeVerdict(e)
}

// enterPhase records a new phase that this instance has decided, and tells the neighbors soon.
func (f *Forwarder) enterPhase(e *exposure, state *orderState, sums digest.ExposureSums) {
	state.enter(f.now, e.decision.Phase, 0)
	entry := eventlog.New(eventlog.RolloutPhase, "").With("service", e.order.Service).With("target", e.order.Target).With("phase", e.decision.Phase).With("reason", e.decision.Reason)
	if compared, ok := sums.Routes[e.decision.Route]; ok {
		entry = entry.With("route", f.routeName(e.decision.Route)).With("targetCounts", formatCounts(compared.Target)).With("oldCounts", formatCounts(compared.Old))
	}
	f.log(entry.With("targetRequests", sums.TargetRequests).With("allRequests", sums.AllRequests).With("age", f.now.Since(state.seenAt)))
	f.expediteRelay()
}

func formatCounts(counts exposurekeeper.Counts) string {
	return fmt.Sprintf("%d/%d/%d", counts.OK, counts.Failed, counts.Slow)
}

func (f *Forwarder) routeName(id uint32) string {
	for _, route := range f.desired.Routes {
		if digest.ID(route.Name) == id {
			return route.Name
		}
	}
	return ""
}

// scanTarget records whether servers of the target have been listed.
func (f *Forwarder) scanTarget(e *exposure) {
	if e.targetListed || f.now < e.nextScan {
		return
	}
	first := e.nextScan == 0
	e.nextScan = f.now.Add(targetScanInterval)
	e.targetListed = slices.ContainsFunc(f.servers.All(), func(server registry.Server) bool {
		return server.Service == e.order.Service && server.SoftwareVersion == e.order.Target
	})
	if first && !e.targetListed {
		f.log(eventlog.New(eventlog.RolloutTargetUnknown, "").With("service", e.order.Service).With("target", e.order.Target))
	}
}

// cutOffFromMost reports whether this instance reaches fewer than half of all, or has just
// started and does not know yet.
func (f *Forwarder) cutOffFromMost() bool {
	return 2*f.reachableCount() < f.instanceCount() || f.now.Since(f.startedAt) < bucketWarmup
}

// longestRequest returns the longest time that a request to the service may take.
func (f *Forwarder) longestRequest(service string) clock.Millis {
	var longest clock.Millis
	for _, route := range f.desired.Routes {
		if !route.LeadsTo(service) {
			continue
		}
		timeout := defaultTimeout
		if route.Timeout > 0 {
			timeout = route.Timeout
		}
		longest = max(longest, timeout)
	}
	return longest
}
