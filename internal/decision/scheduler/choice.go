package scheduler

import (
	"cmp"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/balancer"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Candidate is a server that may run the request.
type Candidate struct {
	Server string
	// Salt separates the cached parts of different models, weight versions and isolated
	// teams.
	Salt string
	// OtherDomain is set if the server is in another failure domain.
	OtherDomain bool
	// ErrorRate is the fraction of its latest attempts that failed.
	ErrorRate float64
	// PenaltyMs is an additional cost in milliseconds, for old weights.
	PenaltyMs float64
	// MaxStartDelayMs is the time in milliseconds within which the request must start
	// there; 0 for no limit.
	MaxStartDelayMs float64
	// MemoryTokens is the number of tokens that the server can hold; 0 if unknown.
	MemoryTokens int64
	// Known has what the server's keeper knows of it; nil if that must be estimated from
	// what this instance knows.
	Known *Known
	// Slots is the number of requests that it runs at once; 0 if unknown.
	Slots int
}

// Known is the state of a server as its keeper knows it.
type Known struct {
	// BacklogMs is the time in milliseconds that it still takes for earlier prompts.
	BacklogMs float64
	// CachedTokens is the length of the request's prefix that it has cached.
	CachedTokens int64
}

// Choice is a server with the estimated cost of the request there.
type Choice struct {
	Candidate
	request Request
	// UncachedTokens are the prompt tokens that the server must prefill.
	UncachedTokens int64
	// FetchSource is the server from which it can fetch cached parts; empty for none.
	FetchSource string
	// SaveToStore is set if the server shall send the parts to the cache store.
	SaveToStore bool
	// CostMs is the expected time to first token with penalties, and QueueMs the part
	// of it that is spent waiting for earlier requests, both in milliseconds.
	CostMs  float64
	QueueMs float64
	// Saturated is set if the request has to wait there for the end of another one.
	Saturated bool
	// Load is the server's load before the request.
	Load Load
}

// startMargin is the safety factor on the expected start delay where it is limited.
const startMargin = 2

// StartMs returns the expected time until the request starts, in milliseconds.
func (c Choice) StartMs() float64 {
	start := c.QueueMs + float64(c.UncachedTokens)/defaultPrefillRate
	if c.Saturated {
		start += c.request.RunMs
	}
	return start
}

// startsInTime reports whether the request would start within the candidate's limit.
func (c Choice) startsInTime() bool {
	return c.MaxStartDelayMs == 0 || startMargin*c.StartMs() <= c.MaxStartDelayMs
}

// Choose returns the cheapest candidate at which the request starts in time. It
// reports false if there is none.
func (s *Scheduler) Choose(now clock.Millis, request Request, candidates []Candidate) (Choice, bool) {
	choice, ok, _ := s.ChooseAdmitted(now, request, candidates, func(Choice) bool { return true })
	return choice, ok
}

// ChooseAdmitted returns the cheapest of those candidates for which admits returns true. If there
// is none, admits was called for all, and found reports whether there was one.
func (s *Scheduler) ChooseAdmitted(now clock.Millis, request Request, candidates []Candidate, admits func(Choice) bool) (best Choice, ok, found bool) {
	choices := s.choices(now, request, candidates)
	for _, choice := range choices {
		cheaper := !ok || cmp.Or(cmp.Compare(choice.CostMs, best.CostMs), cmp.Compare(choice.Server, best.Server)) < 0
		if cheaper && admits(choice) {
			best, ok = choice, true
		}
	}
	return best, ok, len(choices) > 0
}

// NeededTokens returns the memory, in tokens, that the server needs for its present requests and
// for this one.
func (c Choice) NeededTokens() int64 {
	return c.Load.MemoryTokens + c.UncachedTokens + c.request.OutputTokens
}

// costStep is the difference between costs, in milliseconds, below which Shortlist treats
// them as equal: the loads that they are estimated from are not more accurate.
const costStep = 10

// Shortlist returns the candidates whose keepers should be asked about the request: the
// owner of its shared parts, the server that owns them while the owner does not serve, and
// the cheapest of the others. Of those with about equal costs it prefers others for each
// request.
func (s *Scheduler) Shortlist(now clock.Millis, request Request, candidates []Candidate, count int, requestID string) []Choice {
	choices := s.choices(now, request, candidates)
	owner := ownerOf(request, candidates)
	second := ownerOf(request, slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.Server == owner }))
	class := func(c Choice) int {
		switch {
		case owner == "":
			return 0
		case c.Server == owner:
			return -2
		case c.Server == second:
			return -1
		default:
			return 0
		}
	}
	slices.SortFunc(choices, func(a, b Choice) int {
		return cmp.Or(cmp.Compare(class(a), class(b)), cmp.Compare(int(a.CostMs/costStep), int(b.CostMs/costStep)),
			cmp.Compare(balancer.Rendezvous(0, requestID+a.Server), balancer.Rendezvous(0, requestID+b.Server)))
	})
	return choices[:min(count, len(choices))]
}

// choices returns the candidates at which the request starts in time, with their costs.
func (s *Scheduler) choices(now clock.Millis, request Request, candidates []Candidate) []Choice {
	owner := ownerOf(request, candidates)
	sourcesBySalt := map[string]sources{}
	choices := make([]Choice, 0, len(candidates))
	for _, candidate := range candidates {
		if _, ok := sourcesBySalt[candidate.Salt]; !ok && !request.plain() {
			sourcesBySalt[candidate.Salt] = s.findSources(now, request, candidate.Salt).withKnown(candidates, candidate.Salt)
		}
		choice := s.estimate(now, request, candidate, candidate.Server == owner, sourcesBySalt[candidate.Salt])
		if choice.startsInTime() {
			choices = append(choices, choice)
		}
	}
	return choices
}

// ownerOf returns the owner of the last shared part; empty if no part is shared, or there
// is no candidate.
func ownerOf(request Request, candidates []Candidate) string {
	shared := request.sharedParts()
	if len(shared) == 0 || len(candidates) == 0 {
		return ""
	}
	id := shared[len(shared)-1].ID
	owner := slices.MaxFunc(candidates, func(a, b Candidate) int {
		return cmp.Compare(balancer.Rendezvous(0, id+a.Server), balancer.Rendezvous(0, id+b.Server))
	})
	return owner.Server
}

// estimate returns the candidate with the cost of the request there.
func (s *Scheduler) estimate(now clock.Millis, request Request, candidate Candidate, isOwner bool, available sources) Choice {
	choice := Choice{Candidate: candidate, request: request, Load: s.ServerLoad(now, candidate.Server)}
	cost := candidate.PenaltyMs + candidate.ErrorRate*errorCost
	if candidate.OtherDomain {
		cost += crossDomainCost
	}
	if request.plain() {
		choice.QueueMs = float64(choice.Load.Requests) * plainRequestCost
		choice.CostMs = cost + choice.QueueMs
		return choice
	}
	cached := s.cachedPrefix(now, request, candidate.Salt, candidate.Server, (*serverCache).cachedTokens)
	if candidate.Known != nil {
		cached = max(cached, candidate.Known.CachedTokens)
	}
	// A source is set even if the server should have the parts: it may have evicted
	// them, and a source that is not needed costs it a millisecond.
	source, fetchable := available.bestExcept(candidate.Server)
	choice.FetchSource = source
	if !isOwner && cached < request.sharedTokens() {
		cost += nonOwnerCost
	}
	if fetchable-cached >= minFetchTokens {
		cost += fetchCost
		if source == StoreID {
			cost += float64(fetchable-cached) / storeFetchRate
		}
		cached = fetchable
	}
	choice.SaveToStore = s.shouldSave(now, request, candidate, cached)
	choice.UncachedTokens = max(0, request.PromptTokens-cached)
	slowdown := s.slowdown(candidate.Server)
	choice.QueueMs = slowdown * float64(choice.Load.PrefillTokens) / defaultPrefillRate
	if candidate.Known != nil {
		choice.QueueMs = candidate.Known.BacklogMs
	}
	if excess := choice.NeededTokens() - candidate.MemoryTokens; candidate.MemoryTokens > 0 && excess > 0 {
		choice.QueueMs += saturationCost + float64(excess)/defaultPrefillRate
		choice.Saturated = true
	}
	if candidate.Slots > 0 && choice.Load.Requests >= candidate.Slots {
		choice.QueueMs += saturationCost
		choice.Saturated = true
	}
	choice.CostMs = cost + choice.QueueMs + slowdown*float64(choice.UncachedTokens)/defaultPrefillRate + float64(choice.Load.Requests)*runningRequestCost
	return choice
}

// cachedPrefix returns the length, in tokens, of the prompt's prefix that the server is
// assumed to have, as counted for each part by tokensOf. The prefix ends within the
// first incomplete part.
func (s *Scheduler) cachedPrefix(now clock.Millis, request Request, salt, server string, tokensOf func(*serverCache, clock.Millis, uint64) int64) int64 {
	cache, ok := s.caches[server]
	if !ok {
		return 0
	}
	var tokens int64
	for _, part := range request.Parts {
		cached := tokensOf(cache, now, partKey(salt, part.ID))
		if cached == 0 || cached < part.Tokens-blockTokens {
			return tokens + cached
		}
		tokens += part.Tokens
	}
	return tokens
}

func (s *Scheduler) slowdown(server string) float64 {
	if slowdown, ok := s.slowdowns[server]; ok {
		return slowdown
	}
	return 1
}
