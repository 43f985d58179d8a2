package config

import "cmp"

// Key is the stored form of a caller's key; the secret itself is not stored.
type Key struct {
	// ID identifies the key in lists and logs; it is not secret.
	ID string `json:"id"`
	// Digest is the salted digest of the secret.
	Digest string `json:"digest"`
	Team   string `json:"team"`
}

func (k Key) compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Team, other.Team), cmp.Compare(k.ID, other.ID))
}
