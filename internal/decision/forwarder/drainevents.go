package forwarder

import "github.com/hyssopdoor/hyssopdoor/pkg/clock"

// StreamProgressed reports how many events of an attempt have been sent to the caller. It is only
// needed while the instance drains.
type StreamProgressed struct {
	Request string
	Attempt int
	Events  int
}

// StreamUnplaced reports that an event without identifier is being sent to the caller. No other
// server can continue the stream after it.
type StreamUnplaced struct {
	Request string
	Attempt int
}

// DrainRequested asks the instance to drain before it stops, at StopAt at the latest. Until ListenUntil
// it accepts connections from load balancers that have not noticed.
type DrainRequested struct {
	ListenUntil clock.Millis
	StopAt      clock.Millis
}

// DrainExpired reports that the instance stops now, so that no request can be completed.
type DrainExpired struct{}

func (StreamProgressed) isEvent() {}
func (StreamUnplaced) isEvent()   {}
func (DrainRequested) isEvent()   {}
func (DrainExpired) isEvent()     {}
