package operator

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/recorder"
)

// OperationResponse is the response to an operation that returns no data of its own, and to every
// operation that fails.
type OperationResponse struct {
	Message  string                  `json:"message"`
	Outcome  action.OperationOutcome `json:"outcome,omitempty"`
	Findings []string                `json:"findings,omitempty"`
	Revision int64                   `json:"revision,omitempty"`
}

// ConfigView has the configuration in force and its revisions.
type ConfigView struct {
	// Config is the INI text, without keys.
	Config         string `json:"config"`
	Revision       int64  `json:"revision"`
	ConfigRevision int64  `json:"configRevision"`
}

// ConfigChange is a configuration to apply.
type ConfigChange struct {
	// File is the name of the operator's file, as findings show it.
	File   string `json:"file"`
	Config string `json:"config"`
	// Base is the revision of the configuration that the change is based on; 0 for the
	// newest.
	Base int64 `json:"base"`
}

// IssueKeyRequest requests a new key for a team.
type IssueKeyRequest struct {
	Team string `json:"team"`
}

// KeyView is a key. Secret is set only in the response that issues the key.
type KeyView struct {
	ID     string `json:"id"`
	Team   string `json:"team"`
	Secret string `json:"secret,omitempty"`
}

// Explanation has the log entries of a request.
type Explanation struct {
	Request string           `json:"request"`
	Entries []eventlog.Entry `json:"entries"`
}

// CallView is a recorded call whose outcome is unknown.
type CallView struct {
	Object string `json:"object"`
	Team   string `json:"team"`
	// Key is the caller's idempotency key.
	Key      string         `json:"key"`
	Route    string         `json:"route"`
	Request  string         `json:"request"`
	Attempt  string         `json:"attempt"`
	Instance string         `json:"instance"`
	State    recorder.State `json:"state"`
}

// CallResolution is an operator's decision on whether a call with an unknown outcome ran.
type CallResolution struct {
	Object string `json:"object"`
	Ran    bool   `json:"ran"`
}
