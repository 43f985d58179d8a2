package config

import "cmp"

// Key is a caller's key as it is stored: the secret itself is not kept.
type Key struct {
	// ID names the key in lists and logs; it is no secret.
	ID string `json:"id"`
	// Digest is the salted digest of the secret.
	Digest string `json:"digest"`
	Team   string `json:"team"`
}

func (k Key) compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Team, other.Team), cmp.Compare(k.ID, other.ID))
}
