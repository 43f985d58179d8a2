// Package desired has what operators want of the fleet on the users' platform:
// routes by host and path, the services behind them, teams with their keys and
// limits. A State is immutable once it is in force.
//
// # Usage
//
//	route, ok := state.Match("notes.example", "/draft/7")
//	team, ok := state.TeamOf(key)
package desired

import (
	"strings"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/digester"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/secret"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// State is one whole desired state.
type State struct {
	// Version grows with each state, in uneven steps.
	Version  int64
	Routes   []Route
	Services map[string]Service
	Teams    map[string]Team
	// Salt and Keys hide the callers' keys: Keys has team names by salted digest.
	Salt   string
	Keys   map[string]string
	Limits Limits
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int64
	BodyBytes   int64
	// HeaderTimeout bounds the time from a request's first byte to the end of its
	// header; IdleTimeout bounds the time between two requests of a connection.
	HeaderTimeout clock.Millis
	IdleTimeout   clock.Millis
}

// LimitDefaults returns the limits that hold until a state is known.
func LimitDefaults() Limits {
	return Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3 * clock.Second, IdleTimeout: 15 * clock.Second}
}

// Match returns the route of the host with the longest prefix of the path.
func (s State) Match(host, path string) (Route, bool) {
	var chosen Route
	found := false
	for _, route := range s.Routes {
		if route.Host == host && strings.HasPrefix(path, route.Prefix) && (!found || len(route.Prefix) > len(chosen.Prefix)) {
			chosen, found = route, true
		}
	}
	return chosen, found
}

// WithKey returns the state with the key of the team. It is for building a state.
func (s State) WithKey(key secret.Secret, team string) State {
	if s.Keys == nil {
		s.Keys = map[string]string{}
	}
	s.Keys[digester.Key(s.Salt, key.Reveal())] = team
	return s
}

// TeamOf returns the team that holds the key.
func (s State) TeamOf(key secret.Secret) (Team, bool) {
	if key.Empty() {
		return Team{}, false
	}
	name, ok := s.Keys[digester.Key(s.Salt, key.Reveal())]
	if !ok {
		return Team{}, false
	}
	team, ok := s.Teams[name]
	return team, ok
}

// Keyed reports whether callers need a key where a route is not open to all.
func (s State) Keyed() bool {
	return len(s.Teams) > 0
}
