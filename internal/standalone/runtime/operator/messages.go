package operator

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/journal"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/recorder"
)

// Message is the answer of an operation that has no other.
type Message struct {
	Message  string                  `json:"message"`
	Outcome  action.OperationOutcome `json:"outcome,omitempty"`
	Findings []string                `json:"findings,omitempty"`
	Revision int64                   `json:"revision,omitempty"`
}

// ConfigView is a configuration and its revisions.
type ConfigView struct {
	// Config is the INI text, without keys.
	Config         string `json:"config"`
	Revision       int64  `json:"revision"`
	ConfigRevision int64  `json:"configRevision"`
}

// ConfigChange is a configuration to apply.
type ConfigChange struct {
	// File names the operator's file, for findings.
	File   string `json:"file"`
	Config string `json:"config"`
	// Base is the configuration revision that was changed; 0 for the newest.
	Base int64 `json:"base"`
}

// KeyWanted asks for a key.
type KeyWanted struct {
	Team string `json:"team"`
}

// KeyView is a key in a list; Secret is set only in the answer to its issue.
type KeyView struct {
	ID     string `json:"id"`
	Team   string `json:"team"`
	Secret string `json:"secret,omitempty"`
}

// Explanation is what became of a request.
type Explanation struct {
	Request string          `json:"request"`
	Entries []journal.Entry `json:"entries"`
}

// CallView is a recorded call whose outcome is unknown.
type CallView struct {
	Object   string         `json:"object"`
	Team     string         `json:"team"`
	Key      string         `json:"key"`
	Route    string         `json:"route"`
	Request  string         `json:"request"`
	Attempt  string         `json:"attempt"`
	Instance string         `json:"instance"`
	State    recorder.State `json:"state"`
}

// CallResolution is an operator's word on a call.
type CallResolution struct {
	Object string `json:"object"`
	Ran    bool   `json:"ran"`
}
