package forwarder_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/desired"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/digest"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/instancesettings"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/limitsharer"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/registry"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/secret"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// pausable is a single instance with a server and peers, whose process can be paused.
type pausable struct {
	machine *forwarder.Forwarder
	now     clock.Millis
	peers   int
	sent    uint64
}

const pausableBurst = 1000

func pausableState(version int64, key string) desired.State {
	state := desired.State{
		Version: version, Salt: "salt", Services: map[string]desired.Service{"records": {Name: "records"}},
		Routes: []desired.Route{{Name: "lookup", Host: "h", Prefix: "/", Kind: desired.Safe, MaxAttempts: 2, Timeout: 4 * clock.Second, Split: []desired.WeightedService{{Service: "records", Weight: 1}}}},
		Teams:  map[string]desired.Team{"press": {Name: "press", Rate: pausableBurst, Burst: pausableBurst}},
	}
	return state.WithKey(secret.New(key), "press")
}

func newPausable(peers int) *pausable { return newSeededPausable(peers, 1) }

func newSeededPausable(peers int, seed uint64) *pausable {
	settings := instancesettings.Defaults()
	settings.Name, settings.Domain, settings.PeerAddress, settings.FirstStart = "edge-0", "a", "10.0.0.1:7600", true
	settings.Bounds.RetryExtra = 10
	p := &pausable{machine: forwarder.New(settings, "incarnation", seed), now: clock.Second, peers: peers}
	members := map[string]forwarder.Member{"edge-0": {Address: "10.0.0.1:7600", Domain: "a"}}
	for i := range peers {
		members[fmt.Sprint("edge-", i+1)] = forwarder.Member{Address: fmt.Sprintf("10.0.0.%d:7600", i+2), Domain: "a"}
	}
	p.step(forwarder.PeersListed{Members: members})
	p.step(forwarder.StateRead{State: pausableState(1, goodKey), ConfirmedAt: p.now})
	var entries []registry.Entry
	for i := range 3 {
		entries = append(entries, registry.Entry{ID: fmt.Sprint("r", i), Service: "records", Address: "10.1.0.1:80", Domain: "a", StartedAt: 1})
	}
	p.step(forwarder.ServersListed{Entries: entries})
	p.run(5 * clock.Second)
	return p
}

func (p *pausable) step(event forwarder.Event) []forwarder.Action {
	return p.machine.Step(p.now, event)
}

// run lets time pass; the store confirms the state and the peers send digests.
func (p *pausable) run(duration clock.Millis) {
	for end := p.now.Add(duration); p.now < end; p.now = p.now.Add(100) {
		p.step(forwarder.StateConfirmed{ConfirmedAt: p.now})
		p.sent++
		for i := range p.peers {
			p.step(forwarder.DigestReceived{Digest: digest.Digest{Name: fmt.Sprint("edge-", i+1), Domain: "a", Address: "10.0.0.2:7600", Incarnation: 7, Sequence: p.sent, Scope: digest.Subtree, Top: true, Members: 1}})
		}
		p.step(forwarder.Tick{})
	}
}

func (p *pausable) request(id string) []forwarder.Action {
	return p.step(forwarder.RequestArrived{Request: forwarder.Request{ID: id, Host: "h", Method: "GET", Path: "/x", Key: secret.New(goodKey)}})
}

// find returns the first action of a type.
func find[A forwarder.Action](actions []forwarder.Action) (A, bool) {
	for _, action := range actions {
		if found, ok := action.(A); ok {
			return found, true
		}
	}
	var none A
	return none, false
}

// TestPermissionEndsWithKeyAndDeadline guards against a request that is sent seconds after it was
// decided: each dispatch has a time from which it must not be sent.
func TestPermissionEndsWithKeyAndDeadline(t *testing.T) {
	for name, test := range map[string]struct{ stateAge, callerTimeout, want clock.Millis }{
		"usual":                {0, 0, clock.Second},
		"the state gets stale": {4300, 0, 201},
		"the deadline is near": {0, 400, 400},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPausable(0)
			p.step(forwarder.StateConfirmed{ConfirmedAt: p.now})
			for range int(test.stateAge / 100) {
				p.now = p.now.Add(100)
				p.step(forwarder.Tick{})
			}
			request := forwarder.Request{ID: "1", Host: "h", Path: "/x", Key: secret.New(goodKey), CallerTimeout: test.callerTimeout}
			dispatch, ok := find[forwarder.Dispatch](p.step(forwarder.RequestArrived{Request: request}))
			require.True(t, ok)
			require.Equal(t, test.want, dispatch.SendBefore.Since(p.now))
		})
	}
}

// TestExpiredAttemptIsDecidedAnew guards against a request that was admitted before a pause of the
// process and is sent after it with a key that was withdrawn meanwhile, or may have been.
func TestExpiredAttemptIsDecidedAnew(t *testing.T) {
	tests := map[string]struct {
		pause, timeout clock.Millis
		// key is the only key of the state that is read after the pause; empty if none is read.
		key    string
		reason forwarder.Reason // reason is empty for a request that is sent again.
	}{
		"the key is still valid": {1500, 4000, goodKey, ""},
		"the key was withdrawn":  {1500, 4000, "another key", forwarder.ReasonInvalidKey},
		"the state is stale":     {4700, 20000, "", forwarder.ReasonStaleState},
		"too little time":        {3980, 4000, goodKey, forwarder.ReasonDeadlineTooClose},
	}
	for name, test := range tests {
		for _, outcome := range []forwarder.Outcome{forwarder.OutcomeExpired, forwarder.OutcomeDeclined} {
			t.Run(fmt.Sprint(name, ", ", outcome), func(t *testing.T) {
				p := newPausable(0)
				state := pausableState(2, goodKey)
				state.Routes[0].Timeout = test.timeout
				p.step(forwarder.StateRead{State: state, ConfirmedAt: p.now})
				dispatch, ok := find[forwarder.Dispatch](p.request("1"))
				require.True(t, ok)
				p.now = p.now.Add(test.pause)
				var actions []forwarder.Action
				if test.key != "" {
					// An attempt that seems silent gets an alternative.
					actions = p.step(forwarder.StateRead{State: pausableState(3, test.key), ConfirmedAt: p.now})
				}
				actions = append(actions, p.step(forwarder.AttemptEnded{Request: "1", Attempt: dispatch.Attempt, Outcome: outcome})...)
				refused, isRefused := find[forwarder.Refuse](actions)
				require.Equal(t, test.reason, refused.Reason)
				require.Equal(t, test.reason != "", isRefused)
				if isRefused {
					require.Equal(t, 503, refused.Status, "it has not run")
				}
				_, sent := find[forwarder.Dispatch](actions)
				require.Equal(t, test.reason == "", sent)
			})
		}
	}
}

// openState returns a state in which the lookup route is open, with the teams of the keys.
func openState(version int64, open bool, keys map[string]string) desired.State {
	state := pausableState(version, goodKey)
	state.Routes[0].Open = open
	state.Keys, state.Teams = nil, map[string]desired.Team{}
	for key, team := range keys {
		state.Teams[team] = desired.Team{Name: team, Isolated: true}
		state = state.WithKey(secret.New(key), team)
	}
	return state
}

// TestKeyOnOpenRouteNamesNoTeamAfterItsBound guards against a request on an open route that is served for
// the team of a key that may have been withdrawn for longer than the bound allows.
func TestKeyOnOpenRouteNamesNoTeamAfterItsBound(t *testing.T) {
	for name, test := range map[string]struct {
		key    string
		age    clock.Millis
		lax    bool
		team   string
		reason forwarder.Reason // reason is empty for a request that is sent.
	}{
		"a team's key":                   {key: goodKey, age: 4500, team: "press"},
		"a key of no team":               {key: "unknown", age: 4500},
		"no key":                         {age: 4500},
		"a team's key, stale":            {key: goodKey, age: 4501, reason: forwarder.ReasonStaleState},
		"a key of no team, stale":        {key: "unknown", age: 4501, reason: forwarder.ReasonStaleState},
		"no key, stale":                  {age: 60000},
		"a team's key, without a bound":  {key: goodKey, age: 60000, lax: true, team: "press"},
		"another key, without the bound": {key: "unknown", age: 60000, lax: true},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPausable(0)
			settings := instancesettings.Defaults()
			settings.Bounds.StrictKeys = !test.lax
			p.step(forwarder.SettingsReloaded{Settings: settings})
			p.step(forwarder.StateRead{State: openState(2, true, map[string]string{goodKey: "press"}), ConfirmedAt: p.now})
			p.now = p.now.Add(test.age)
			actions := p.step(forwarder.RequestArrived{Request: forwarder.Request{ID: "1", Host: "h", Path: "/x", Key: secret.New(test.key)}})
			refused, isRefused := find[forwarder.Refuse](actions)
			require.Equal(t, test.reason, refused.Reason)
			if isRefused {
				require.Equal(t, 503, refused.Status)
				return
			}
			dispatch, sent := find[forwarder.Dispatch](actions)
			require.True(t, sent)
			require.Equal(t, test.team, dispatch.Team)
			if !test.lax && test.key != "" {
				require.LessOrEqual(t, dispatch.SendBefore.Since(p.now), 4501-test.age, "it may not be sent after the bound either")
			}
		})
	}
}

// TestRequestIsNotSentForEarlierTeam guards against a request that waits while its key is withdrawn or
// given to another team, and is then sent for the team that held it on arrival.
func TestRequestIsNotSentForEarlierTeam(t *testing.T) {
	press := map[string]string{goodKey: "press"}
	for name, test := range map[string]struct {
		open          bool
		key           string
		before, after map[string]string // before and after are the teams by key; after is nil for no other state.
		pause         clock.Millis
		reason        forwarder.Reason
	}{
		"the same":                      {key: goodKey, before: press, after: press},
		"given to another team":         {key: goodKey, before: press, after: map[string]string{goodKey: "radio"}, reason: forwarder.ReasonInvalidKey},
		"the last team is removed":      {key: goodKey, before: press, after: map[string]string{}, reason: forwarder.ReasonInvalidKey},
		"open, the same":                {open: true, key: goodKey, before: press, after: press},
		"open, withdrawn":               {open: true, key: goodKey, before: press, after: map[string]string{"other": "press"}, reason: forwarder.ReasonInvalidKey},
		"open, given to another team":   {open: true, key: goodKey, before: press, after: map[string]string{goodKey: "radio"}, reason: forwarder.ReasonInvalidKey},
		"open, given to a team":         {open: true, key: goodKey, before: map[string]string{"other": "press"}, after: press, reason: forwarder.ReasonInvalidKey},
		"open, the last one is removed": {open: true, key: goodKey, before: press, after: map[string]string{}, reason: forwarder.ReasonInvalidKey},
		"open, of no team":              {open: true, key: "unknown", before: press, after: map[string]string{goodKey: "radio"}},
		"open, no key":                  {open: true, before: press, after: map[string]string{goodKey: "radio"}},
		"open, the state is stale":      {open: true, key: goodKey, before: press, pause: 4501, reason: forwarder.ReasonStaleState},
		"open, stale, no key":           {open: true, before: press, pause: 4501},
	} {
		for _, outcome := range []forwarder.Outcome{forwarder.OutcomeExpired, forwarder.OutcomeNotSent} {
			t.Run(fmt.Sprint(name, ", ", outcome), func(t *testing.T) {
				p := newPausable(0)
				before := openState(2, test.open, test.before)
				before.Routes[0].Timeout = 20 * clock.Second
				p.step(forwarder.StateRead{State: before, ConfirmedAt: p.now})
				dispatch, ok := find[forwarder.Dispatch](p.step(forwarder.RequestArrived{Request: forwarder.Request{ID: "1", Host: "h", Path: "/x", Key: secret.New(test.key)}}))
				require.True(t, ok)
				p.now = p.now.Add(test.pause)
				if test.after != nil {
					p.step(forwarder.StateRead{State: openState(3, test.open, test.after), ConfirmedAt: p.now})
				}
				actions := p.step(forwarder.AttemptEnded{Request: "1", Attempt: dispatch.Attempt, Outcome: outcome})
				refused, isRefused := find[forwarder.Refuse](actions)
				require.Equal(t, test.reason, refused.Reason)
				again, sent := find[forwarder.Dispatch](actions)
				require.NotEqual(t, isRefused, sent)
				if isRefused {
					require.Equal(t, 503, refused.Status, "it has not run")
				} else {
					require.Equal(t, dispatch.Team, again.Team)
				}
			})
		}
	}
}

// TestPausedInstanceTakesItsShareOnly guards against an instance that, after a pause of its
// process, grants the whole burst of a team before it has received digests of the others.
func TestPausedInstanceTakesItsShareOnly(t *testing.T) {
	p := newPausable(9)
	state := pausableState(2, goodKey)
	state.Teams["press"] = desired.Team{Name: "press", Rate: pausableBurst, Burst: pausableBurst, LimitsTokens: true, DefaultTokens: pausableBurst / 2}
	p.step(forwarder.StateRead{State: state, ConfirmedAt: p.now})
	p.now = p.now.Add(4 * clock.Second)
	refused, ok := find[forwarder.Refuse](p.request("1"))
	require.True(t, ok, "half of the burst is more than a tenth")
	require.Equal(t, forwarder.ReasonOverRate, refused.Reason)
	p.run(2 * clock.Second)
	_, sent := find[forwarder.Dispatch](p.request("2"))
	require.True(t, sent, "the whole share counts again when the others are heard")
}

// TestPausedInstanceKeepsToServerLimits guards against an instance that takes the whole limit of a
// server after a pause, as the other holders seem to be gone.
func TestPausedInstanceKeepsToServerLimits(t *testing.T) {
	count := func(pause clock.Millis) int {
		p := newPausable(9)
		for i := range 3 {
			p.step(forwarder.ServerNotice{Server: fmt.Sprint("r", i), StartedAt: 1, Limit: limitsharer.PerSecond(40), HasLimit: true})
		}
		p.run(2 * clock.Second)
		p.now = p.now.Add(pause)
		p.step(forwarder.StateConfirmed{ConfirmedAt: p.now})
		sent := 0
		for i := range 300 {
			if _, ok := find[forwarder.Dispatch](p.request(fmt.Sprint("r", i))); ok {
				sent++
			}
			p.now = p.now.Add(2)
		}
		return sent
	}
	require.LessOrEqual(t, count(5*clock.Second), count(0)+1, "calls to servers within 600 ms after the pause, and without one")
}

// TestPausedInstanceRemovesNoPeers guards against an instance that removes the entries of peers
// from which it received nothing because it was itself paused.
func TestPausedInstanceRemovesNoPeers(t *testing.T) {
	p := newPausable(1)
	p.run(16 * clock.Second)
	require.Empty(t, p.machine.UnresponsivePeers())
	p.now = p.now.Add(20 * clock.Second)
	p.step(forwarder.Tick{})
	require.Empty(t, p.machine.UnresponsivePeers())
}
