package recorder

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/digester"
)

// State is what is known of a call.
type State string

// The states of a call.
const (
	// StateAttempted means that the call may be running.
	StateAttempted State = "attempted"
	// StateDone means that the call ran and its answer is known.
	StateDone State = "done"
	// StateNotRun means that the attempt ended before any backend server could
	// have seen it; the call may be attempted again.
	StateNotRun State = "notRun"
	// StateUnknown means that nobody knows whether the call ran.
	StateUnknown State = "unknown"
)

// Prefix is the prefix of the names of all call records.
const Prefix = "calls/"

// maxBody is the longest answer that is kept for replay, in bytes.
const maxBody = 256 * 1024

// Record is the record of one call in the platform's object API.
type Record struct {
	Team        string `json:"team"`
	Key         string `json:"key"`
	Fingerprint string `json:"fingerprint"`
	// Attempt is the random identifier of the attempt that wrote the record.
	Attempt  string   `json:"attempt"`
	Instance string   `json:"instance"`
	Route    string   `json:"route"`
	Request  string   `json:"request"`
	State    State    `json:"state"`
	Response Response `json:"answer,omitzero"`
}

// Response is a call's answer as it is kept for replay.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType"`
	Body        []byte `json:"body"`
	// BodyOmitted tells that the body was too long to be kept.
	BodyOmitted bool `json:"omitted,omitempty"`
}

// ObjectName returns the name of the object that records the team's call with
// the idempotency key.
func ObjectName(team, key string) string {
	return Prefix + team + "/" + digester.Fields(team, key)
}

// DecodeRecord reads a record.
func DecodeRecord(value []byte) (Record, error) {
	var record Record
	if err := json.Unmarshal(value, &record); err != nil {
		return Record{}, errors.Wrap(err, "recorder.DecodeRecord")
	}
	return record, nil
}

// Encode returns the record as it is stored.
func (r Record) Encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic("recorder.Record.Encode: " + err.Error())
	}
	return value
}

// WithEnd returns the record in its end state.
func (r Record) WithEnd(state State, answer Response) Record {
	r.State = state
	r.Response = answer
	if len(answer.Body) > maxBody {
		r.Response.Body = nil
		r.Response.BodyOmitted = true
	}
	return r
}
