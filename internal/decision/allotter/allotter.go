// Package allotter admits the tokens of teams against one bucket a team that all
// instances share, without asking anyone first.
//
// Load pattern: one team sends several times its rate through instances that get
// uneven parts of its requests, while instances come, go and are cut off.
//
// Each instance counts what it has admitted since its start and tells the others
// several times a second. Each subtracts what it hears from its own copy of the
// bucket, which may go below zero: what was admitted at two places at once is owed
// and paid back by the refill, so that only the delay of the messages bounds the
// excess. For members that are not heard, a part of the rate and the burst is set
// aside, so that the sides of a cut never use more than the whole.
//
// # Usage
//
//	shares := allotter.New()
//	shares.Members(now, heard, all)
//	shares.Limit(now, "press", rate, burst, first)
//	ok := shares.Take(now, "press", tokens)
//	shares.Heard(now, "edge-2", incarnation, spent)
package allotter

import (
	"maps"

	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// account is one team's bucket, in tokens.
type account struct {
	rate  float64 // rate is in tokens a second.
	burst float64
	level float64
	at    clock.Millis
	spent int64
	// heard tells that the level counts what the others have spent.
	heard bool
}

// Silence is after how long a peer counts as not heard: some lost datagrams.
const Silence = 700 * clock.Millisecond

// peer is what another instance has spent.
type peer struct {
	incarnation string
	spent       map[string]int64
	at          clock.Millis // at is when it was last heard.
}

// Allotter is the buckets of one instance. It is not safe for concurrent use.
type Allotter struct {
	accounts map[string]*account
	peers    map[string]peer
	part     float64
}

// New returns an Allotter without teams.
func New() *Allotter {
	return &Allotter{accounts: map[string]*account{}, peers: map[string]peer{}, part: 1}
}

// Members sets how many instances are heard, this one included, of all.
func (a *Allotter) Members(now clock.Millis, heard, all int) {
	part := min(1, float64(max(1, heard))/float64(max(1, all)))
	if part == a.part {
		return
	}
	for _, acc := range a.accounts {
		acc.refill(now, a.part)
	}
	a.part = part
	for _, acc := range a.accounts {
		acc.level = min(acc.level, acc.burst*part)
	}
}

// Limit sets a team's rate in tokens a second and its burst in tokens. A new account
// begins with first tokens: what its team used before is not known here.
func (a *Allotter) Limit(now clock.Millis, team string, rate, burst, first int64) {
	acc, ok := a.accounts[team]
	if !ok {
		acc = &account{at: now, level: float64(first)}
		a.accounts[team] = acc
	} else {
		acc.refill(now, a.part)
	}
	acc.rate, acc.burst = float64(rate), float64(burst)
	acc.level = min(acc.level, acc.burst*a.part)
}

// Forget drops the teams that keep does not want.
func (a *Allotter) Forget(keep func(team string) bool) {
	maps.DeleteFunc(a.accounts, func(team string, _ *account) bool { return !keep(team) })
}

func (acc *account) refill(now clock.Millis, part float64) {
	span := float64(max(0, now.Since(acc.at))) / float64(clock.Second)
	acc.at = max(acc.at, now)
	acc.level = min(acc.burst*part, acc.level+acc.rate*part*span)
}

// Take takes tokens of the team. It reports false when the bucket has not enough.
func (a *Allotter) Take(now clock.Millis, team string, tokens int64) bool {
	acc, ok := a.accounts[team]
	if !ok {
		return true
	}
	acc.refill(now, a.part)
	if acc.level < float64(tokens) {
		return false
	}
	acc.level -= float64(tokens)
	acc.spent += tokens
	return true
}

// Return gives back tokens of a request that did not run.
func (a *Allotter) Return(team string, tokens int64) {
	if acc, ok := a.accounts[team]; ok {
		acc.level += float64(tokens)
		acc.spent -= tokens
	}
}

// Wait returns when the bucket will have the tokens, from now.
func (a *Allotter) Wait(now clock.Millis, team string, tokens int64) clock.Millis {
	acc, ok := a.accounts[team]
	if !ok || acc.rate <= 0 {
		return 0
	}
	acc.refill(now, a.part)
	missing := float64(tokens) - acc.level
	return clock.Millis(max(0, missing/(acc.rate*a.part)*float64(clock.Second)))
}

// Level returns what the team's bucket has, in tokens; negative when it owes some.
func (a *Allotter) Level(now clock.Millis, team string) int64 {
	acc, ok := a.accounts[team]
	if !ok {
		return 0
	}
	acc.refill(now, a.part)
	return int64(acc.level)
}

// Part returns the part of the rates and bursts that this side may use: less than 1
// while members are not heard.
func (a *Allotter) Part() float64 { return a.part }

// Spent returns what this instance has admitted since its start, by team.
func (a *Allotter) Spent() map[string]int64 {
	spent := make(map[string]int64, len(a.accounts))
	for team, acc := range a.accounts {
		if acc.spent != 0 {
			spent[team] = acc.spent
		}
	}
	return spent
}

// Levels returns the levels of the buckets, by team, for an instance that has just
// started.
func (a *Allotter) Levels(now clock.Millis) map[string]int64 {
	levels := make(map[string]int64, len(a.accounts))
	for team, acc := range a.accounts {
		if acc.heard {
			acc.refill(now, a.part)
			levels[team] = int64(acc.level)
		}
	}
	return levels
}

// Heard takes in what a peer has admitted since its start and the levels of its
// buckets. The first levels heard become the own ones.
func (a *Allotter) Heard(now clock.Millis, name, incarnation string, spent, levels map[string]int64) {
	known, met := a.peers[name]
	same := met && known.incarnation == incarnation
	// What a silent peer has spent came from the part that was set aside for it.
	silent := met && now.Since(known.at) > Silence
	for team, acc := range a.accounts {
		acc.refill(now, a.part)
		if level, ok := levels[team]; ok && !acc.heard {
			acc.level = min(acc.burst*a.part, float64(level))
			acc.heard = true
			continue
		}
		used := spent[team]
		switch {
		case !met, silent:
			// What was spent before this instance knew the peer lies in the past.
			used = 0
		case same:
			used -= known.spent[team]
		}
		acc.level -= float64(used)
	}
	a.peers[name] = peer{incarnation: incarnation, spent: maps.Clone(spent), at: now}
}

// Settle marks the own levels as good for others: the instance has run long enough
// for the buckets to count what it missed before its start.
func (a *Allotter) Settle() {
	for _, acc := range a.accounts {
		acc.heard = true
	}
}
