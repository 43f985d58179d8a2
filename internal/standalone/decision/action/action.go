// Package action defines the outputs of an instance's state machine, package router.
// Request, Attempt and Operation fields are identifiers.
//
// # Usage
//
//	for _, next := range machine.Step(now, input) {
//		switch next := next.(type) {
//		case action.Dispatch: ...
//		}
//	}
package action

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/eventids"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/recorder"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
	"github.com/hyssopdoor/hyssopdoor/pkg/collector"
)

// Action is an output of the state machine.
type Action interface{ isAction() }

// Dispatch starts an attempt at a backend server.
type Dispatch struct {
	Request string
	Attempt string
	Server  string
	Address string
	// EventIDs creates the identifiers of the stream's events.
	EventIDs eventids.Signer
	// CacheSalt separates the cached blocks of different teams, models and weights.
	CacheSalt uint64
	// Priority orders requests in an engine; lower goes first.
	Priority int
	// ResumeAfter is the number of the last received event of this attempt, after
	// which the server resumes. -1 starts the attempt.
	ResumeAfter int64
	// OperationID is set for a call that may not be repeated, so that the service can
	// deduplicate it. It is the identifier of the attempt in the call's record, not the
	// caller's idempotency key.
	OperationID string
	// FirstTokenTimeout is the timeout for the first token or the response.
	FirstTokenTimeout clock.Millis
}

// CancelRequest ends a request whose caller has disconnected, and its attempt if any.
type CancelRequest struct{ Request, Attempt string }

// CancelAttempt ends an attempt while its request continues.
type CancelAttempt struct{ Request, Attempt string }

// Refuse responds to a request with a refusal instead of a backend server's response.
type Refuse struct {
	Request string
	Refusal Refusal
}

// Respond ends a request with a complete response: that of a backend server or, if
// Replayed, the recorded one of an earlier call with the same idempotency key.
type Respond struct {
	Request  string
	Response recorder.Response
	Replayed bool
}

// EndStream ends a stream that can't continue, with the refusal as the reason.
type EndStream struct {
	Request string
	Refusal Refusal
}

// CallPlatform makes a call to the platform.
type CallPlatform struct {
	Call uint64
	Op   objectstore.Op
}

// Send sends a message to the peer named To at the address.
type Send struct {
	To      string
	Address string
	Message *peerv1.Message
}

// Log writes an entry to the log.
type Log struct{ Entry eventlog.Entry }

// FinishOperation returns the result of an operator's operation.
type FinishOperation struct {
	Operation string
	Result    OperationResult
}

// Stop reports that the instance has drained and may exit.
type Stop struct {
	// Interrupted is the number of requests that were ended because the time to drain was over.
	Interrupted int
}

func (Dispatch) isAction()        {}
func (CancelRequest) isAction()   {}
func (CancelAttempt) isAction()   {}
func (Refuse) isAction()          {}
func (Respond) isAction()         {}
func (EndStream) isAction()       {}
func (CallPlatform) isAction()    {}
func (Send) isAction()            {}
func (Log) isAction()             {}
func (FinishOperation) isAction() {}
func (Stop) isAction()            {}

// OperationResult is the result of an operator's operation.
type OperationResult struct {
	Outcome OperationOutcome
	// Revision is the configuration revision after the operation.
	Revision int64
	Message  string
	Findings []collector.Finding
	// Entries are the log entries of the request that was to be explained.
	Entries []eventlog.Entry
	// Calls are call records by object name.
	Calls map[string]recorder.Record
}

// OperationOutcome is the outcome of an operation.
type OperationOutcome string

// Values of OperationOutcome.
const (
	OperationDone     OperationOutcome = "done"
	OperationConflict OperationOutcome = "conflict"
	OperationInvalid  OperationOutcome = "invalid"
	OperationNotFound OperationOutcome = "notFound"
	OperationFailed   OperationOutcome = "failed"
	// OperationUnknown means that the change may or may not take effect.
	OperationUnknown OperationOutcome = "unknown"
)
