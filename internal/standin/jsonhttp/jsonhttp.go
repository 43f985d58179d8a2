// Package jsonhttp reads and writes the JSON bodies of the simulators.
//
// # Usage
//
//	if jsonhttp.ReadJSON(w, r, &faults) { server.SetFaults(faults) }
//	jsonhttp.WriteJSON(w, http.StatusOK, counts)
package jsonhttp

import (
	"encoding/json"
	"net/http"
)

// ReadJSON decodes the request's body into the value. It rejects a malformed body with
// status 400 and reports false.
func ReadJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	return true
}

// WriteJSON writes a response with the status and the JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
