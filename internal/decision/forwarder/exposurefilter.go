package forwarder

import (
	"cmp"
	"math"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/balancer"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/exposurekeeper"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/registry"
)

const (
	// drawFactor is the probability of a draw for the target, as a multiple of the share.
	// The cap on this instance's own requests limits the number of draws; they are spread by
	// chance, so that no route with a regular interval gets all or none.
	drawFactor = 3
	drawSteps  = 1_000_000
)

// exposureDraw is the choice of a version for a request.
type exposureDraw struct {
	order    uint32
	phase    exposurekeeper.Phase
	toTarget bool
}

// serversInExposure returns those of a service's servers that may take the request while the
// service's software is rolled out. Streams that have begun are bound by their origin.
func (f *Forwarder) serversInExposure(fl *flight, servers []registry.Server) []registry.Server {
	e, ok := f.exposures[fl.service]
	if !ok {
		return servers
	}
	target, old := splitByVersion(servers, e.order.Target)
	stopped := e.final == exposurekeeper.RollBack || e.stoppedAt > 0
	switch {
	case len(target) == 0 || len(old) == 0:
		// Nothing else can serve. A bad version gets nothing while old servers are listed.
		return servers
	case stopped && fl.begun() && fl.origin.SoftwareVersion == e.order.Target && f.mayFinishStreams(e):
		return servers
	case stopped:
		return old
	case e.final == exposurekeeper.Complete && f.now.Since(e.finalAt) > completedTime:
		return servers
	case fl.begun():
		return servers
	case fl.hasOrigin && e.decision.Phase == exposurekeeper.Trial:
		// The assignment of streams keeps to the share.
		return append(old, f.trialServers(target, len(old), e.decision.Share)...)
	case fl.hasOrigin && e.final != exposurekeeper.Complete:
		return servers
	case e.final == exposurekeeper.Complete, e.decision.Phase == exposurekeeper.Move && e.decision.Share >= 1:
		return target
	case !f.drawsTarget(fl, e):
		return old
	case e.decision.Phase == exposurekeeper.Trial:
		return f.trialServers(target, len(old), e.decision.Share)
	default:
		return target
	}
}

// mayFinishStreams reports whether streams that a bad version began may still go on there.
func (f *Forwarder) mayFinishStreams(e *exposure) bool {
	since := e.stoppedAt
	if since == 0 {
		since = e.finalAt
	}
	return f.now.Since(since) < f.settings.Bounds.RollbackTime/stoppedStreamDivisor
}

func splitByVersion(servers []registry.Server, target string) (ofTarget, others []registry.Server) {
	for _, server := range servers {
		switch {
		case server.SoftwareVersion == target:
			ofTarget = append(ofTarget, server)
		default:
			others = append(others, server)
		}
	}
	return ofTarget, others
}

// trialServers returns the servers of the target that share the requests of the trial: so few
// that each has about the load of an old server, as a version may be bad under load only.
func (f *Forwarder) trialServers(target []registry.Server, oldCount int, share float64) []registry.Server {
	count := int(math.Ceil(share / (1 - share) * float64(oldCount)))
	type ranked struct {
		score  uint64
		server registry.Server
	}
	var up []ranked
	for _, server := range target {
		if !server.Down() && !server.Paused(f.now) {
			up = append(up, ranked{score: balancer.Rendezvous(0, server.ID), server: server})
		}
	}
	slices.SortFunc(up, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.server.ID, b.server.ID))
	})
	var chosen []registry.Server
	for _, r := range up[:min(len(up), max(1, count))] {
		chosen = append(chosen, r.server)
	}
	return chosen
}

// drawsTarget reports whether the request goes to the target. Another send of a request that
// has been there goes to the old version.
func (f *Forwarder) drawsTarget(fl *flight, e *exposure) bool {
	if fl.draw.order == e.id && fl.draw.phase == e.decision.Phase {
		return fl.draw.toTarget && (fl.targetAttempts == 0 || e.decision.Phase == exposurekeeper.Move)
	}
	fl.draw = exposureDraw{order: e.id, phase: e.decision.Phase}
	if fl.attempts > 0 && e.decision.Phase == exposurekeeper.Trial {
		return false
	}
	probability := e.decision.Share
	if e.decision.Phase == exposurekeeper.Trial {
		probability *= drawFactor
	}
	if float64(f.jitter(drawSteps)) >= probability*drawSteps {
		return false
	}
	fl.draw.toTarget = e.decision.Phase == exposurekeeper.Move || f.hasOwnShare(e)
	return fl.draw.toTarget
}

// hasOwnShare reports whether the requests of this instance alone allow another one for the
// target. An instance that is cut off keeps its share. The share is rounded by chance: in a
// large cluster, each instance has few requests, and rounding down would leave none.
func (f *Forwarder) hasOwnShare(e *exposure) bool {
	drawn := int64(1)
	for _, fl := range f.flights {
		if fl.draw.order == e.id && fl.draw.toTarget && fl.attempts == 0 {
			drawn++
		}
	}
	return float64(e.own.TargetRequests+drawn) <= e.decision.Share*float64(e.own.AllRequests+1)+e.rounding
}
