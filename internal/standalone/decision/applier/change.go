package applier

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/hasher"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/secret"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/config"
)

// Change is a configuration change.
type Change interface{ isChange() }

// Replace replaces the configuration except for the keys.
type Replace struct {
	Config config.Config
	// BaseRevision is the configuration revision that was edited; the operation ends
	// in a conflict when another one is in force. 0 means the first one that is read.
	BaseRevision int64
}

// AddKey adds a key.
type AddKey struct {
	ID     string
	Team   string
	Secret secret.Secret
}

// RemoveKey removes the key with the identifier.
type RemoveKey struct{ ID string }

func (Replace) isChange()   {}
func (AddKey) isChange()    {}
func (RemoveKey) isChange() {}

// rejection is the reason why a change does not fit the configuration.
type rejection struct {
	notFound bool
	message  string
}

// changedConfig returns the configuration after the change.
func changedConfig(change Change, current config.Config, salt string) (config.Config, *rejection) {
	switch change := change.(type) {
	case Replace:
		return change.Config.WithKeysOf(current), nil
	case AddKey:
		return addKey(change, current, salt)
	case RemoveKey:
		return removeKey(change, current)
	default:
		return current, &rejection{message: "unknown change"}
	}
}

func addKey(change AddKey, current config.Config, salt string) (config.Config, *rejection) {
	if _, ok := current.Teams[change.Team]; !ok {
		return current, &rejection{notFound: true, message: "team " + change.Team + " is not configured; apply a configuration that has it first"}
	}
	digest := hasher.SaltedSecret(salt, change.Secret.Reveal())
	return current.WithKey(config.Key{ID: change.ID, Digest: digest, Team: change.Team}), nil
}

func removeKey(change RemoveKey, current config.Config) (config.Config, *rejection) {
	if _, ok := current.KeyByID(change.ID); !ok {
		return current, &rejection{notFound: true, message: "no key has the identifier " + change.ID + "; see: keys list"}
	}
	return current.WithoutKey(change.ID), nil
}
