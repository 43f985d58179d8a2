// Package event has what can happen to an instance: the inputs of its state
// machine, package router.
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
)

// Event is one input of the state machine.
type Event interface{ isEvent() }

// Started is the first event of an instance.
type Started struct{}

// Tick tells that the time asked for has come.
type Tick struct{}

// RequestArrived is a caller's request, read whole.
type RequestArrived struct {
	Request string
	Key     secret.Secret
	// Class is the class that the caller asked for; empty for the route's.
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
	// Chain is the content hashes of the prompt's prefixes.
	Chain []uint64
	// LastEventID is the identifier of the last event that came of a stream which
	// the caller wants to go on; empty for a new one.
	LastEventID string
	// IdempotencyKey names a call that may not be repeated.
	IdempotencyKey string
	// Fingerprint is the digest of what the request asks for.
	Fingerprint string
}

// CallerDisconnected tells that the caller has gone.
type CallerDisconnected struct{ Request string }

// FirstToken tells that an attempt has begun to answer.
type FirstToken struct{ Request, Attempt string }

// AttemptFailed tells that an attempt has ended without a whole answer.
type AttemptFailed struct {
	Request  string
	Attempt  string
	Progress retrier.Progress
	Failure  retrier.Failure
	// DeliveredTokens is the number of tokens passed to the caller.
	DeliveredTokens int64
	// LastEventNumber is the number of the attempt's last event that came.
	LastEventNumber int64
}

// AttemptCompleted tells that an attempt has ended with a whole answer.
type AttemptCompleted struct {
	Request string
	Attempt string
	// Status, ContentType and Body are a service's answer; a model's answer has
	// been passed on by then and has only a status.
	Status      int
	ContentType string
	Body        []byte
	// UsedTokens is what the request used, in tokens, and CachedTokens what of its
	// prompt the engine had cached; -1 when it did not say.
	UsedTokens   int64
	CachedTokens int64
}

// PlatformResponded is the answer to a call to the platform.
type PlatformResponded struct {
	Call     uint64
	Response objectstore.Response
}

// PeerMessage is a message from a peer.
type PeerMessage struct {
	From    string
	Message *peerv1.Message
}

// ConfigSubmitted is an operator's new configuration.
type ConfigSubmitted struct {
	Operation string
	Config    config.Config
	// BaseRevision is the configuration revision that the operator changed; 0 for the
	// one in force when the submission is read.
	BaseRevision int64
}

// KeyIssueRequested is an operator's new key.
type KeyIssueRequested struct {
	Operation string
	ID        string
	Team      string
	Secret    secret.Secret
}

// KeyWithdrawalRequested is an operator's withdrawal of a key.
type KeyWithdrawalRequested struct {
	Operation string
	ID        string
}

// CallListRequested asks for the recorded calls whose outcome is unknown.
type CallListRequested struct{ Operation string }

// CallResolutionSubmitted is an operator's word on a call whose outcome is unknown.
type CallResolutionSubmitted struct {
	Operation string
	// Object is the name of the call's record.
	Object string
	// Ran tells whether the call ran.
	Ran bool
}

// ExplanationRequested is an operator's question about a request.
type ExplanationRequested struct {
	Operation string
	Request   string
}

// DrainRequested tells that the instance shall stop.
type DrainRequested struct{}

func (Started) isEvent()                 {}
func (Tick) isEvent()                    {}
func (RequestArrived) isEvent()          {}
func (CallerDisconnected) isEvent()      {}
func (FirstToken) isEvent()              {}
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
func (DrainRequested) isEvent()          {}
