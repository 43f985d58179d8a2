// Package tunnelverdict names the outcomes of a request for a tunnel: a connection to a backend
// server that another instance opens, for an instance whose own connections do not get there.
//
// # Usage
//
//	response.Header.Set("Tunnel-Verdict", tunnelverdict.NoPath.String())
//	verdict := tunnelverdict.Parse(text)
package tunnelverdict

import "slices"

// Verdict is the outcome of a request for a tunnel. Unless it is Reached, no byte was sent to the
// server after the connect.
type Verdict int

// The verdicts. Refused and Unanswered are observations of the server; the others say nothing
// about it.
const (
	// None means that no tunnel was asked for.
	None Verdict = iota
	// Reached means that the connection to the server is open.
	Reached
	// Refused means that nothing listens at the server's address.
	Refused
	// Unanswered means that the connect timed out or failed otherwise.
	Unanswered
	// NoPath means that the other instance's own connections do not get to the server.
	NoPath
	// CutOff means that they get to no server at all.
	CutOff
	// Unknown means that the other instance does not know the server, as it has started.
	Unknown
	// HeldBack means that the other instance may not send to the server now.
	HeldBack
	// Full means that the other instance has too many tunnels or requests.
	Full
	// Stopping means that the other instance will stop.
	Stopping
	// Forbidden means that the other instance does not know the one that asks.
	Forbidden
	// Unavailable means that the other instance gave no verdict.
	Unavailable
)

var names = []string{"none", "reached", "refused", "unanswered", "noPath", "cutOff", "unknown", "heldBack", "full", "stopping", "forbidden", "unavailable"}

// String returns the verdict's name on the wire and in the log.
func (v Verdict) String() string { return names[v] }

// Parse returns the verdict with the name; Unavailable if there is none.
func Parse(name string) Verdict {
	if index := slices.Index(names, name); index > int(None) {
		return Verdict(index)
	}
	return Unavailable
}

// ObservesServer reports whether the verdict is an observation of a server that can't be reached.
func (v Verdict) ObservesServer() bool { return v == Refused || v == Unanswered }

// ConcernsInstance reports whether another tunnel through the same instance would fail as well,
// whatever the server.
func (v Verdict) ConcernsInstance() bool {
	return v == CutOff || v == Full || v == Stopping || v == Forbidden || v == Unavailable
}
