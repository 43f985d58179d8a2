package orderer

import "github.com/hyssopdoor/hyssopdoor/pkg/clock"

// Step is an action for the caller to perform.
type Step interface{ isStep() }

// ReadLease reads the lease from the store.
type ReadLease struct{}

// WriteLease writes an update of the lease to the store.
type WriteLease struct{ Update Update }

// AskReport requests an engine's report.
type AskReport struct{ Server, Address string }

// Order orders an engine to load weights. It must not be sent after its deadline.
type Order struct {
	Server  string
	Address string
	Model   string
	Version int64
	Holder  string
	Fence   int64
	// Accepted is the number of orders that the engine had accepted before. The engine
	// refuses this order if it has accepted another one since.
	Accepted int64
	Until    clock.Millis
}

func (ReadLease) isStep() {}

func (WriteLease) isStep() {}

func (AskReport) isStep() {}

func (Order) isStep() {}

// Report is an engine's report.
type Report struct {
	// Failed is set if no valid report was received.
	Failed bool
	// Weights are the versions of the loaded weights by model.
	Weights map[string]int64
	// Busy is set while the engine carries out an order.
	Busy bool
	// Accepted counts the orders that the engine has accepted since its start.
	Accepted int64
	// Born is the time of the engine's start in Unix milliseconds; 0 if unknown.
	Born int64
}

// Reply is the outcome of an order.
type Reply int

// The outcomes of an order.
const (
	// Accepted means that the engine loads the weights.
	Accepted Reply = iota + 1
	// Holds means that the engine has the weights already.
	Holds
	// Refused means that the order was not sent, or that the engine did not accept it.
	Refused
	// Misaddressed means that the order did not reach the engine: another engine has
	// the address, or none.
	Misaddressed
	// Unheard means that no usable response was received. The engine may still carry
	// out the order later.
	Unheard
)

// String returns the outcome's name.
func (r Reply) String() string {
	return [...]string{"unknown", "accepted", "holds", "refused", "misaddressed", "unheard"}[r]
}
