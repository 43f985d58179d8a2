package orderer

import "github.com/hyssopdoor/hyssopdoor/pkg/clock"

// Step is what to do next.
type Step interface{ isStep() }

// ReadLease asks to read the lease.
type ReadLease struct{}

// WriteLease asks to make the update of the lease.
type WriteLease struct{ Update Update }

// AskReport asks an engine for its report.
type AskReport struct{ Server, Address string }

// Order asks an engine to load weights. It must not be sent after Until.
type Order struct {
	Server  string
	Address string
	Model   string
	Version int64
	Holder  string
	Fence   int64
	// Accepted is how many orders the engine has accepted; it refuses this one if it
	// has accepted another since.
	Accepted int64
	Until    clock.Millis
}

func (ReadLease) isStep() {}

func (WriteLease) isStep() {}

func (AskReport) isStep() {}

func (Order) isStep() {}

// Report is an engine's report.
type Report struct {
	// Failed tells that no usable report came.
	Failed   bool
	Weights  map[string]int64
	Busy     bool
	Accepted int64
	Born     int64
}

// Reply is an engine's answer to an order.
type Reply int

// The replies.
const (
	Accepted Reply = iota + 1
	Holds
	Refused
	// Misaddressed means that another engine has the address.
	Misaddressed
	// Unheard means that no answer came: the order may be carried out later.
	Unheard
)

// String returns the reply's name.
func (r Reply) String() string {
	return [...]string{"unknown", "accepted", "holds", "refused", "misaddressed", "unheard"}[r]
}
