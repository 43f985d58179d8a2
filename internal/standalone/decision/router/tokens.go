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

// drawTimeout is the wait for a holder's reply.
const drawTimeout = 250 * clock.Millisecond

// acquisition is the state of acquiring a request's tokens: first from the holder in
// the local failure domain, and the remainder from the holders in the other domains,
// one after the other. Holders debit before they reply, so a lost message loses
// tokens and never creates any.
type acquisition struct {
	missing          int64
	remainingDomains []string    // remainingDomains have not been tried yet.
	pending          pendingDraw // pending is the draw that awaits its reply; empty if there is none.
	granted          []grantedDraw
	// retryAfter is the shortest Retry-After of the holders; 0 if none gave one.
	retryAfter clock.Millis
	replied    bool // replied reports whether a holder has replied.
}

// pendingDraw is a draw that awaits its reply.
type pendingDraw struct {
	id     string
	holder tracker.Peer
}

// grantedDraw is a draw that was granted tokens. An empty holder means this
// instance.
type grantedDraw struct {
	id     string
	holder tracker.Peer
	tokens int64
}

func (r *Router) acquireTokens(f *flight) {
	f.stage = stageAcquiringTokens
	f.acquisition = acquisition{missing: f.cost(), remainingDomains: r.domainOrder()}
	r.acquireNext(f)
}

// domainOrder returns the failure domains, starting with the local one.
func (r *Router) domainOrder() []string {
	domains := slices.Clone(r.configuration.Domains)
	localIndex := slices.Index(domains, r.settings.Domain)
	if localIndex < 0 {
		return domains
	}
	return slices.Concat(domains[localIndex:], domains[:localIndex])
}

// acquireNext draws from the next holders until a reply is pending, no tokens are
// missing, or no domain is left.
func (r *Router) acquireNext(f *flight) {
	for f.acquisition.missing > 0 && len(f.acquisition.remainingDomains) > 0 {
		domain := f.acquisition.remainingDomains[0]
		f.acquisition.remainingDomains = f.acquisition.remainingDomains[1:]
		if r.drawFrom(f, domain) {
			return
		}
	}
	if f.acquisition.missing > 0 {
		r.refuseWithoutTokens(f)
		return
	}
	if f.cost() > 0 {
		r.log(journal.New(journal.TokensTaken, f.id()).With("team", f.team.Name).With("tokens", f.cost()).With("draws", len(f.acquisition.granted)))
	}
	r.recordOrDispatch(f)
}

// drawFrom draws from the domain's holder. It reports whether a reply is pending.
func (r *Router) drawFrom(f *flight, domain string) bool {
	shard := limiter.ShardOf(f.team.Name)
	id := r.ids.ID("d")
	if domain == r.settings.Domain && r.canGrant(shard) {
		r.divider.Asked(f.team.Name, f.acquisition.missing)
		granted := r.limiter.Draw(r.now, id, f.team.Name, f.acquisition.missing, r.shareOf(f.team.Name))
		f.acquisition.addGrant(id, tracker.Peer{}, granted)
		return false
	}
	holder, ok := r.holderOf(domain, shard)
	if !ok {
		return false
	}
	f.acquisition.pending = pendingDraw{id: id, holder: holder}
	draw := &peerv1.Draw{Id: id, Team: f.team.Name, Tokens: f.acquisition.missing}
	r.send(holder, &peerv1.Message{Body: &peerv1.Message_Draw{Draw: draw}})
	r.requestByDraw[id] = f.id()
	r.after(drawTimeout, drawTimer{request: f.id(), draw: id})
	return true
}

func (a *acquisition) addGrant(id string, holder tracker.Peer, granted limiter.Granted) {
	if granted.NotHolder {
		return
	}
	a.replied = true
	if granted.RetryAfter > 0 && (a.retryAfter == 0 || granted.RetryAfter < a.retryAfter) {
		a.retryAfter = granted.RetryAfter
	}
	if granted.Tokens <= 0 {
		return
	}
	a.missing -= granted.Tokens
	a.granted = append(a.granted, grantedDraw{id: id, holder: holder, tokens: granted.Tokens})
}

func (r *Router) shareOf(team string) limiter.Share {
	return limiter.ShareOf(r.configuration.Teams[team], r.divider.Applied(team, r.configuration.Domains))
}

// handleDraw replies to a peer's draw.
func (r *Router) handleDraw(from string, draw *peerv1.Draw) {
	peer, ok := r.view.Peer(from)
	if !ok {
		return
	}
	granted := limiter.Granted{NotHolder: true}
	if r.canGrant(limiter.ShardOf(draw.GetTeam())) && slices.Contains(r.configuration.Domains, r.settings.Domain) {
		if peer.Domain == r.settings.Domain {
			r.divider.Asked(draw.GetTeam(), draw.GetTokens())
		}
		granted = r.limiter.Draw(r.now, draw.GetId(), draw.GetTeam(), draw.GetTokens(), r.shareOf(draw.GetTeam()))
	}
	grant := &peerv1.Grant{Id: draw.GetId(), Tokens: granted.Tokens, RetryAfterMillis: int64(granted.RetryAfter), NotHolder: granted.NotHolder, Team: draw.GetTeam()}
	r.send(peer, &peerv1.Message{Body: &peerv1.Message_Grant{Grant: grant}})
}

// handleGrant adds the tokens of a holder's reply. A grant that no flight awaits is
// refunded.
func (r *Router) handleGrant(from string, grant *peerv1.Grant) {
	f, ok := r.flights[r.requestByDraw[grant.GetId()]]
	delete(r.requestByDraw, grant.GetId())
	if !ok || f.stage != stageAcquiringTokens || f.acquisition.pending.id != grant.GetId() {
		r.returnGrant(from, grant)
		return
	}
	holder := f.acquisition.pending.holder
	f.acquisition.pending = pendingDraw{}
	granted := min(grant.GetTokens(), f.acquisition.missing)
	f.acquisition.addGrant(grant.GetId(), holder, limiter.Granted{
		Tokens:     granted,
		RetryAfter: clock.Millis(grant.GetRetryAfterMillis()),
		NotHolder:  grant.GetNotHolder(),
	})
	r.acquireNext(f)
}

func (r *Router) returnGrant(from string, grant *peerv1.Grant) {
	holder, ok := r.view.Peer(from)
	if !ok || grant.GetTokens() <= 0 {
		return
	}
	refund := &peerv1.Refund{Id: grant.GetId(), Team: grant.GetTeam(), Tokens: grant.GetTokens()}
	r.send(holder, &peerv1.Message{Body: &peerv1.Message_Refund{Refund: refund}})
}

func (r *Router) handleDrawTimeout(request, id string) {
	delete(r.requestByDraw, id)
	f, ok := r.flights[request]
	if !ok || f.stage != stageAcquiringTokens || f.acquisition.pending.id != id {
		return
	}
	f.acquisition.pending = pendingDraw{}
	r.acquireNext(f)
}

func (r *Router) refuseWithoutTokens(f *flight) {
	r.refundAll(f)
	r.log(journal.New(journal.TokensRefused, f.id()).With("missing", f.acquisition.missing).With("heard", f.acquisition.replied))
	if !f.acquisition.replied {
		refusal := action.Refused(action.StatusServiceUnavailable, action.CodeRightsAway, "no holder of the team's rate can be reached")
		r.refuse(f, refusal.WithRetryAfter(defaultRetryAfter))
		return
	}
	wait := f.acquisition.retryAfter
	if wait == 0 {
		wait = clock.Millis(f.acquisition.missing*int64(clock.Second)/f.team.Rate) + clock.Millisecond
	}
	refusal := action.Refused(action.StatusTooManyRequests, action.CodeOverRate, "the team has used its rate and burst")
	r.refuse(f, refusal.WithRetryAfter(wait))
}

// refundAll refunds all tokens of the flight.
func (r *Router) refundAll(f *flight) {
	r.refund(f, f.cost())
}

// refund refunds unused tokens, from the last draw to the first.
func (r *Router) refund(f *flight, unused int64) {
	for _, draw := range slices.Backward(f.acquisition.granted) {
		amount := min(unused, draw.tokens)
		if amount <= 0 {
			return
		}
		unused -= amount
		r.refundDraw(f, draw, amount)
	}
}

func (r *Router) refundDraw(f *flight, draw grantedDraw, tokens int64) {
	r.log(journal.New(journal.TokensReturned, f.id()).With("tokens", tokens))
	if draw.holder.Name == "" {
		r.limiter.Refund(r.now, draw.id, f.team.Name, tokens)
		return
	}
	refund := &peerv1.Refund{Id: draw.id, Team: f.team.Name, Tokens: tokens}
	r.send(draw.holder, &peerv1.Message{Body: &peerv1.Message_Refund{Refund: refund}})
}
