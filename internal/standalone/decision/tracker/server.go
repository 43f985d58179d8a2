package tracker

import (
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Server is a backend server as this instance sees it. Values are immutable.
type Server struct {
	objectstore.Instance
	// InFlight is the number of attempts that this instance has running there.
	InFlight int
	// failures counts the attempts in a row that could not reach the server.
	failures int
	// suspectUntil is until when the server gets no new work.
	suspectUntil clock.Millis
}

// Suspect reports whether the server gets no new work because attempts failed.
func (s Server) Suspect(now clock.Millis) bool {
	return now < s.suspectUntil
}

func (s Server) serves(model string) bool {
	return s.Role == objectstore.RoleEngine && slices.Contains(s.Models, model)
}
