// Package event defines the inputs of an instance's state machine, package router.
// Request, Attempt and Operation fields are identifiers.
//
// # Usage
//
//	actions := machine.Step(now, event.Tick{})
package event

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/secret"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/config"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/retrier"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Event is an input of the state machine.
type Event interface{ isEvent() }

// Started is the first event of an instance.
type Started struct{}

// Tick reports that the time requested by the state machine has come.
type Tick struct{}

// RequestArrived reports a caller's request whose body was read completely.
type RequestArrived struct {
	Request string
	Key     secret.Secret
	// Class is the class that the caller requested, which selects among the matching
	// routes; empty for any.
	Class string
	// Model is the model of a model request; empty for a service request.
	Model string
	// Service, Method and Path are those of a service request.
	Service string
	Method  string
	Path    string
	// PromptTokens and MaxTokens are in tokens.
	PromptTokens int64
	MaxTokens    int64
	// Chain is the hash chain of the prompt's prefixes, as made by chunker.Chain.
	Chain []uint64
	// LastEventID is the identifier of the last event that the caller received of a
	// stream that it wants to resume; empty for a new stream.
	LastEventID string
	// IdempotencyKey identifies a call that must not be repeated.
	IdempotencyKey string
	// Fingerprint is the digest of the request's content.
	Fingerprint string
}

// CallerDisconnected reports that the caller has closed the connection.
type CallerDisconnected struct{ Request string }

// FirstToken reports that the response to an attempt has begun.
type FirstToken struct{ Request, Attempt string }

// StreamProgressed reports how many events of an attempt have been received so far.
type StreamProgressed struct {
	Request string
	Attempt string
	Events  int
}

// AttemptFailed reports that an attempt ended without a complete response.
type AttemptFailed struct {
	Request  string
	Attempt  string
	Progress retrier.Progress
	Failure  retrier.Failure
	// DeliveredTokens is the number of tokens delivered to the caller.
	DeliveredTokens int64
	// LastEventNumber is the number of the attempt's last received event.
	LastEventNumber int64
}

// AttemptCompleted reports that an attempt ended with a complete response.
type AttemptCompleted struct {
	Request string
	Attempt string
	// Status, ContentType and Body are the response. A completion with status 200 has
	// only a status: its text was passed on chunk by chunk.
	Status      int
	ContentType string
	Body        []byte
	// UsedTokens is the number of tokens that the request used, and CachedTokens how
	// many of its prompt the engine had cached; -1 when the engine did not report it.
	UsedTokens   int64
	CachedTokens int64
}

// PlatformResponded is the response to a call to the platform.
type PlatformResponded struct {
	Call     uint64
	Response objectstore.Response
}

// PeerMessage is a message from a peer.
type PeerMessage struct {
	From    string
	Message *peerv1.Message
}

// ConfigSubmitted is an operator's request to apply a configuration.
type ConfigSubmitted struct {
	Operation string
	Config    config.Config
	// BaseRevision is the configuration revision that the operator edited; 0 for the
	// one in force when the submission is processed.
	BaseRevision int64
}

// KeyIssueRequested is an operator's request to issue a key.
type KeyIssueRequested struct {
	Operation string
	ID        string
	Team      string
	Secret    secret.Secret
}

// KeyWithdrawalRequested is an operator's request to withdraw a key.
type KeyWithdrawalRequested struct {
	Operation string
	ID        string
}

// CallListRequested is an operator's request for the recorded calls whose outcome is
// unknown.
type CallListRequested struct{ Operation string }

// CallResolutionSubmitted is an operator's statement on a call whose outcome is unknown.
type CallResolutionSubmitted struct {
	Operation string
	// Object is the name of the object that stores the call's record.
	Object string
	// Ran reports whether the call ran.
	Ran bool
}

// ExplanationRequested is an operator's request for the log entries of a caller's
// request.
type ExplanationRequested struct {
	Operation string
	Request   string
}

// DrainRequested requests that the instance drains and stops.
type DrainRequested struct {
	// Timeout is the time until the process ends.
	Timeout clock.Millis
}

// CallersGone reports that a draining instance has no connections of callers any more.
type CallersGone struct{}

func (Started) isEvent()                 {}
func (Tick) isEvent()                    {}
func (RequestArrived) isEvent()          {}
func (CallerDisconnected) isEvent()      {}
func (FirstToken) isEvent()              {}
func (StreamProgressed) isEvent()        {}
func (AttemptFailed) isEvent()           {}
func (AttemptCompleted) isEvent()        {}
func (PlatformResponded) isEvent()       {}
func (PeerMessage) isEvent()             {}
func (ConfigSubmitted) isEvent()         {}
func (KeyIssueRequested) isEvent()       {}
func (KeyWithdrawalRequested) isEvent()  {}
func (CallListRequested) isEvent()       {}
func (CallResolutionSubmitted) isEvent() {}
func (ExplanationRequested) isEvent()    {}
func (CallersGone) isEvent()             {}
func (DrainRequested) isEvent()          {}
