// Package divider decides how a team's rate and burst are divided between the
// failure domains, so that the parts follow the demand.
//
// The division of a team is one object in the platform. Only a domain's own
// holder changes the domain's number there, by conditional update, and the
// numbers never sum to more than the whole. A holder that gives lowers what it
// applies before it writes; one that takes writes before it applies more. So
// what all domains apply sums to at most the whole at every moment, without a
// clock, and a domain that is cut off keeps its part for as long as that lasts.
//
// # Usage
//
//	parts := divider.New("split-a")
//	parts.Asked("crew", 130)               // a gateway of the own domain
//	for _, wish := range parts.Period(teams, period) { ... }
//	given := parts.Give(team, wish)        // at another domain's holder
package divider

import (
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/config"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Numbers of a division are in thousandths of a team's rate and burst.
const (
	FullShare = 1000
	// reserve is what all domains but one keep together without any demand. It
	// carries the demand of the one while its holder is replaced.
	reserve = 300
	// smallest is the smallest change that is worth a write.
	smallest = 50
	// headroom is how much above its demand a domain wants, in hundredths.
	headroom = 125
)

// part is one team's part in the own domain.
type part struct {
	applied int64 // applied is the number that the domain's holder uses.
	known   bool  // known tells that applied differs from the equal division.
	asked   int64 // asked counts the tokens wanted since the period began.
	demand  int64 // demand is the greater number of the last two periods.
	before  int64
}

// Divider is what one domain's holder knows of its parts. It is not safe for
// concurrent use.
type Divider struct {
	domain string
	parts  map[string]part
}

// ShareRequest is how much more of a team's limit a domain wants.
type ShareRequest struct {
	Team     string
	Increase int64
}

// New returns the Divider of a holder in the failure domain, with equal parts.
func New(domain string) *Divider {
	return &Divider{domain: domain, parts: map[string]part{}}
}

// Load takes over a division that was read from the platform.
func (d *Divider) Load(team string, division Division) {
	part := d.parts[team]
	part.known = true
	part.applied = division.Shares[d.domain]
	d.parts[team] = part
}

// Applied returns the number that the domain's holder uses for the team, of the
// given domains.
func (d *Divider) Applied(team string, domains []string) int64 {
	part := d.parts[team]
	if part.known {
		return part.applied
	}
	return EqualDivision(domains).Shares[d.domain]
}

// Apply sets the number that the domain's holder uses.
func (d *Divider) Apply(team string, number int64) {
	part := d.parts[team]
	part.known = true
	part.applied = number
	d.parts[team] = part
}

// RecordDemand counts tokens that a gateway of the own domain wants.
func (d *Divider) RecordDemand(team string, tokens int64) {
	part := d.parts[team]
	part.asked += tokens
	d.parts[team] = part
}

// EndPeriod ends a period and returns what the domain wants more of, by the given
// configuration.
func (d *Divider) EndPeriod(configuration config.Config, period clock.Millis) []ShareRequest {
	var wishes []ShareRequest
	for name, part := range d.parts {
		team, ok := configuration.Teams[name]
		if !ok {
			delete(d.parts, name)
			continue
		}
		latest := demandOf(part.asked, team, period)
		part.demand = max(latest, part.before)
		part.before = latest
		part.asked = 0
		d.parts[name] = part
		more := d.needed(name, configuration.Domains) - d.Applied(name, configuration.Domains)
		if more >= smallest {
			wishes = append(wishes, ShareRequest{Team: name, Increase: more})
		}
	}
	return wishes
}

// demandOf returns the tokens as thousandths of what the team's rate gives in
// the period.
func demandOf(tokens int64, team config.Team, period clock.Millis) int64 {
	given := team.Rate * int64(period) / int64(clock.Second)
	return min(FullShare, tokens*FullShare/max(given, 1))
}

// needed returns what the domain keeps for itself.
func (d *Divider) needed(team string, domains []string) int64 {
	floor := int64(reserve / max(1, len(domains)-1))
	return min(FullShare, max(floor, d.parts[team].demand*headroom/100))
}

// Release returns how much the domain can give to one that wishes for more, and
// applies that much less from now on. 0 means nothing.
func (d *Divider) Release(team string, more int64, domains []string) int64 {
	applied := d.Applied(team, domains)
	given := min(more, applied-d.needed(team, domains))
	if given < smallest {
		return 0
	}
	d.Apply(team, applied-given)
	return given
}
