package action

import "github.com/hyssopdoor/hyssopdoor/pkg/clock"

// Code names the reason of a refusal to programs.
type Code string

// The codes.
const (
	CodeInvalidRequest        Code = "invalidRequest"
	CodeInvalidKey            Code = "invalidKey"
	CodeNoRoute               Code = "noRoute"
	CodeUnknownClass          Code = "unknownClass"
	CodeIdempotencyKeyMissing Code = "idempotencyKeyMissing"
	CodeIdempotencyKeyReused  Code = "idempotencyKeyReused"
	CodeInProgress            Code = "inProgress"
	CodeOutcomeUnknown        Code = "outcomeUnknown"
	CodeResponseNotKept       Code = "answerNotKept"
	CodeOverRate              Code = "overRate"
	CodeOverBurst             Code = "overBurst"
	CodeQuotaUnavailable      Code = "rightsUnavailable"
	CodeNoServer              Code = "noServer"
	CodeServerFailed          Code = "serverFailed"
	CodePlatformFailed        Code = "platformUnavailable"
	CodeNotReady              Code = "notReady"
	CodeTooManyInFlight       Code = "tooManyInFlight"
	CodeDraining              Code = "draining"
	CodeStreamIncomplete      Code = "streamIncomplete"
	CodeStreamLost            Code = "streamLost"
	CodeCrashesServers        Code = "crashesServers"
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

// NewRefusal returns a Refusal of a request that certainly did not run.
func NewRefusal(status int, code Code, message string) Refusal {
	return Refusal{Status: status, Code: code, Message: message, NotRun: true}
}

// WithRetryAfter returns the refusal with the time to come back.
func (r Refusal) WithRetryAfter(span clock.Millis) Refusal {
	r.RetryAfter = span
	return r
}

// WithMayHaveRun returns the refusal without the word that nothing ran.
func (r Refusal) WithMayHaveRun() Refusal {
	r.NotRun = false
	return r
}
