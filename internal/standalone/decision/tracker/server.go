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
	// consecutiveFailures counts the latest attempts in a row that did not reach
	// the server.
	consecutiveFailures int
	// suspectUntil is the end of the time in which the server gets no new work.
	suspectUntil clock.Millis
}

// Suspect reports whether the server gets no new work because of failed attempts.
func (s Server) Suspect(now clock.Millis) bool {
	return now < s.suspectUntil
}

func (s Server) serves(model string) bool {
	return s.Role == objectstore.RoleEngine && slices.Contains(s.Models, model)
}
