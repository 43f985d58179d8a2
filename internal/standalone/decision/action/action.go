// Package action has what an instance does: the outputs of its state machine,
// package router.
//
// # Usage
//
//	for _, next := range machine.Step(now, happened) {
//		switch next := next.(type) {
//		case action.Dispatch: ...
//		}
//	}
package action

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/journal"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/recorder"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/stamper"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
	"github.com/hyssopdoor/hyssopdoor/pkg/collector"
)

// Action is one output of the state machine.
type Action interface{ isAction() }

// Dispatch begins an attempt at a backend server.
type Dispatch struct {
	Request string
	Attempt string
	Server  string
	Address string
	// EventIDs makes the identifiers of the stream's events.
	EventIDs stamper.Signer
	// CacheSalt keeps cached blocks of different teams and weights apart.
	CacheSalt uint64
	// Priority orders requests in an engine; lower goes first.
	Priority int
	// ResumeAfter is the number of the last event of this attempt that came; the
	// server shall go on after it. -1 begins the attempt.
	ResumeAfter int64
	// IdempotencyKey is the idempotency key for a service that understands it.
	IdempotencyKey string
	// FirstTokenTimeout bounds the wait for the first token or the answer.
	FirstTokenTimeout clock.Millis
}

// CancelRequest ends a request whose caller has gone, and its attempt if there is one.
type CancelRequest struct{ Request, Attempt string }

// CancelAttempt ends an attempt whose request goes on.
type CancelAttempt struct{ Request, Attempt string }

// Refuse gives a request its final answer without any from a backend server.
type Refuse struct {
	Request string
	Refusal Refusal
}

// Respond gives a service request its answer.
type Respond struct {
	Request  string
	Response recorder.Response
	Replayed bool
}

// EndStream ends a stream that can't go on, with the stated reason.
type EndStream struct {
	Request string
	Refusal Refusal
}

// CallPlatform makes a call to the platform.
type CallPlatform struct {
	Call uint64
	Op   objectstore.Op
}

// Send sends a message to a peer.
type Send struct {
	To      string
	Address string
	Message *peerv1.Message
}

// Log writes an event to the log.
type Log struct{ Entry journal.Entry }

// FinishOperation gives an operator's operation its result.
type FinishOperation struct {
	Operation string
	Result    OperationResult
}

// Stop tells that the instance has drained and may end.
type Stop struct{}

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

// OperationResult is how an operator's operation ended.
type OperationResult struct {
	Outcome OperationOutcome
	// Revision is the configuration revision after the operation.
	Revision int64
	Message  string
	Findings []collector.Finding
	// Entries explain a request.
	Entries []journal.Entry
	// Calls are recorded calls by the names of their objects.
	Calls map[string]recorder.Record
}

// OperationOutcome is how an operation ended.
type OperationOutcome string

// The outcomes of operations.
const (
	OperationDone     OperationOutcome = "done"
	OperationConflict OperationOutcome = "conflict"
	OperationInvalid  OperationOutcome = "invalid"
	OperationNotFound OperationOutcome = "notFound"
	OperationFailed   OperationOutcome = "failed"
	// OperationUnknown means that the change may or may not take effect.
	OperationUnknown OperationOutcome = "unknown"
)
