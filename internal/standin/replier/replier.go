// Package replier reads and writes the JSON bodies of the stand-ins.
//
// # Usage
//
//	if replier.Read(w, r, &faults) { server.SetFaults(faults) }
//	replier.Write(w, http.StatusOK, counts)
package replier

import (
	"encoding/json"
	"net/http"
)

// Read reads the request's body into the value. It answers a malformed one and
// reports false.
func Read(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	return true
}

// Write answers with the status and the body.
func Write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
