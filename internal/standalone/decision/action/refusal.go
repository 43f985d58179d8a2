package action

import "github.com/hyssopdoor/hyssopdoor/pkg/clock"

// Code is the machine-readable reason of a refusal.
type Code string

// Values of Code.
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

// Refusal is an error response that the instance sends itself.
type Refusal struct {
	Status  int // Status is the HTTP status.
	Code    Code
	Message string
	// RetryAfter is the time after which the caller may retry; 0 when a retry is of
	// no use.
	RetryAfter clock.Millis
	// NotRun reports that the request certainly did not run.
	NotRun bool
}

// NewRefusal returns a Refusal of a request that certainly did not run.
func NewRefusal(status int, code Code, message string) Refusal {
	return Refusal{Status: status, Code: code, Message: message, NotRun: true}
}

// WithRetryAfter returns the refusal with the time after which to retry.
func (r Refusal) WithRetryAfter(delay clock.Millis) Refusal {
	r.RetryAfter = delay
	return r
}

// WithMayHaveRun returns the refusal of a request that may have run.
func (r Refusal) WithMayHaveRun() Refusal {
	r.NotRun = false
	return r
}
