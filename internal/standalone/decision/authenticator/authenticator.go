// Package authenticator looks up the team of a caller's key.
//
// # Usage
//
//	team, ok := authenticator.TeamForKey(configuration, salt, key)
package authenticator

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/hasher"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/secret"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/config"
)

// TeamForKey returns the team of the key. It returns false when the key is unknown
// or withdrawn, or its team is no longer configured.
func TeamForKey(configuration config.Config, salt string, key secret.Secret) (config.Team, bool) {
	if key.IsEmpty() {
		return config.Team{}, false
	}
	known, ok := configuration.Keys[hasher.SaltedSecret(salt, key.Reveal())]
	if !ok {
		return config.Team{}, false
	}
	team, ok := configuration.Teams[known.Team]
	return team, ok
}
