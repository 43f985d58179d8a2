// Package hasher computes the SHA-256 hashes that name contents and protect stored
// keys.
//
// # Usage
//
//	name := hasher.Content(value)
//	stored := hasher.SaltedSecret(salt, secret)
package hasher

import (
	"crypto/sha256"
	"encoding/hex"
)

// contentBytes is the length to which hashes of contents and fields are truncated, in
// bytes.
const contentBytes = 16

// Content returns the truncated hash of value, which serves as the value's name.
func Content(value []byte) string {
	sum := sha256.Sum256(value)
	return hex.EncodeToString(sum[:contentBytes])
}

// Fields returns the truncated hash of the fields. Each field is hashed on its own
// first, so that moving a byte from one field to the next changes the result.
func Fields(fields ...string) string {
	hash := sha256.New()
	for _, field := range fields {
		sum := sha256.Sum256([]byte(field))
		hash.Write(sum[:])
	}
	return hex.EncodeToString(hash.Sum(nil)[:contentBytes])
}

// SaltedSecret returns the salted hash under which a caller's secret is stored.
func SaltedSecret(salt, secret string) string {
	sum := sha256.Sum256([]byte(salt + "\x00" + secret))
	return hex.EncodeToString(sum[:])
}
