// Package digester computes the digests that name contents and hide secrets.
//
// # Usage
//
//	name := digester.Content(value)
//	stored := digester.Key(salt, secret)
package digester

import (
	"crypto/sha256"
	"encoding/hex"
)

// contentBytes is how much of a SHA-256 sum a content name keeps, in bytes.
const contentBytes = 16

// Content returns the name of value: equal values have equal names.
func Content(value []byte) string {
	sum := sha256.Sum256(value)
	return hex.EncodeToString(sum[:contentBytes])
}

// Fields returns the digest of fields such that moving a byte from one field
// to the next changes it.
func Fields(fields ...string) string {
	hash := sha256.New()
	for _, field := range fields {
		sum := sha256.Sum256([]byte(field))
		hash.Write(sum[:])
	}
	return hex.EncodeToString(hash.Sum(nil)[:contentBytes])
}

// Key returns the salted digest under which a caller's secret is stored.
func Key(salt, secret string) string {
	sum := sha256.Sum256([]byte(salt + "\x00" + secret))
	return hex.EncodeToString(sum[:])
}
