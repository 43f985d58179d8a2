package recorder

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/hasher"
)

// State is the known state of a call.
type State string

// The states of a call.
const (
	// StateAttempted means that the call may be running.
	StateAttempted State = "attempted"
	// StateDone means that the call ran and its response is known.
	StateDone State = "done"
	// StateNotRun means that the attempt ended before any backend server could
	// have received it; the call may be attempted again.
	StateNotRun State = "notRun"
	// StateUnknown means that it is not known whether the call ran.
	StateUnknown State = "unknown"
)

// Prefix is the name prefix of all call records.
const Prefix = "calls/"

// maxBodyBytes is the maximum body size of a response that is kept for replay.
const maxBodyBytes = 256 * 1024

// Record is the stored record of one call.
type Record struct {
	Team string `json:"team"`
	// Key is the caller's idempotency key.
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

// Response is the response of a call, as kept for replay.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType"`
	Body        []byte `json:"body"`
	// BodyOmitted reports that the body exceeded maxBodyBytes and was not kept.
	BodyOmitted bool `json:"omitted,omitempty"`
}

// ObjectName returns the name of the object that stores the record of the team's
// call with the idempotency key.
func ObjectName(team, key string) string {
	return Prefix + team + "/" + hasher.Fields(team, key)
}

// DecodeRecord decodes a stored record.
func DecodeRecord(value []byte) (Record, error) {
	var record Record
	if err := json.Unmarshal(value, &record); err != nil {
		return Record{}, errors.Wrap(err, "recorder.DecodeRecord")
	}
	return record, nil
}

// Encode returns the record in its stored form.
func (r Record) Encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic("recorder.Record.Encode: " + err.Error())
	}
	return value
}

// WithEnd returns the record with its end state and response.
func (r Record) WithEnd(state State, response Response) Record {
	r.State = state
	r.Response = response
	if len(response.Body) > maxBodyBytes {
		r.Response.Body = nil
		r.Response.BodyOmitted = true
	}
	return r
}
