package router

import (
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/limiter"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/tracker"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// acquireTimeout is the wait for a holder's reply to an acquisition.
const acquireTimeout = 250 * clock.Millisecond

// acquisitions is the state of acquiring a request's tokens: first from the holder in
// the local failure domain, and the remainder from the holders in the other domains,
// one after the other. Holders debit before they reply, so a lost message loses
// tokens and never creates any.
type acquisitions struct {
	missing          int64
	remainingDomains []string           // remainingDomains have not been tried yet.
	pending          pendingAcquisition // pending awaits its reply; empty if there is none.
	granted          []acquisition
	// retryAfter is the shortest Retry-After of the holders; 0 if none gave one.
	retryAfter clock.Millis
	replied    bool // replied reports whether a holder has replied.
}

// pendingAcquisition is an acquisition that awaits its reply.
type pendingAcquisition struct {
	id     string
	holder tracker.Peer
}

// acquisition has the tokens that one holder granted. An empty holder means this
// instance.
type acquisition struct {
	id     string
	holder tracker.Peer
	tokens int64
}

func (r *Router) acquireTokens(f *flight) {
	f.stage = stageAcquiringTokens
	f.acquisitions = acquisitions{missing: f.cost(), remainingDomains: r.domainOrder()}
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

// acquireNext acquires tokens from the next holders until a reply is pending, no tokens
// are missing, or no domain is left. It then continues or refuses the request.
func (r *Router) acquireNext(f *flight) {
	for f.acquisitions.missing > 0 && len(f.acquisitions.remainingDomains) > 0 {
		domain := f.acquisitions.remainingDomains[0]
		f.acquisitions.remainingDomains = f.acquisitions.remainingDomains[1:]
		if r.acquireFrom(f, domain) {
			return
		}
	}
	if f.acquisitions.missing > 0 {
		r.refuseWithoutTokens(f)
		return
	}
	if f.cost() > 0 {
		r.log(eventlog.New(eventlog.TokensTaken, f.id()).With("team", f.team.Name).With("tokens", f.cost()).With("draws", len(f.acquisitions.granted)))
	}
	r.recordOrDispatch(f)
}

// acquireFrom acquires tokens from the domain's holder. It reports whether a reply is
// pending.
func (r *Router) acquireFrom(f *flight, domain string) bool {
	shard := limiter.ShardOf(f.team.Name)
	id := r.ids.NewID("d")
	if domain == r.settings.Domain && r.canGrant(shard) {
		r.divider.RecordDemand(f.team.Name, f.acquisitions.missing)
		granted := r.limiter.Acquire(r.now, id, f.team.Name, f.acquisitions.missing, r.shareOf(f.team.Name))
		f.acquisitions.addGrant(id, tracker.Peer{}, granted)
		return false
	}
	holder, ok := r.holderOf(domain, shard)
	if !ok {
		return false
	}
	f.acquisitions.pending = pendingAcquisition{id: id, holder: holder}
	request := &peerv1.Draw{Id: id, Team: f.team.Name, Tokens: f.acquisitions.missing}
	r.send(holder, &peerv1.Message{Body: &peerv1.Message_Draw{Draw: request}})
	r.requestByAcquisition[id] = f.id()
	r.scheduleAfter(acquireTimeout, acquireTimer{request: f.id(), acquisition: id})
	return true
}

func (a *acquisitions) addGrant(id string, holder tracker.Peer, granted limiter.Grant) {
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
	a.granted = append(a.granted, acquisition{id: id, holder: holder, tokens: granted.Tokens})
}

func (r *Router) shareOf(team string) limiter.Share {
	return limiter.ShareOf(r.configuration.Teams[team], r.divider.Applied(team, r.configuration.Domains))
}

// handleAcquireRequest grants tokens to a peer that acquires them from this instance's
// shard.
func (r *Router) handleAcquireRequest(from string, request *peerv1.Draw) {
	peer, ok := r.view.Peer(from)
	if !ok {
		return
	}
	granted := limiter.Grant{NotHolder: true}
	if r.canGrant(limiter.ShardOf(request.GetTeam())) && slices.Contains(r.configuration.Domains, r.settings.Domain) {
		if peer.Domain == r.settings.Domain {
			r.divider.RecordDemand(request.GetTeam(), request.GetTokens())
		}
		granted = r.limiter.Acquire(r.now, request.GetId(), request.GetTeam(), request.GetTokens(), r.shareOf(request.GetTeam()))
	}
	grant := &peerv1.Grant{Id: request.GetId(), Tokens: granted.Tokens, RetryAfterMillis: int64(granted.RetryAfter), NotHolder: granted.NotHolder, Team: request.GetTeam()}
	r.send(peer, &peerv1.Message{Body: &peerv1.Message_Grant{Grant: grant}})
}

// handleGrant adds the tokens that a holder granted. A grant that no flight awaits is
// refunded.
func (r *Router) handleGrant(from string, grant *peerv1.Grant) {
	f, ok := r.flights[r.requestByAcquisition[grant.GetId()]]
	delete(r.requestByAcquisition, grant.GetId())
	if !ok || f.stage != stageAcquiringTokens || f.acquisitions.pending.id != grant.GetId() {
		r.refundGrant(from, grant)
		return
	}
	holder := f.acquisitions.pending.holder
	f.acquisitions.pending = pendingAcquisition{}
	granted := min(grant.GetTokens(), f.acquisitions.missing)
	f.acquisitions.addGrant(grant.GetId(), holder, limiter.Grant{
		Tokens:     granted,
		RetryAfter: clock.Millis(grant.GetRetryAfterMillis()),
		NotHolder:  grant.GetNotHolder(),
	})
	r.acquireNext(f)
}

func (r *Router) refundGrant(from string, grant *peerv1.Grant) {
	holder, ok := r.view.Peer(from)
	if !ok || grant.GetTokens() <= 0 {
		return
	}
	refund := &peerv1.Refund{Id: grant.GetId(), Team: grant.GetTeam(), Tokens: grant.GetTokens()}
	r.send(holder, &peerv1.Message{Body: &peerv1.Message_Refund{Refund: refund}})
}

func (r *Router) handleAcquireTimeout(request, id string) {
	delete(r.requestByAcquisition, id)
	f, ok := r.flights[request]
	if !ok || f.stage != stageAcquiringTokens || f.acquisitions.pending.id != id {
		return
	}
	f.acquisitions.pending = pendingAcquisition{}
	r.acquireNext(f)
}

func (r *Router) refuseWithoutTokens(f *flight) {
	r.refundAll(f)
	r.log(eventlog.New(eventlog.TokensRefused, f.id()).With("missing", f.acquisitions.missing).With("heard", f.acquisitions.replied))
	if !f.acquisitions.replied {
		refusal := action.NewRefusal(action.StatusServiceUnavailable, action.CodeQuotaUnavailable, "no holder of the team's rate can be reached")
		r.refuse(f, refusal.WithRetryAfter(defaultRetryAfter))
		return
	}
	wait := f.acquisitions.retryAfter
	if wait == 0 {
		wait = clock.Millis(f.acquisitions.missing*int64(clock.Second)/f.team.Rate) + clock.Millisecond
	}
	refusal := action.NewRefusal(action.StatusTooManyRequests, action.CodeOverRate, "the team has used its rate and burst")
	r.refuse(f, refusal.WithRetryAfter(wait))
}

// refundAll refunds all tokens of the flight.
func (r *Router) refundAll(f *flight) {
	r.refund(f, f.cost())
}

// refund refunds unused tokens, from the last acquisition to the first.
func (r *Router) refund(f *flight, unused int64) {
	for _, acquired := range slices.Backward(f.acquisitions.granted) {
		amount := min(unused, acquired.tokens)
		if amount <= 0 {
			return
		}
		unused -= amount
		r.refundAcquisition(f, acquired, amount)
	}
}

func (r *Router) refundAcquisition(f *flight, acquired acquisition, tokens int64) {
	r.log(eventlog.New(eventlog.TokensReturned, f.id()).With("tokens", tokens))
	if acquired.holder.Name == "" {
		r.limiter.Refund(r.now, acquired.id, f.team.Name, tokens)
		return
	}
	refund := &peerv1.Refund{Id: acquired.id, Team: f.team.Name, Tokens: tokens}
	r.send(acquired.holder, &peerv1.Message{Body: &peerv1.Message_Refund{Refund: refund}})
}
