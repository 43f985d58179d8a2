// Package divider decides how a team's rate and burst are divided between the
// failure domains, so that the shares follow the demand.
//
// The division of a team's limit is one object in the platform. A domain's share
// in it is changed only by the domain's holder, the instance that holds the team's
// shard of the domain's quota (see package limiter), by conditional update, and the
// shares never sum to more than the team's limit. A holder that releases a part of
// its share lowers its applied share before it writes; a holder that enlarges its
// share writes before it raises its applied share. So the applied shares of all
// domains sum to at most the limit at any time, without a clock, and a domain
// that is cut off keeps its share for as long as that lasts.
//
// # Usage
//
//	shares := divider.New("split-a")
//	shares.RecordDemand("crew", 130)       // requested by an instance of the local domain
//	for _, request := range shares.EndPeriod(configuration, period) { ... }
//	released := shares.Release(team, increase, domains) // at another domain's holder
package divider

import (
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/config"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Shares are in thousandths of a team's rate and burst.
const (
	FullShare = 1000
	// idleReserve is the sum of the shares that all domains except one keep even
	// without demand. It serves the demand of the excepted domain while that domain's
	// holder is replaced.
	idleReserve = 300
	// minChange is the smallest change of a share that is worth a write.
	minChange = 50
	// targetPercent is the share that a domain requests, in percent of its demand.
	targetPercent = 125
)

// shareState is the state of the local domain's share of one team's limit.
type shareState struct {
	applied         int64 // applied is the share that the domain's holder enforces.
	explicit        bool  // explicit is set once applied was loaded or set; before, the division is equal.
	requestedTokens int64 // requestedTokens counts the tokens requested in the current period.
	demand          int64 // demand is the greater one of the last two periods' demands, as a share.
	previousDemand  int64 // previousDemand is the demand of the last period, as a share.
}

// Divider tracks the shares of one domain's holder. It is not safe for
// concurrent use.
type Divider struct {
	domain string
	shares map[string]shareState
}

// ShareRequest is a domain's request for a larger share of a team's limit.
type ShareRequest struct {
	Team     string
	Increase int64
}

// New returns the Divider of a holder in the failure domain, with equal shares.
func New(domain string) *Divider {
	return &Divider{domain: domain, shares: map[string]shareState{}}
}

// Load applies a division that was read from the platform.
func (d *Divider) Load(team string, division Division) {
	state := d.shares[team]
	state.explicit = true
	state.applied = division.Shares[d.domain]
	d.shares[team] = state
}

// Applied returns the share that the domain's holder enforces for the team, when
// the limit is divided between the given domains.
func (d *Divider) Applied(team string, domains []string) int64 {
	state := d.shares[team]
	if state.explicit {
		return state.applied
	}
	return EqualDivision(domains).Shares[d.domain]
}

// Apply sets the share that the domain's holder enforces.
func (d *Divider) Apply(team string, share int64) {
	state := d.shares[team]
	state.explicit = true
	state.applied = share
	d.shares[team] = state
}

// RecordDemand counts tokens that an instance of the local domain requests.
func (d *Divider) RecordDemand(team string, tokens int64) {
	state := d.shares[team]
	state.requestedTokens += tokens
	d.shares[team] = state
}

// EndPeriod ends a period and returns a request for each team of whose limit the
// domain needs a larger share, in no particular order.
func (d *Divider) EndPeriod(configuration config.Config, period clock.Millis) []ShareRequest {
	var requests []ShareRequest
	for name, state := range d.shares {
		team, ok := configuration.Teams[name]
		if !ok {
			delete(d.shares, name)
			continue
		}
		currentDemand := demandShare(state.requestedTokens, team, period)
		state.demand = max(currentDemand, state.previousDemand)
		state.previousDemand = currentDemand
		state.requestedTokens = 0
		d.shares[name] = state
		increase := d.neededShare(name, configuration.Domains) - d.Applied(name, configuration.Domains)
		if increase >= minChange {
			requests = append(requests, ShareRequest{Team: name, Increase: increase})
		}
	}
	return requests
}

// demandShare returns the tokens in thousandths of those that accrue at the team's
// rate in the period, at most FullShare.
func demandShare(tokens int64, team config.Team, period clock.Millis) int64 {
	accruing := team.Rate * int64(period) / int64(clock.Second)
	return min(FullShare, tokens*FullShare/max(accruing, 1))
}

// neededShare returns the share that the domain requests and keeps: targetPercent of
// its demand, but at least its part of idleReserve.
func (d *Divider) neededShare(team string, domains []string) int64 {
	minShare := int64(idleReserve / max(1, len(domains)-1))
	return min(FullShare, max(minShare, d.shares[team].demand*targetPercent/100))
}

// Release lowers the applied share for another domain that requests the increase.
// It returns the released share, 0 if that would be less than minChange.
func (d *Divider) Release(team string, increase int64, domains []string) int64 {
	applied := d.Applied(team, domains)
	released := min(increase, applied-d.neededShare(team, domains))
	if released < minChange {
		return 0
	}
	d.Apply(team, applied-released)
	return released
}
