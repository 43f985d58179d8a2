// Package retrier decides what follows a failed attempt.
//
// # Usage
//
//	decision := retrier.Decide(retrier.Attempt{Repeatable: true, Progress: retrier.Sent, Failure: retrier.ConnectionLost, Number: 1})
package retrier

// Progress is how far an attempt got.
type Progress int

// Values of Progress.
const (
	// NotSent means that the server can't have received any byte of the request.
	NotSent Progress = iota + 1
	// Sent means that the server may have received the request.
	Sent
	// Streaming means that a part of the response has been delivered to the caller.
	Streaming
)

// String returns the name of the progress for logs.
func (p Progress) String() string {
	return [...]string{"", "notSent", "sent", "streaming"}[p]
}

// Failure is the reason why an attempt failed.
type Failure int

// Values of Failure.
const (
	// DialRefused means that the connection to the server was refused.
	DialRefused Failure = iota + 1
	// ConnectionLost means that the connection broke.
	ConnectionLost
	// Timeout means that the server did not respond in time.
	Timeout
	// Busy means that the server refused the request for lack of capacity.
	Busy
	// ServerError means that the server responded with an error.
	ServerError
	// Unreachable means that the server did not respond to the dial.
	Unreachable
	// AttemptNotFound means that the server is up but no longer has the attempt.
	AttemptNotFound
	// Malformed means that the response belongs to another attempt or is corrupt.
	Malformed
)

// String returns the name of the failure for logs.
func (f Failure) String() string {
	return [...]string{"", "dial", "cut", "timeout", "busy", "serverError", "unreachable", "lost", "malformed"}[f]
}

// Attempt is a failed attempt.
type Attempt struct {
	Repeatable bool
	Progress   Progress
	Failure    Failure
	// Number counts the attempts of the request, from 1.
	Number int
	// EarlierSent reports that an earlier attempt may have reached its server.
	EarlierSent bool
}

// Decision is the reaction to a failed attempt.
type Decision int

// Values of Decision.
const (
	// RetryOtherServer means to start a new attempt at another server.
	RetryOtherServer Decision = iota + 1
	// ContinueStream means to continue the stream at another server, after the delivered
	// text. Whether to resume at the same server is decided before (router's canResume).
	ContinueStream
	// NotRun means to give up; the request certainly did not run.
	NotRun
	// GiveUp means to give up; the request may have run, and its caller may send it again.
	GiveUp
	// UnknownOutcome means not to retry, as it is not known whether the call ran.
	UnknownOutcome
)

// MaxAttempts is the maximum number of attempts for a request.
const MaxAttempts = 3

// Decide returns the reaction to the failed attempt.
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
		return ContinueStream
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
