// Package stamper makes and reads the identifiers of a stream's events. A caller
// whose connection is lost sends the last one back, through any instance, and
// the stream goes on at the engine that still has it.
//
// An identifier names the engine, the attempt and the event, and is signed for
// the team and the request, so that no other caller can use it.
//
// # Usage
//
//	stamp := stamper.New(credential, "press", fingerprint, "engine-1", attempt)
//	id := stamp.ID(17)
//	place, err := stamper.Read(credential, "press", fingerprint, id)
package stamper

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/secret"
)

const (
	separator = "/"
	// signatureBytes is how much of a signature an identifier has.
	signatureBytes = 12
)

// Signer makes the identifiers of one attempt's events. Values are immutable.
type Signer struct {
	credential  secret.Secret
	team        string
	fingerprint string
	server      string
	attempt     string
}

// Position is an event of an attempt at a server.
type Position struct {
	Server  string
	Attempt string
	// EventNumber is the event's number, from 1.
	EventNumber int64
}

// New returns the Stamper of an attempt at the server, for the team's request
// with the fingerprint.
func New(credential secret.Secret, team, fingerprint, server, attempt string) Signer {
	return Signer{credential: credential, team: team, fingerprint: fingerprint, server: server, attempt: attempt}
}

// ID returns the identifier of the event with the number.
func (s Signer) ID(event int64) string {
	place := strings.Join([]string{s.server, s.attempt, strconv.FormatInt(event, 10)}, separator)
	return place + separator + s.sign(place)
}

func (s Signer) sign(place string) string {
	signature := hmac.New(sha256.New, []byte(s.credential.Reveal()))
	for _, field := range []string{s.team, s.fingerprint, place} {
		signature.Write([]byte(strconv.Itoa(len(field)) + separator + field))
	}
	return hex.EncodeToString(signature.Sum(nil)[:signatureBytes])
}

// Parse returns the place that the identifier names. One that was not made for
// the team's request with the fingerprint is an error.
func Parse(credential secret.Secret, team, fingerprint, id string) (Position, error) {
	parts := strings.Split(id, separator)
	if len(parts) != 4 {
		return Position{}, errors.New("stamper.Read: not an identifier of an event")
	}
	event, err := strconv.ParseInt(parts[2], 10, 64)
	if err != nil || event < 0 {
		return Position{}, errors.New("stamper.Read: the event's number is malformed")
	}
	made := New(credential, team, fingerprint, parts[0], parts[1]).ID(event)
	if !hmac.Equal([]byte(made), []byte(id)) {
		return Position{}, errors.New("stamper.Read: the identifier is not of this request")
	}
	return Position{Server: parts[0], Attempt: parts[1], EventNumber: event}, nil
}
