package rollout

import "github.com/hyssopdoor/hyssopdoor/pkg/clock"

// Step is an action for the caller to perform.
type Step interface{ isStep() }

// ReadLease reads the lease from the store.
type ReadLease struct{}

// WriteLease writes an update of the lease to the store.
type WriteLease struct{ Update Update }

// RequestReport requests an engine's report.
type RequestReport struct {
	Server  string
	Address string
	// StartedAt is the engine's start as it is listed.
	StartedAt int64
}

// Order orders an engine to load weights. It must not be sent after its deadline.
type Order struct {
	Server  string
	Address string
	// StartedAt is the engine's start as it is listed.
	StartedAt int64
	Model     string
	Version   int64
	Holder    string
	Fence     int64
	// AcceptedOrders is the number of orders that the engine had accepted before. The
	// engine refuses this order if it has accepted another one since.
	AcceptedOrders int64
	Deadline       clock.Millis
}

func (ReadLease) isStep() {}

func (WriteLease) isStep() {}

func (RequestReport) isStep() {}

func (Order) isStep() {}

// Report is an engine's report.
type Report struct {
	// Failed is set if no valid report was received, Unreachable as well if the request was
	// not sent or another server responded, and Gone as well if the connection was refused
	// or another server responded.
	Failed      bool
	Unreachable bool
	Gone        bool
	// WeightVersions are the versions of the loaded weights by model.
	WeightVersions map[string]int64
	// Busy is set while the engine carries out an order.
	Busy bool
	// AcceptedOrders counts the orders that the engine has accepted since its start.
	AcceptedOrders int64
	// StartedAt is the time of the engine's start in Unix milliseconds; 0 if unknown.
	StartedAt int64
}

// OrderOutcome is the outcome of an order.
type OrderOutcome int

// The outcomes of an order.
const (
	// Accepted means that the engine loads the weights.
	Accepted OrderOutcome = iota + 1
	// AlreadyLoaded means that the engine has the weights already.
	AlreadyLoaded
	// Refused means that the order was not sent, or that the engine did not accept it.
	Refused
	// Misdirected means that the order did not reach the engine: another engine has
	// the address, or none.
	Misdirected
	// NoResponse means that no usable response was received. The engine may still carry
	// out the order later.
	NoResponse
)

// String returns the outcome's name.
func (o OrderOutcome) String() string {
	return [...]string{"unknown", "accepted", "holds", "refused", "misaddressed", "unheard"}[o]
}
