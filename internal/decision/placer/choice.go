package placer

import (
	"cmp"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/chooser"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Candidate is a server that may take the request.
type Candidate struct {
	Server string
	// Salt keeps cached parts of other weights and walls apart.
	Salt string
	// Far tells that the server is in another failure domain.
	Far bool
	// Errors is the part of its latest attempts that failed.
	Errors float64
	// Penalty is a further cost in milliseconds, for old weights.
	Penalty float64
	// Until is the time in milliseconds within which the request must begin there; 0
	// when there is no such bound.
	Until float64
	// Memory is the tokens that the server can hold; 0 when unknown.
	Memory int64
	// Slots is how many requests it runs at once; 0 when unknown.
	Slots int
}

// Choice is a server with what a request will cost there.
type Choice struct {
	Candidate
	ask Ask
	// Missed are the prompt tokens that the server must read.
	Missed int64
	// Source is the server from which it can fetch parts; empty for none.
	Source string
	// Save tells that the server shall send the parts to the store of kept parts.
	Save bool
	// Cost is the expected time to the first token, with penalties, in milliseconds,
	// and Wait the part of it for what is queued before.
	Cost float64
	Wait float64
	// Load is the server's load before the request.
	Load Load
}

// beginMargin is how many times the expected time until a request begins must fit
// into the time within which it must.
const beginMargin = 2

// inTime reports whether the request would begin within the candidate's bound.
func (c Choice) inTime() bool {
	return c.Until == 0 || beginMargin*(c.Wait+float64(c.Missed)/prefillRate) <= c.Until
}

// Choose returns the cheapest candidate at which the request begins in time. It
// reports false when there is none.
func (p *Placer) Choose(now clock.Millis, ask Ask, candidates []Candidate) (Choice, bool) {
	if len(candidates) == 0 {
		return Choice{}, false
	}
	home := homeOf(ask, candidates)
	bySalt := map[string]sources{}
	choices := make([]Choice, 0, len(candidates))
	for _, candidate := range candidates {
		if _, ok := bySalt[candidate.Salt]; !ok && !ask.plain() {
			bySalt[candidate.Salt] = p.sourcesOf(now, ask, candidate.Salt)
		}
		choice := p.price(now, ask, candidate, candidate.Server == home, bySalt[candidate.Salt])
		if choice.inTime() {
			choices = append(choices, choice)
		}
	}
	if len(choices) == 0 {
		return Choice{}, false
	}
	return slices.MinFunc(choices, func(a, b Choice) int {
		return cmp.Or(cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.Server, b.Server))
	}), true
}

// homeOf returns the home of the last shared part; empty when there is none.
func homeOf(ask Ask, candidates []Candidate) string {
	shared := ask.shared()
	if len(shared) == 0 {
		return ""
	}
	key := shared[len(shared)-1].ID
	best := slices.MaxFunc(candidates, func(a, b Candidate) int {
		return cmp.Compare(chooser.Rendezvous(0, key+a.Server), chooser.Rendezvous(0, key+b.Server))
	})
	return best.Server
}

func (p *Placer) price(now clock.Millis, ask Ask, candidate Candidate, home bool, from sources) Choice {
	choice := Choice{Candidate: candidate, ask: ask, Load: p.LoadAt(now, candidate.Server)}
	cost := candidate.Penalty + candidate.Errors*errorCost
	if candidate.Far {
		cost += farCost
	}
	if ask.plain() {
		choice.Wait = float64(choice.Load.Requests) * plainCost
		choice.Cost = cost + choice.Wait
		return choice
	}
	held := p.held(now, ask, candidate.Salt, candidate.Server, (*kept).has)
	// A source is named also where the server should have the parts: it may have
	// dropped them, and a source that is not needed costs it a millisecond.
	source, fetched := from.without(candidate.Server)
	choice.Source = source
	if !home && held < ask.sharedTokens() {
		cost += awayCost
	}
	if fetched-held >= leastFetch {
		cost += fetchCost
		if source == StoreID {
			cost += float64(fetched-held) / storeFetchRate
		}
		held = fetched
	}
	choice.Save = p.worthSaving(now, ask, candidate, held)
	choice.Missed = max(0, ask.Prompt-held)
	pace := p.pace(candidate.Server)
	choice.Wait = pace * float64(choice.Load.Prefill) / prefillRate
	if over := choice.Load.Tokens + choice.Missed + ask.Output - candidate.Memory; candidate.Memory > 0 && over > 0 {
		choice.Wait += overCost + float64(over)/prefillRate
	}
	if candidate.Slots > 0 && choice.Load.Requests >= candidate.Slots {
		choice.Wait += overCost
	}
	choice.Cost = cost + choice.Wait + pace*float64(choice.Missed)/prefillRate + float64(choice.Load.Requests)*requestCost
	return choice
}

// held returns the tokens at the prompt's beginning that the server is taken to have.
// A part that it has only in part ends them.
func (p *Placer) held(now clock.Millis, ask Ask, salt, server string, has func(*kept, clock.Millis, uint64) int64) int64 {
	known, ok := p.kept[server]
	if !ok {
		return 0
	}
	var tokens int64
	for _, part := range ask.Parts {
		there := has(known, now, keyOf(salt, part.ID))
		if there == 0 || there < part.Tokens-blockTokens {
			return tokens + there
		}
		tokens += part.Tokens
	}
	return tokens
}

func (p *Placer) pace(server string) float64 {
	if pace, ok := p.paces[server]; ok {
		return pace
	}
	return 1
}
