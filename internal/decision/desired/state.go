// Package desired has the state that operators configure on the users' platform: routes
// by host and path, the services behind them, and teams with their keys and limits. A
// State is immutable once it is in force.
//
// # Usage
//
//	route, ok := state.Match("notes.example", "/draft/7")
//	team, ok := state.TeamForKey(key)
package desired

import (
	"strings"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/hasher"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/secret"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// State is one version of the desired state.
type State struct {
	// Version increases with each state, not always by one.
	Version  int64
	Routes   []Route
	Services map[string]Service
	Teams    map[string]Team
	// Keys has the team names by salted digest of the key, so that the callers' keys
	// themselves are not kept.
	Salt   string
	Keys   map[string]string
	Limits Limits
}

// Limits bound the size and the duration of callers' requests.
type Limits struct {
	HeaderBytes int64
	BodyBytes   int64
	// HeaderTimeout bounds the time from a request's first byte to the end of its
	// header; IdleTimeout bounds the time between two requests of a connection.
	HeaderTimeout clock.Millis
	IdleTimeout   clock.Millis
}

// DefaultLimits returns the limits that apply until a state is received.
func DefaultLimits() Limits {
	return Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3 * clock.Second, IdleTimeout: 15 * clock.Second}
}

// Match returns the route of the host with the longest prefix of the path.
func (s State) Match(host, path string) (Route, bool) {
	var longest Route
	found := false
	for _, route := range s.Routes {
		if route.Host == host && strings.HasPrefix(path, route.Prefix) && (!found || len(route.Prefix) > len(longest.Prefix)) {
			longest, found = route, true
		}
	}
	return longest, found
}

// WithKey returns the state with the key added for the team. It shares the map Keys with
// s, so it is only for a state that is not in force yet.
func (s State) WithKey(key secret.Secret, team string) State {
	if s.Keys == nil {
		s.Keys = map[string]string{}
	}
	s.Keys[hasher.SaltedSecret(s.Salt, key.Reveal())] = team
	return s
}

// TeamForKey returns the team of the key.
func (s State) TeamForKey(key secret.Secret) (Team, bool) {
	if key.IsEmpty() {
		return Team{}, false
	}
	name, ok := s.Keys[hasher.SaltedSecret(s.Salt, key.Reveal())]
	if !ok {
		return Team{}, false
	}
	team, ok := s.Teams[name]
	return team, ok
}

// RequiresKeys reports whether callers need a key on routes that are not open.
func (s State) RequiresKeys() bool {
	return len(s.Teams) > 0
}
