// Package cachesalter names the salts under which engines keep the cached parts of prompts. Engines
// find a part only under the salt of the request that made it, so the salt decides which requests may
// use each other's parts.
//
// A salt names the model, the version of the weights and a scope. An isolated team has a scope of its
// own. All other requests have a common scope, which names the set of isolated teams, so that other teams
// no longer use what a team made before it became isolated. The scope follows from the desired state alone:
// it is the same at instances that have started since or have missed states.
//
// Each change of the set makes the engines' common parts useless. While no team is isolated, the
// common scope is empty.
//
// # Usage
//
//	salter := cachesalter.New(state.Teams)
//	salt := salter.Salt("m", 3, "press")
package cachesalter

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/desired"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/hasher"
)

// commonPrefix precedes the digest in a common scope. No escaped name contains it.
const commonPrefix = "*"

// escaper removes the separators from names, so that different names give different salts.
var escaper = strings.NewReplacer("%", "%25", "@", "%40", "/", "%2F", commonPrefix, "%2A")

// Salter names the salts of one desired state.
type Salter struct {
	teams  map[string]desired.Team
	common string
}

// New returns the salter for the teams of a desired state, by name.
func New(teams map[string]desired.Team) Salter {
	var isolated []string
	for _, name := range slices.Sorted(maps.Keys(teams)) {
		if teams[name].Isolated {
			isolated = append(isolated, name)
		}
	}
	s := Salter{teams: teams}
	if len(isolated) > 0 {
		s.common = commonPrefix + hasher.Fields(isolated...)
	}
	return s
}

// Common returns the scope of all teams that are not isolated; empty while none is isolated.
func (s Salter) Common() string { return s.common }

// Salt returns the salt for a request of the team; the name is empty for requests of no team.
func (s Salter) Salt(model string, version int64, team string) string {
	return fmt.Sprintf("%s@%d/%s", escaper.Replace(model), version, s.scope(team))
}

// scope returns the scope of the team. A team that the state does not have has its own: its requests
// were admitted under an older state, in which it may have been isolated.
func (s Salter) scope(name string) string {
	team, known := s.teams[name]
	if name != "" && (!known || team.Isolated) {
		return escaper.Replace(name)
	}
	return s.common
}
