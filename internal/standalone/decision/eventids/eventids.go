// Package eventids creates and verifies the identifiers of a stream's events. A
// caller whose connection broke sends the last one as Last-Event-ID to any instance,
// and the stream resumes at the engine that still has the attempt.
//
// An identifier contains the server, the attempt and the event's number. It is signed
// for the team and the request, so that no other caller can use it.
//
// # Usage
//
//	signer := eventids.New(credential, "press", fingerprint, "engine-1", attempt)
//	id := signer.ID(17)
//	position, err := eventids.Parse(credential, "press", fingerprint, id)
package eventids

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
	// signatureBytes is the length of the truncated signature in an identifier.
	signatureBytes = 12
)

// Signer creates the identifiers of one attempt's events. Values are immutable.
type Signer struct {
	credential  secret.Secret
	team        string
	fingerprint string
	server      string
	attempt     string
}

// Position is the position in the stream of an attempt at a server.
type Position struct {
	Server  string
	Attempt string
	// EventNumber is the event's number, from 1.
	EventNumber int64
}

// New returns the Signer for an attempt at the server, for the team's request with
// the fingerprint.
func New(credential secret.Secret, team, fingerprint, server, attempt string) Signer {
	return Signer{credential: credential, team: team, fingerprint: fingerprint, server: server, attempt: attempt}
}

// ID returns the identifier of the event with the number.
func (s Signer) ID(number int64) string {
	position := strings.Join([]string{s.server, s.attempt, strconv.FormatInt(number, 10)}, separator)
	return position + separator + s.sign(position)
}

func (s Signer) sign(position string) string {
	signature := hmac.New(sha256.New, []byte(s.credential.Reveal()))
	for _, field := range []string{s.team, s.fingerprint, position} {
		signature.Write([]byte(strconv.Itoa(len(field)) + separator + field))
	}
	return hex.EncodeToString(signature.Sum(nil)[:signatureBytes])
}

// Parse verifies the identifier and returns its position. An identifier that was not
// created for the team's request with the fingerprint is an error.
func Parse(credential secret.Secret, team, fingerprint, id string) (Position, error) {
	parts := strings.Split(id, separator)
	if len(parts) != 4 {
		return Position{}, errors.New("eventids.Parse: not an event identifier")
	}
	number, err := strconv.ParseInt(parts[2], 10, 64)
	if err != nil || number < 0 {
		return Position{}, errors.New("eventids.Parse: the event number is malformed")
	}
	expected := New(credential, team, fingerprint, parts[0], parts[1]).ID(number)
	if !hmac.Equal([]byte(expected), []byte(id)) {
		return Position{}, errors.New("eventids.Parse: the identifier belongs to another request")
	}
	return Position{Server: parts[0], Attempt: parts[1], EventNumber: number}, nil
}
