package router

import (
	"cmp"
	"slices"
	"strings"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/divider"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/limiter"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Intervals and limits of the division of teams' limits between failure domains.
const (
	// rebalanceInterval is the interval over which demand is measured and after which
	// larger shares are requested.
	rebalanceInterval = 2 * clock.Second
	// shareReleaseDelay is the time that other domains have to release shares before
	// this domain claims them.
	shareReleaseDelay = 100 * clock.Millisecond
	// divisionRetryInterval is the delay after a failed read of the divisions.
	divisionRetryInterval = 250 * clock.Millisecond
	// maxDivisionRetries is the limit of retries after conflicts with other domains.
	maxDivisionRetries = 12
)

// loadDivisions reads the divisions of the shard's teams, starting after the object
// with the given name. No tokens of the shard are granted until all are loaded.
func (r *Router) loadDivisions(shard int, after string) {
	call := divisionListCall{shard: shard, term: r.heldTerms[shard]}
	r.callPlatform(call, objectstore.ListObjects{Prefix: divider.Prefix(shard), After: after})
}

func (r *Router) handleDivisionList(call divisionListCall, response objectstore.Response) {
	if !r.limiter.HasShard(call.shard) || r.heldTerms[call.shard] != call.term {
		return
	}
	if response.Failed() {
		r.scheduleAfter(divisionRetryInterval, divisionsTimer(call))
		return
	}
	last := ""
	for _, object := range response.Objects {
		last = object.Name
		if division, err := divider.Decode(object.Value); err == nil {
			r.divider.Load(strings.TrimPrefix(object.Name, divider.Prefix(call.shard)), division)
		}
	}
	if last != "" {
		r.loadDivisions(call.shard, last)
		return
	}
	r.divisionsLoaded[call.shard] = true
	r.broadcastHeartbeat()
}

func (r *Router) retryLoadDivisions(timer divisionsTimer) {
	if r.limiter.HasShard(timer.shard) && r.heldTerms[timer.shard] == timer.term {
		r.loadDivisions(timer.shard, "")
	}
}

// rebalanceShares evaluates the demand of the last interval and requests larger
// shares from the other domains where the local one needs them.
func (r *Router) rebalanceShares() {
	r.scheduleAfter(rebalanceInterval, rebalanceTimer{})
	requests := r.divider.EndPeriod(r.configuration, rebalanceInterval)
	slices.SortFunc(requests, func(a, b divider.ShareRequest) int { return cmp.Compare(a.Team, b.Team) })
	for _, request := range requests {
		shard := limiter.ShardOf(request.Team)
		if !r.canGrant(shard) || r.divisionPending[request.Team] {
			continue
		}
		r.sendShareRequest(shard, request)
		r.divisionPending[request.Team] = true
		r.scheduleAfter(shareReleaseDelay, claimShareTimer{team: request.Team, increase: request.Increase})
	}
}

func (r *Router) sendShareRequest(shard int, request divider.ShareRequest) {
	message := &peerv1.Message{Body: &peerv1.Message_ShareWish{ShareWish: &peerv1.ShareWish{Team: request.Team, More: request.Increase}}}
	for _, domain := range r.configuration.Domains {
		if domain == r.settings.Domain {
			continue
		}
		if holder, ok := r.holderOf(domain, shard); ok {
			r.send(holder, message)
		}
	}
}

// handleShareRequest releases the part of the share that this domain does not need.
// It lowers the applied share first and then writes it to the platform, where the
// other domain claims it.
func (r *Router) handleShareRequest(request *peerv1.ShareWish) {
	team := request.GetTeam()
	if !r.canGrant(limiter.ShardOf(team)) || r.divisionPending[team] {
		return
	}
	if released := r.divider.Release(team, request.GetMore(), r.configuration.Domains); released > 0 {
		r.divisionPending[team] = true
		r.readDivision(divisionReadCall{team: team})
	}
}

// claimUnallocatedShare claims the unallocated share of the team's limit.
func (r *Router) claimUnallocatedShare(timer claimShareTimer) {
	r.readDivision(divisionReadCall{team: timer.team, increase: timer.increase})
}

// readDivision reads the division of the call's team.
func (r *Router) readDivision(call divisionReadCall) {
	r.callPlatform(call, objectstore.Get{Name: divider.ObjectName(limiter.ShardOf(call.team), call.team)})
}

func (r *Router) handleDivision(call divisionReadCall, response objectstore.Response) {
	division := divider.EqualDivision(r.configuration.Domains)
	if response.Outcome == objectstore.Done {
		decoded, err := divider.Decode(response.Value)
		if err != nil {
			response.Outcome = objectstore.Refused
		}
		division = decoded
	}
	if response.Failed() || !r.canGrant(limiter.ShardOf(call.team)) {
		delete(r.divisionPending, call.team)
		return
	}
	applied := r.divider.Applied(call.team, r.configuration.Domains)
	newShare := applied + min(call.increase, division.Unallocated())
	if call.increase > 0 {
		newShare = max(newShare, division.Shares[r.settings.Domain])
	}
	if newShare == division.Shares[r.settings.Domain] {
		r.divider.Apply(call.team, newShare)
		delete(r.divisionPending, call.team)
		return
	}
	op := objectstore.Put{
		Name:      divider.ObjectName(limiter.ShardOf(call.team), call.team),
		Value:     division.WithShare(r.settings.Domain, newShare).Encode(),
		IfVersion: response.Version,
	}
	r.callPlatform(divisionWriteCall{divisionReadCall: call, share: newShare}, op)
}

// handleDivisionWritten applies a larger share only after its write is confirmed.
// If the outcome of the write is unknown, the smaller share stays applied, and the
// next request reads which write took effect.
func (r *Router) handleDivisionWritten(call divisionWriteCall, response objectstore.Response) {
	if response.Outcome == objectstore.Conflict && call.retries < maxDivisionRetries {
		r.readDivision(divisionReadCall{team: call.team, increase: call.increase, retries: call.retries + 1})
		return
	}
	delete(r.divisionPending, call.team)
	if response.Outcome != objectstore.Done || !r.canGrant(limiter.ShardOf(call.team)) {
		return
	}
	r.divider.Apply(call.team, call.share)
	r.log(eventlog.New(eventlog.ShareChanged, "").With("team", call.team).With("thousandths", call.share))
}
