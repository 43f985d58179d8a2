// Package retrier has the one table that tells what follows a failed attempt.
//
// # Usage
//
//	verdict := retrier.Decide(retrier.Attempt{Repeatable: true, Reach: retrier.Sent, Failure: retrier.Cut, Number: 1})
package retrier

// Progress is how far an attempt got.
type Progress int

// The reaches.
const (
	// NotSent means that no byte of the request can have reached the server.
	NotSent Progress = iota + 1
	// Sent means that the server may have the request.
	Sent
	// Streaming means that part of the answer has been passed to the caller.
	Streaming
)

// String returns the reach's name.
func (r Progress) String() string {
	return [...]string{"", "notSent", "sent", "streaming"}[r]
}

// Failure is what ended an attempt.
type Failure int

// The failures.
const (
	// DialRefused means that the server's instance refused the connection.
	DialRefused Failure = iota + 1
	// ConnectionLost means that the connection broke.
	ConnectionLost
	// Timeout means that the server did not answer in time.
	Timeout
	// Busy means that the server refused for want of capacity.
	Busy
	// ServerError means that the server answered with an error of its own.
	ServerError
	// Unreachable means that the server's instance gave no answer to the dialling.
	Unreachable
	// AttemptNotFound means that the server runs, but no longer has the attempt.
	AttemptNotFound
	// Malformed means that the answer belongs to another attempt or is damaged.
	Malformed
)

// String returns the failure's name.
func (f Failure) String() string {
	return [...]string{"", "dial", "cut", "timeout", "busy", "serverError", "unreachable", "lost", "malformed"}[f]
}

// Attempt is an attempt that has failed.
type Attempt struct {
	Repeatable bool
	Progress   Progress
	Failure    Failure
	// Number counts the attempts of the request, from 1.
	Number int
	// EarlierSent tells that an earlier attempt may have reached its server.
	EarlierSent bool
}

// Decision is what follows.
type Decision int

// The verdicts.
const (
	// RetryOtherServer means a new attempt at another server.
	RetryOtherServer Decision = iota + 1
	// ResumeStream means to go on from the text already passed, the same server first.
	ResumeStream
	// NotRun means to give up; it is certain that nothing ran.
	NotRun
	// GiveUp means to give up a request that may be repeated by its caller.
	GiveUp
	// UnknownOutcome means that nobody knows whether the call ran, and that it is
	// not tried again.
	UnknownOutcome
)

// MaxAttempts bounds the attempts of one request.
const MaxAttempts = 3

// Decide returns what follows the failed attempt.
func Decide(attempt Attempt) Decision {
	if !attempt.Repeatable && (attempt.Progress != NotSent || attempt.EarlierSent) {
		return UnknownOutcome
	}
	if attempt.Progress == NotSent {
		return decideNotSent(attempt)
	}
	if attempt.Number >= MaxAttempts {
		return GiveUp
	}
	if attempt.Progress == Streaming {
		return ResumeStream
	}
	return RetryOtherServer
}

func decideNotSent(attempt Attempt) Decision {
	switch {
	case attempt.Number < MaxAttempts:
		return RetryOtherServer
	case attempt.EarlierSent:
		return GiveUp
	default:
		return NotRun
	}
}
