package action

import "github.com/hyssopdoor/hyssopdoor/pkg/clock"

// Code names the reason of a refusal to programs.
type Code string

// The codes.
const (
	CodeInvalidRequest   Code = "invalidRequest"
	CodeInvalidKey       Code = "invalidKey"
	CodeNoRoute          Code = "noRoute"
	CodeUnknownClass     Code = "unknownClass"
	CodeKeyMissing       Code = "idempotencyKeyMissing"
	CodeKeyReused        Code = "idempotencyKeyReused"
	CodeInProgress       Code = "inProgress"
	CodeOutcomeUnknown   Code = "outcomeUnknown"
	CodeAnswerNotKept    Code = "answerNotKept"
	CodeOverRate         Code = "overRate"
	CodeOverBurst        Code = "overBurst"
	CodeRightsAway       Code = "rightsUnavailable"
	CodeNoServer         Code = "noServer"
	CodeServerFailed     Code = "serverFailed"
	CodePlatformFailed   Code = "platformUnavailable"
	CodeNotReady         Code = "notReady"
	CodeTooManyRequests  Code = "tooManyInFlight"
	CodeDraining         Code = "draining"
	CodeStreamIncomplete Code = "streamIncomplete"
	CodeStreamLost       Code = "streamLost"
	CodeCrashesServers   Code = "crashesServers"
)

// Refusal is a final answer that the system itself gives.
type Refusal struct {
	Status  int // Status is the HTTP status.
	Code    Code
	Message string
	// RetryAfter is when the caller may come back; 0 when that is of no use.
	RetryAfter clock.Millis
	// NotRun tells that certainly nothing ran.
	NotRun bool
}

// Refused returns a Refusal of a request that certainly did not run.
func Refused(status int, code Code, message string) Refusal {
	return Refusal{Status: status, Code: code, Message: message, NotRun: true}
}

// WithRetryAfter returns the refusal with the time to come back.
func (r Refusal) WithRetryAfter(span clock.Millis) Refusal {
	r.RetryAfter = span
	return r
}

// WithPossiblyRun returns the refusal without the word that nothing ran.
func (r Refusal) WithPossiblyRun() Refusal {
	r.NotRun = false
	return r
}
