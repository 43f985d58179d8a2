package forwarder_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/desired"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/instancesettings"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/registry"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/scheduler"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/secret"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// isolation is an instance before engines that keep each part, while the teams of the desired state
// change. The key of a team is its name.
type isolation struct {
	t        *testing.T
	instance *forwarder.Forwarder
	now      clock.Millis
	state    desired.State
	// makers are the teams of the requests that ran, by salt and model.
	makers map[string][]string
	sent   int
}

// newIsolation returns an instance with the teams, of which those that end in "!" are isolated.
func newIsolation(t *testing.T, teams string) *isolation {
	i := &isolation{t: t, now: clock.Second, makers: map[string][]string{}}
	i.setTeams(teams)
	return i
}

// setTeams makes a state with the teams the newest one.
func (i *isolation) setTeams(teams string) {
	state := newDesiredState(i.state.Version + 1)
	for n := range state.Routes {
		state.Routes[n].Open = state.Routes[n].Name == "answer"
	}
	state.Keys, state.Teams = nil, map[string]desired.Team{}
	for _, team := range strings.Fields(teams) {
		name, isolated := strings.CutSuffix(team, "!")
		state.Teams[name] = desired.Team{Name: name, Isolated: isolated}
		state = state.WithKey(secret.New(name), name)
	}
	i.state = state
	if i.instance == nil {
		i.restart()
	}
	i.instance.Step(i.now, forwarder.StateRead{State: state, ConfirmedAt: i.now})
}

// restart replaces the instance with one that knows the newest state only.
func (i *isolation) restart() {
	settings := instancesettings.Defaults()
	settings.Name, settings.Domain, settings.FirstStart = "edge-0", "a", true
	i.instance = forwarder.New(settings, "incarnation", 1)
	i.instance.Step(i.now, forwarder.StateRead{State: i.state, ConfirmedAt: i.now})
	var entries []registry.Entry
	for n := range 3 {
		entry := registry.Entry{ID: fmt.Sprint("e", n), Service: "engines", Address: "10.1.0.1:80", Domain: "a", Slots: 8, StartedAt: 1}
		entries = append(entries, entry.WithWeightVersion(model, 2).WithWeightVersion("m@2/a", 2))
	}
	i.instance.Step(i.now, forwarder.WeightsPublished{Model: model, Version: 2})
	i.instance.Step(i.now, forwarder.ServersListed{Entries: entries})
}

// ask sends a request of the team, which the instance dispatches.
func (i *isolation) ask(team string) forwarder.Dispatch {
	return i.send(forwarder.Request{Key: secret.New(team), Path: "/stream/x", Model: model, PromptTokens: 1000})
}

func (i *isolation) send(request forwarder.Request) forwarder.Dispatch {
	i.t.Helper()
	i.sent++
	request.ID, request.Host, request.PromptParts = fmt.Sprint("r", i.sent), host, []scheduler.Part{{ID: "guide", Tokens: 900}, {ID: fmt.Sprint(i.sent), Tokens: 100}}
	dispatch, ok := find[forwarder.Dispatch](i.instance.Step(i.now, forwarder.RequestArrived{Request: request}))
	require.True(i.t, ok, "%+v is dispatched", request)
	return dispatch
}

// run runs the dispatched request at an engine. It fails if the request uses a part of another team and
// one of both is isolated.
func (i *isolation) run(dispatch forwarder.Dispatch) {
	i.t.Helper()
	for _, maker := range i.makers[dispatch.CacheSalt] {
		if maker != dispatch.Team {
			require.False(i.t, i.state.Teams[maker].Isolated || i.state.Teams[dispatch.Team].Isolated, "%q uses a part that %q made, under the salt %q", dispatch.Team, maker, dispatch.CacheSalt)
		}
	}
	i.makers[dispatch.CacheSalt] = append(i.makers[dispatch.CacheSalt], dispatch.Team)
	i.instance.Step(i.now, forwarder.AttemptEnded{Request: dispatch.Request, Attempt: dispatch.Attempt, Outcome: forwarder.OutcomeCompleted, Status: 200})
}

// TestIsolatedTeamLeavesItsPartsToNoOther guards against a team whose cached parts stay in common use
// after it has become isolated. In each history, each team sends a prompt under each state.
func TestIsolatedTeamLeavesItsPartsToNoOther(t *testing.T) {
	t.Parallel()
	for name, history := range map[string][]string{
		"one becomes isolated":             {"coast survey", "coast! survey"},
		"one is isolated for some time":    {"coast survey", "coast! survey", "coast survey", "coast! survey"},
		"one after the other":              {"coast survey press", "coast! survey press", "coast! survey! press", "coast survey! press", "coast survey press!"},
		"an isolated one joins":            {"coast survey", "coast survey press!", "coast survey press"},
		"one is removed and back isolated": {"coast survey", "survey", "coast! survey"},
		"all are isolated, then one":       {"coast! survey!", "coast survey!", "coast! survey"},
		"the last one becomes isolated":    {"coast! survey press", "coast! survey! press!", "coast survey press"},
	} {
		for _, restarts := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", restarts: ", restarts), func(t *testing.T) {
				t.Parallel()
				i := newIsolation(t, history[0])
				for _, teams := range history {
					i.setTeams(teams)
					if restarts {
						i.restart()
					}
					for range 2 {
						for team := range i.state.Teams {
							i.run(i.ask(team))
						}
						// A request without a key on an open route.
						i.run(i.send(forwarder.Request{Path: "/answer/x", Model: model, PromptTokens: 1000}))
					}
				}
			})
		}
	}
}

// TestRequestWaitsAcrossIsolation guards against a request that is sent under the salt of the state on
// its arrival, although its team has become isolated, or others have, while it waited.
func TestRequestWaitsAcrossIsolation(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct{ before, after string }{
		"its team becomes isolated":    {"coast survey", "coast! survey"},
		"its team is no longer":        {"coast! survey", "coast survey"},
		"the other one becomes":        {"coast survey", "coast survey!"},
		"the other one is no longer":   {"coast survey!", "coast survey"},
		"both become":                  {"coast survey", "coast! survey!"},
		"the other one leaves":         {"coast survey!", "coast"},
		"another isolated one appears": {"coast survey", "coast survey press!"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			i := newIsolation(t, test.before)
			i.run(i.ask("coast"))
			i.run(i.ask("survey"))
			waits := i.ask("coast")
			i.setTeams(test.after)
			again, ok := find[forwarder.Dispatch](i.instance.Step(i.now, forwarder.AttemptEnded{Request: waits.Request, Attempt: waits.Attempt, Outcome: forwarder.OutcomeExpired}))
			require.True(t, ok)
			require.Equal(t, i.ask("coast").CacheSalt, again.CacheSalt, "a request that arrives now")
			for team := range i.state.Teams {
				i.run(i.ask(team))
			}
			i.run(again)
		})
	}
}

// TestPromptOfUnknownSizeIsIsolated guards against requests of an isolated team that are sent without a
// salt, which is one salt for all: an engine caches what it can find of a prompt.
func TestPromptOfUnknownSizeIsIsolated(t *testing.T) {
	t.Parallel()
	for name, request := range map[string]forwarder.Request{
		"no token counts": {Model: model},
		"no model":        {},
		"another model":   {Model: "unknown"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			i := newIsolation(t, "coast survey")
			for _, teams := range []string{"coast survey", "coast! survey"} {
				i.setTeams(teams)
				for range 2 {
					for team := range i.state.Teams {
						asked := request
						asked.Key, asked.Path = secret.New(team), "/stream/x"
						i.run(i.send(asked))
					}
				}
			}
		})
	}
}

// TestSaltsOfOddNamesDiffer guards against names that contain the separators of a salt: those of two
// models, or of two teams, must not give one salt.
func TestSaltsOfOddNamesDiffer(t *testing.T) {
	t.Parallel()
	i := newIsolation(t, "b! a@2/b! a%402%2Fb! *! coast")
	salts := map[string]string{}
	for team := range i.state.Teams {
		for _, name := range []string{model, model + "@2/a"} {
			dispatch := i.send(forwarder.Request{Key: secret.New(team), Path: "/stream/x", Model: name, PromptTokens: 1000})
			require.NotContains(t, salts, dispatch.CacheSalt, "%q and %q, %q", salts[dispatch.CacheSalt], team, name)
			salts[dispatch.CacheSalt] = fmt.Sprint(team, " ", name)
		}
	}
}
