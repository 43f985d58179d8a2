package router

import (
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/journal"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/limiter"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/tracker"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// drawTimeout is how long a holder's answer is waited for.
const drawTimeout = 250 * clock.Millisecond

// draws is how a request gets its tokens: from the holder of its own failure
// domain, and what is missing from those of the others, one after the other.
// Holders debit before they answer, so a lost message loses tokens and never
// makes any.
type draws struct {
	missing int64
	domains []string // domains are still to be asked.
	open    openDraw // open is the draw without an answer; empty when there is none.
	taken   []takenDraw
	// retryAfter is the shortest time that a holder named.
	retryAfter clock.Millis
	heard      bool // heard tells that a holder has answered.
}

// openDraw is a draw whose answer is waited for.
type openDraw struct {
	id     string
	holder tracker.Peer
}

// takenDraw is a draw that gave tokens. An empty holder means this instance.
type takenDraw struct {
	id     string
	holder tracker.Peer
	tokens int64
}

func (r *Router) beginDraws(f *flight) {
	f.stage = stageDrawing
	f.draws = draws{missing: f.cost(), domains: r.drawOrder()}
	r.drawNext(f)
}

// drawOrder returns the failure domains with the own one first.
func (r *Router) drawOrder() []string {
	domains := slices.Clone(r.configuration.Domains)
	own := slices.Index(domains, r.settings.Domain)
	if own < 0 {
		return domains
	}
	return slices.Concat(domains[own:], domains[:own])
}

// drawNext asks the next holder, until nothing is missing or nobody is left.
func (r *Router) drawNext(f *flight) {
	for f.draws.missing > 0 && len(f.draws.domains) > 0 {
		domain := f.draws.domains[0]
		f.draws.domains = f.draws.domains[1:]
		if r.drawFrom(f, domain) {
			return
		}
	}
	if f.draws.missing > 0 {
		r.refuseForTokens(f)
		return
	}
	if f.cost() > 0 {
		r.log(journal.New(journal.TokensTaken, f.id()).With("team", f.team.Name).With("tokens", f.cost()).With("draws", len(f.draws.taken)))
	}
	r.tokensTaken(f)
}

// drawFrom draws from the domain's holder. It reports whether an answer has to
// be waited for.
func (r *Router) drawFrom(f *flight, domain string) bool {
	shard := limiter.ShardOf(f.team.Name)
	id := r.ids.ID("d")
	if domain == r.settings.Domain && r.holdsRights(shard) {
		r.parts.Asked(f.team.Name, f.draws.missing)
		granted := r.rights.Draw(r.now, id, f.team.Name, f.draws.missing, r.shareOf(f.team.Name))
		f.draws.take(id, tracker.Peer{}, granted)
		return false
	}
	holder, ok := r.holderOf(domain, shard)
	if !ok {
		return false
	}
	f.draws.open = openDraw{id: id, holder: holder}
	draw := &peerv1.Draw{Id: id, Team: f.team.Name, Tokens: f.draws.missing}
	r.send(holder, &peerv1.Message{Body: &peerv1.Message_Draw{Draw: draw}})
	r.drawers[id] = f.id()
	r.after(drawTimeout, drawDue{request: f.id(), draw: id})
	return true
}

func (d *draws) take(id string, holder tracker.Peer, granted limiter.Granted) {
	if granted.NotHolder {
		return
	}
	d.heard = true
	if granted.RetryAfter > 0 && (d.retryAfter == 0 || granted.RetryAfter < d.retryAfter) {
		d.retryAfter = granted.RetryAfter
	}
	if granted.Tokens <= 0 {
		return
	}
	d.missing -= granted.Tokens
	d.taken = append(d.taken, takenDraw{id: id, holder: holder, tokens: granted.Tokens})
}

func (r *Router) shareOf(team string) limiter.Share {
	return limiter.ShareOf(r.configuration.Teams[team], r.parts.Applied(team, r.configuration.Domains))
}

// drawAsked answers a peer's draw.
func (r *Router) drawAsked(from string, draw *peerv1.Draw) {
	peer, ok := r.known.Peer(from)
	if !ok {
		return
	}
	granted := limiter.Granted{NotHolder: true}
	if r.holdsRights(limiter.ShardOf(draw.GetTeam())) && slices.Contains(r.configuration.Domains, r.settings.Domain) {
		if peer.Domain == r.settings.Domain {
			r.parts.Asked(draw.GetTeam(), draw.GetTokens())
		}
		granted = r.rights.Draw(r.now, draw.GetId(), draw.GetTeam(), draw.GetTokens(), r.shareOf(draw.GetTeam()))
	}
	grant := &peerv1.Grant{Id: draw.GetId(), Tokens: granted.Tokens, RetryAfterMillis: int64(granted.RetryAfter), NotHolder: granted.NotHolder, Team: draw.GetTeam()}
	r.send(peer, &peerv1.Message{Body: &peerv1.Message_Grant{Grant: grant}})
}

// granted takes a holder's answer. One that nobody waits for is given back.
func (r *Router) granted(from string, grant *peerv1.Grant) {
	f, ok := r.flights[r.drawers[grant.GetId()]]
	delete(r.drawers, grant.GetId())
	if !ok || f.stage != stageDrawing || f.draws.open.id != grant.GetId() {
		r.giveBack(from, grant)
		return
	}
	holder := f.draws.open.holder
	f.draws.open = openDraw{}
	tokens := min(grant.GetTokens(), f.draws.missing)
	f.draws.take(grant.GetId(), holder, limiter.Granted{
		Tokens:     tokens,
		RetryAfter: clock.Millis(grant.GetRetryAfterMillis()),
		NotHolder:  grant.GetNotHolder(),
	})
	r.drawNext(f)
}

func (r *Router) giveBack(from string, grant *peerv1.Grant) {
	holder, ok := r.known.Peer(from)
	if !ok || grant.GetTokens() <= 0 {
		return
	}
	refund := &peerv1.Refund{Id: grant.GetId(), Team: grant.GetTeam(), Tokens: grant.GetTokens()}
	r.send(holder, &peerv1.Message{Body: &peerv1.Message_Refund{Refund: refund}})
}

func (r *Router) drawTimedOut(request, id string) {
	delete(r.drawers, id)
	f, ok := r.flights[request]
	if !ok || f.stage != stageDrawing || f.draws.open.id != id {
		return
	}
	f.draws.open = openDraw{}
	r.drawNext(f)
}

func (r *Router) refuseForTokens(f *flight) {
	r.refundAll(f)
	r.log(journal.New(journal.TokensRefused, f.id()).With("missing", f.draws.missing).With("heard", f.draws.heard))
	if !f.draws.heard {
		refusal := action.Refused(action.StatusServiceUnavailable, action.CodeRightsAway, "no holder of the team's rate can be reached")
		r.refuse(f, refusal.WithRetryAfter(comeBack))
		return
	}
	wait := f.draws.retryAfter
	if wait == 0 {
		wait = clock.Millis(f.draws.missing*int64(clock.Second)/f.team.Rate) + clock.Millisecond
	}
	refusal := action.Refused(action.StatusTooManyRequests, action.CodeOverRate, "the team has used its rate and burst")
	r.refuse(f, refusal.WithRetryAfter(wait))
}

// refundAll gives back all tokens of the flight.
func (r *Router) refundAll(f *flight) {
	r.refund(f, f.cost())
}

// refund gives back unused tokens, from the last draw to the first.
func (r *Router) refund(f *flight, unused int64) {
	for _, drawn := range slices.Backward(f.draws.taken) {
		back := min(unused, drawn.tokens)
		if back <= 0 {
			return
		}
		unused -= back
		r.refundDraw(f, drawn, back)
	}
}

func (r *Router) refundDraw(f *flight, drawn takenDraw, tokens int64) {
	r.log(journal.New(journal.TokensReturned, f.id()).With("tokens", tokens))
	if drawn.holder.Name == "" {
		r.rights.Refund(r.now, drawn.id, f.team.Name, tokens)
		return
	}
	refund := &peerv1.Refund{Id: drawn.id, Team: f.team.Name, Tokens: tokens}
	r.send(drawn.holder, &peerv1.Message{Body: &peerv1.Message_Refund{Refund: refund}})
}
