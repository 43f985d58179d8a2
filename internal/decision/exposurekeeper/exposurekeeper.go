// Package exposurekeeper decides how many requests the new software version of a service
// gets during a roll-out, and whether the roll-out is completed or taken back.
//
// Load pattern: a new version may be bad. Then a part of its responses are failures or are
// several times slower, at once or later, under load or on one route only. At the same time
// servers of any version crash, bursts arrive and networks are cut. The new version is
// therefore compared with the old one, by route and over the same time.
//
// A roll-out has a trial, in which the new version gets a small share, and a move, in which
// the share grows until new requests go to the new version only. The last part of the time
// is reserved for the move and for streams that run on old servers.
//
// # Usage
//
//	keeper := exposurekeeper.New(order, bounds)
//	decision := keeper.Decide(observation)
package exposurekeeper

import (
	"math"

	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Order is an operator's order to move a service to a software version.
type Order struct {
	Service  string
	Target   string
	Duration clock.Millis
}

// Bounds limit the exposure to a version that may be bad.
type Bounds struct {
	// Share and Slack limit the requests that the target gets: the share of all requests
	// to the service, plus the slack.
	Share float64
	Slack int64
	// Rollback is the longest time from the 50th bad answer to the last request that a bad
	// version gets.
	Rollback clock.Millis
}

// Counts are the ended attempts of one version.
type Counts struct{ OK, Failed, Slow int64 }

// Bad returns the number of bad answers.
func (c Counts) Bad() int64 { return c.Failed + c.Slow }

// All returns the number of answers.
func (c Counts) All() int64 { return c.OK + c.Failed + c.Slow }

// Comparison has the counts of both versions on one route.
type Comparison struct{ Target, Old Counts }

// Phase is the phase of a roll-out. A later one is never left for an earlier one.
type Phase int

// The phases.
const (
	// Trial means that the target gets a limited share.
	Trial Phase = iota
	// Move means that the target is good and gets a growing share, up to all.
	Move
	// Stopped means that the target is bad and gets nothing.
	Stopped
)

// String returns the phase's name as it is logged.
func (p Phase) String() string { return [...]string{"trial", "move", "stopped"}[p] }

// Verdict is what to write into the order's status.
type Verdict int

// The verdicts.
const (
	// Continue means that nothing is written.
	Continue Verdict = iota
	// Complete means that the old servers may stop at once.
	Complete
	// RollBack means that the new servers may stop.
	RollBack
)

// String returns the verdict's name as it is logged.
func (v Verdict) String() string { return [...]string{"continue", "complete", "rollBack"}[v] }

// Observation is what an instance knows of a roll-out.
type Observation struct {
	// Age is the time since the first instance saw the order.
	Age clock.Millis
	// Phase is the latest phase that this instance has decided or learned of, and MovingFor
	// the time since it knows of the move.
	Phase     Phase
	MovingFor clock.Millis
	// Routes has the counts by route, summed over the instances.
	Routes map[uint32]Comparison
	// TargetRequests and AllRequests are the requests sent to the target and those to the
	// whole service, summed over the instances.
	TargetRequests, AllRequests int64
	// TargetListed reports whether a server of the target version has been listed.
	TargetListed bool
	// IdleFor is the time for which no request has been running on an old server; 0 if
	// there are some.
	IdleFor clock.Millis
	// AllReachable reports whether the sums cover all listed instances.
	AllReachable bool
	// LongestRequest is the longest time that a request on an old server may take.
	LongestRequest clock.Millis
}

// Decision is what to do now.
type Decision struct {
	// Share is the part of new requests that may go to the target.
	Share   float64
	Phase   Phase
	Verdict Verdict
	// Reason says for the log why the phase or the verdict was decided; empty for Continue
	// in the same phase. Route is the route whose answers decided it; 0 for all together.
	Reason Reason
	Route  uint32
}

// Reason is the reason of a decision, as it is logged.
type Reason string

// The reasons.
const (
	ReasonFailures    Reason = "failures"
	ReasonSlow        Reason = "slow"
	ReasonBadAnswers  Reason = "badAnswers"
	ReasonGood        Reason = "good"
	ReasonFewAnswers  Reason = "fewAnswers"
	ReasonNoAnswers   Reason = "noAnswers"
	ReasonMoved       Reason = "moved"
	ReasonOtherBefore Reason = "decidedByPeer"
)

const (
	// trialShare is the part of the bound on the share that the trial uses. The rest is for
	// retries, for streams that must go on at the target, and for the start of the move.
	trialShare = 0.75
	// minReserve and maxReserve limit the reserved part of the time.
	minReserve = 0.3
	maxReserve = 0.5
	// writeMargin is the time to acquire the lease from a frozen holder and to write the
	// status. The lease alone takes up to 4.1 s.
	writeMargin = 8 * clock.Second
	// completionMargin is the time before the deadline from which the completion no longer
	// waits for instances that can't be reached. A holder of the lease writes within a second,
	// and one that takes over from a frozen holder within 5 s.
	completionMargin = 6 * clock.Second
	// moveRamp is the time in which the share grows to 1, as a part of the reserve, and
	// maxMoveRamp its limit. A version that is bad under load only shows it before it gets
	// more than the bound.
	moveRamp    = 0.25
	maxMoveRamp = 5 * clock.Second
	// settleTime is the time for which no request may have been running on an old server:
	// the counts of the last one pass up to four digests.
	settleTime = 2 * clock.Second
	// enoughAnswers is the number of the target's answers that suffices for the move.
	enoughAnswers = 60
	// unansweredRequests is the number of requests to the target, and unservedRequests that to
	// the service, from which a target without any answer is taken back.
	unansweredRequests = 10
	unservedRequests   = 500
	// tolerance is the factor by which the target's bad answers may exceed those expected by
	// the old version's rate, deviations the number of standard deviations above that, and
	// freeBad the bad answers that are never significant.
	tolerance  = 1.5
	deviations = 3.5
	freeBad    = 4
	// minBadRate is the least rate of bad answers that is significant: single servers cause
	// that many when a network is cut.
	minBadRate = 0.02
	// assumedRate is the rate of bad answers of an old version with fewer than fewAnswers.
	assumedRate = 0.02
	fewAnswers  = 20
	// maxBad is the number of bad answers above the expected ones at which the exposure
	// ends, whatever their rate. The bound is 50; digests and answers take up to a second.
	maxBad = 25
)

// Keeper decides about one order. It is immutable.
type Keeper struct {
	order  Order
	bounds Bounds
}

// New returns a Keeper of the order.
func New(order Order, bounds Bounds) Keeper { return Keeper{order: order, bounds: bounds} }

// Decide returns what to do now.
func (k Keeper) Decide(seen Observation) Decision {
	if seen.Phase == Stopped {
		return Decision{Phase: Stopped, Verdict: RollBack, Reason: ReasonOtherBefore}
	}
	if reason, route := badReason(seen.Routes); reason != "" {
		return Decision{Phase: Stopped, Verdict: RollBack, Reason: reason, Route: route}
	}
	if seen.Phase == Move {
		return k.decideMove(seen)
	}
	if !seen.TargetListed {
		// The target is not known: the order changes nothing.
		return Decision{}
	}
	reserve := k.reserve(seen)
	answers := targetAnswers(seen.Routes)
	switch {
	case seen.Age >= k.order.Duration-reserve && answers >= enoughAnswers:
		return Decision{Share: k.trialShare(seen), Phase: Move, Reason: ReasonGood}
	case seen.Age < k.order.Duration-min(reserve, max(reserve/2, k.ramp(seen)+settleTime+writeMargin/2)):
		return Decision{Share: k.trialShare(seen)}
	case answers == 0 && (seen.TargetRequests >= unansweredRequests || seen.AllRequests >= unservedRequests):
		return Decision{Verdict: RollBack, Reason: ReasonNoAnswers}
	default:
		// So few requests arrive that all of the rest may be within the slack.
		return Decision{Share: k.trialShare(seen), Phase: Move, Reason: ReasonFewAnswers}
	}
}

func (k Keeper) decideMove(seen Observation) Decision {
	decision := Decision{Share: 1, Phase: Move}
	ramp := k.ramp(seen)
	if seen.MovingFor < ramp {
		decision.Share = max(k.bounds.Share*trialShare, float64(seen.MovingFor)/float64(ramp))
		return decision
	}
	// Instances that are gone stay listed for some time. Those that are cut off may have
	// requests on old servers, for which the move waits as long as the time allows.
	if seen.IdleFor >= settleTime && (seen.AllReachable || seen.Age >= k.order.Duration-completionMargin) {
		decision.Verdict, decision.Reason = Complete, ReasonMoved
	}
	return decision
}

// trialShare returns the share in the trial; 0 if the target has had more than its part.
func (k Keeper) trialShare(seen Observation) float64 {
	if float64(seen.TargetRequests) > k.bounds.Share*float64(seen.AllRequests)+float64(k.bounds.Slack)/2 {
		return 0
	}
	return k.bounds.Share * trialShare
}

// reserve returns the part of the time that is reserved for the move.
func (k Keeper) reserve(seen Observation) clock.Millis {
	duration := float64(k.order.Duration)
	return clock.Millis(min(maxReserve*duration, max(minReserve*duration, float64(seen.LongestRequest+writeMargin))))
}

// ramp returns the time in which the share grows to 1.
func (k Keeper) ramp(seen Observation) clock.Millis {
	return min(maxMoveRamp, clock.Millis(moveRamp*float64(k.reserve(seen))))
}

func targetAnswers(routes map[uint32]Comparison) int64 {
	var answers int64
	for _, compared := range routes {
		answers += compared.Target.All()
	}
	return answers
}

// badReason returns why the target is bad, and on which route; empty if it is not.
func badReason(routes map[uint32]Comparison) (Reason, uint32) {
	var expected, bad float64
	for route, compared := range routes {
		target, old := compared.Target, compared.Old
		if exceeds(target.Failed, target.All(), old.Failed, old.All()) {
			return ReasonFailures, route
		}
		if exceeds(target.Slow, target.All(), old.Slow, old.All()) {
			return ReasonSlow, route
		}
		expected += float64(target.All()) * badRate(old.Bad(), old.All())
		bad += float64(target.Bad())
	}
	if bad >= 2*expected+maxBad {
		return ReasonBadAnswers, 0
	}
	return "", 0
}

// badRate returns the rate of bad answers of an old version.
func badRate(bad, all int64) float64 {
	if all < fewAnswers {
		return max(assumedRate, float64(bad)/float64(max(1, all)))
	}
	return float64(bad) / float64(all)
}

// exceeds reports whether the target has significantly more bad answers than the old
// version's rate explains.
func exceeds(bad, all, oldBad, oldAll int64) bool {
	expected := float64(all) * badRate(oldBad, oldAll) * tolerance
	limit := expected + deviations*math.Sqrt(expected) + freeBad
	return float64(bad) > limit && float64(bad) >= minBadRate*float64(all)
}
