package tracker

import (
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Server is this instance's view of a backend server. Values are immutable.
type Server struct {
	objectstore.Instance
	// InFlight is the number of attempts in progress there that this instance started,
	// or for which it selected the server on behalf of another instance.
	InFlight int
	// consecutiveFailures counts the latest attempts in a row that failed, other
	// than for lack of capacity.
	consecutiveFailures int
	// suspectUntil is the time until which the server is suspect.
	suspectUntil clock.Millis
}

// Suspect reports whether the server is suspect because of failed attempts. Suspect
// servers get new work only when there are no others.
func (s Server) Suspect(now clock.Millis) bool {
	return now < s.suspectUntil
}

func (s Server) serves(model string) bool {
	return s.Role == objectstore.RoleEngine && slices.Contains(s.Models, model)
}
