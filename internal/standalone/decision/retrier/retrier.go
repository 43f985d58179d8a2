// Package retrier has the one table that tells what follows a failed attempt.
//
// # Usage
//
//	verdict := retrier.Decide(retrier.Attempt{Repeatable: true, Reach: retrier.Sent, Failure: retrier.Cut, Number: 1})
package retrier

// Reach is how far an attempt got.
type Reach int

// The reaches.
const (
	// NotSent means that no byte of the request can have reached the server.
	NotSent Reach = iota + 1
	// Sent means that the server may have the request.
	Sent
	// Streaming means that part of the answer has been passed to the caller.
	Streaming
)

// String returns the reach's name.
func (r Reach) String() string {
	return [...]string{"", "notSent", "sent", "streaming"}[r]
}

// Failure is what ended an attempt.
type Failure int

// The failures.
const (
	// Dial means that the server's instance refused the connection.
	Dial Failure = iota + 1
	// Cut means that the connection broke.
	Cut
	// Timeout means that the server did not answer in time.
	Timeout
	// Busy means that the server refused for want of capacity.
	Busy
	// ServerError means that the server answered with an error of its own.
	ServerError
	// Unreachable means that the server's instance gave no answer to the dialling.
	Unreachable
	// Lost means that the server runs, but no longer has the attempt.
	Lost
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
	Reach      Reach
	Failure    Failure
	// Number counts the attempts of the request, from 1.
	Number int
	// EarlierSent tells that an earlier attempt may have reached its server.
	EarlierSent bool
}

// Verdict is what follows.
type Verdict int

// The verdicts.
const (
	// Elsewhere means a new attempt at another server.
	Elsewhere Verdict = iota + 1
	// Resume means to go on from the text already passed, the same server first.
	Resume
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
func Decide(attempt Attempt) Verdict {
	if !attempt.Repeatable && (attempt.Reach != NotSent || attempt.EarlierSent) {
		return UnknownOutcome
	}
	if attempt.Reach == NotSent {
		return decideNotSent(attempt)
	}
	if attempt.Number >= MaxAttempts {
		return GiveUp
	}
	if attempt.Reach == Streaming {
		return Resume
	}
	return Elsewhere
}

func decideNotSent(attempt Attempt) Verdict {
	switch {
	case attempt.Number < MaxAttempts:
		return Elsewhere
	case attempt.EarlierSent:
		return GiveUp
	default:
		return NotRun
	}
}
