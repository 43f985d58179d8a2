package router

import (
	"cmp"
	"slices"
	"strings"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/journal"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/divider"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/limiter"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Times of the division between failure domains.
const (
	// divisionPeriod is over what the demand is measured.
	divisionPeriod = 2 * clock.Second
	// giveTime is how long the other domains have to give.
	giveTime = 100 * clock.Millisecond
	// loadRetry is the time from a failed read of the divisions to the next.
	loadRetry = 250 * clock.Millisecond
	// maxDivisionTries bounds the tries after conflicts with other domains.
	maxDivisionTries = 12
)

// loadDivisions reads the divisions of the shard's teams; until they are here,
// nothing is granted.
func (r *Router) loadDivisions(shard int, after string) {
	call := divisionsCall{shard: shard, term: r.heldTerms[shard]}
	r.call(call, objectstore.ListObjects{Prefix: divider.Prefix(shard), After: after})
}

func (r *Router) divisionsRead(call divisionsCall, answer objectstore.Answer) {
	if !r.rights.Holds(call.shard) || r.heldTerms[call.shard] != call.term {
		return
	}
	if answer.Failed() {
		r.after(loadRetry, divisionsDue(call))
		return
	}
	last := ""
	for _, object := range answer.Objects {
		last = object.Name
		if division, err := divider.Decode(object.Value); err == nil {
			r.parts.Load(strings.TrimPrefix(object.Name, divider.Prefix(call.shard)), division)
		}
	}
	if last != "" {
		r.loadDivisions(call.shard, last)
		return
	}
	r.loaded[call.shard] = true
	r.beat()
}

func (r *Router) reloadDivisions(due divisionsDue) {
	if r.rights.Holds(due.shard) && r.heldTerms[due.shard] == due.term {
		r.loadDivisions(due.shard, "")
	}
}

// dividePeriod ends a period of the demand, and asks the other domains for what
// this one wants more.
func (r *Router) dividePeriod() {
	r.after(divisionPeriod, periodDue{})
	wishes := r.parts.Period(r.configuration, divisionPeriod)
	slices.SortFunc(wishes, func(a, b divider.Wish) int { return cmp.Compare(a.Team, b.Team) })
	for _, wish := range wishes {
		shard := limiter.ShardOf(wish.Team)
		if !r.holdsRights(shard) || r.dividing[wish.Team] {
			continue
		}
		r.sendWish(shard, wish)
		r.dividing[wish.Team] = true
		r.after(giveTime, takeDue{team: wish.Team, more: wish.More})
	}
}

func (r *Router) sendWish(shard int, wish divider.Wish) {
	message := &peerv1.Message{Body: &peerv1.Message_ShareWish{ShareWish: &peerv1.ShareWish{Team: wish.Team, More: wish.More}}}
	for _, domain := range r.configuration.Domains {
		if domain == r.settings.Domain {
			continue
		}
		if holder, ok := r.holderOf(domain, shard); ok {
			r.send(holder, message)
		}
	}
}

// shareWished gives what this domain does not need: first by applying less, then
// in the platform, where the other domain takes it.
func (r *Router) shareWished(wish *peerv1.ShareWish) {
	team := wish.GetTeam()
	if !r.holdsRights(limiter.ShardOf(team)) || r.dividing[team] {
		return
	}
	if given := r.parts.Give(team, wish.GetMore(), r.configuration.Domains); given > 0 {
		r.dividing[team] = true
		r.readDivision(divisionCall{team: team})
	}
}

// takeShare takes what is free of the team's division.
func (r *Router) takeShare(due takeDue) {
	r.readDivision(divisionCall{team: due.team, more: due.more})
}

// readDivision reads a team's division, for what the call tells.
func (r *Router) readDivision(call divisionCall) {
	r.call(call, objectstore.Get{Name: divider.ObjectName(limiter.ShardOf(call.team), call.team)})
}

func (r *Router) divisionRead(call divisionCall, answer objectstore.Answer) {
	division := divider.Equal(r.configuration.Domains)
	if answer.Outcome == objectstore.Done {
		decoded, err := divider.Decode(answer.Value)
		if err != nil {
			answer.Outcome = objectstore.Refused
		}
		division = decoded
	}
	if answer.Failed() || !r.holdsRights(limiter.ShardOf(call.team)) {
		delete(r.dividing, call.team)
		return
	}
	applied := r.parts.Applied(call.team, r.configuration.Domains)
	share := applied + min(call.more, division.Free())
	if call.more > 0 {
		share = max(share, division.Shares[r.settings.Domain])
	}
	if share == division.Shares[r.settings.Domain] {
		r.parts.Apply(call.team, share)
		delete(r.dividing, call.team)
		return
	}
	op := objectstore.Put{
		Name:      divider.ObjectName(limiter.ShardOf(call.team), call.team),
		Value:     division.WithShare(r.settings.Domain, share).Encode(),
		IfVersion: answer.Version,
	}
	r.call(divisionWriteCall{divisionCall: call, share: share}, op)
}

// divisionWritten applies a greater number only after it is surely written. After
// an unclear answer the smaller number stays applied, and the next wish reads
// what took effect.
func (r *Router) divisionWritten(call divisionWriteCall, answer objectstore.Answer) {
	if answer.Outcome == objectstore.Conflict && call.tries < maxDivisionTries {
		r.readDivision(divisionCall{team: call.team, more: call.more, tries: call.tries + 1})
		return
	}
	delete(r.dividing, call.team)
	if answer.Outcome != objectstore.Done || !r.holdsRights(limiter.ShardOf(call.team)) {
		return
	}
	r.parts.Apply(call.team, call.share)
	r.log(journal.New(journal.ShareChanged, "").With("team", call.team).With("thousandths", call.share))
}
