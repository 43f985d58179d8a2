package forwarder

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/cachetracker"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/desired"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/digest"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/journal"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/orderer"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Action is one output of the state machine.
type Action interface{ isAction() }

// Dispatch sends the request to a server.
type Dispatch struct {
	Request string
	// Attempt counts the sendings of the request, from 1.
	Attempt int
	Server  string
	Address string
	// Team is the name that the server is told; empty for none.
	Team string
	// Model tells that the request carries a prompt; Salt and Weights are then the
	// salt of cached parts and the version that the server must have.
	Model   bool
	Salt    string
	Weights int64
	// Source is the address of a server from which the server can fetch parts of the
	// prompt; empty for none.
	Source string
	// Save is the address of the store to which the server shall send the parts of the
	// prompt; empty for none.
	Save string
	// Rank orders requests in an engine; 0 goes first.
	Rank int
	// Left is how long the server may take.
	Left clock.Millis
	// LastEvent is the event after which a stream goes on; empty for a new one.
	LastEvent string
	// Gap is the longest pause between two events after which the attempt counts as cut;
	// 0 for no bound, where the stream can't go on elsewhere.
	Gap clock.Millis
	// Stream tells that the answer's events are passed on as they come.
	Stream bool
}

// CancelAttempt ends the sending of an attempt; nothing of it is passed on any more.
type CancelAttempt struct {
	Request string
	Attempt int
}

// Pass gives the caller the server's answer of the current attempt; of a stream,
// its end.
type Pass struct{ Request string }

// Refuse gives the caller the system's own final answer.
type Refuse struct {
	Request string
	Status  int
	Reason  Reason
	// RetryAfter is when the caller may come back; 0 says nothing of it.
	RetryAfter clock.Millis
}

// Break ends a stream that can't go on, so that the caller sees that it is not
// whole.
type Break struct{ Request string }

// Drop forgets a request whose caller has gone.
type Drop struct{ Request string }

// Tell sends the digest to the addresses.
type Tell struct {
	Digest digest.Digest
	To     []string
}

// Check asks a server for its health.
type Check struct {
	Server  string
	Address string
	Path    string
}

// ReadCache asks a server, or the store of kept parts, what it has cached.
type ReadCache struct{ Read cachetracker.Read }

// AskStore makes the lease's call to the store.
type AskStore struct{ Step orderer.Step }

// AskEngine makes a call to an engine.
type AskEngine struct{ Step orderer.Step }

// SetLimits puts the limits of callers' requests in force.
type SetLimits struct{ Limits desired.Limits }

// Measure adds a span to a histogram of the metrics.
type Measure struct {
	What Histogram
	Span clock.Millis
}

// Histogram names a histogram.
type Histogram string

// The histograms: from a request's arrival to its first event, to the end of a server's
// answer by kind, and to a refusal.
const (
	HistogramFirstEvent     Histogram = "firstEvent"
	HistogramRefusal        Histogram = "refusal"
	histogramResponsePrefix Histogram = "answer."
)

// Log writes an event to the log.
type Log struct{ Entry journal.Entry }

func (Dispatch) isAction()      {}
func (CancelAttempt) isAction() {}
func (Pass) isAction()          {}
func (Refuse) isAction()        {}
func (Break) isAction()         {}
func (Drop) isAction()          {}
func (Tell) isAction()          {}
func (Check) isAction()         {}
func (ReadCache) isAction()     {}
func (AskStore) isAction()      {}
func (AskEngine) isAction()     {}
func (SetLimits) isAction()     {}
func (Measure) isAction()       {}
func (Log) isAction()           {}

// Reason names why a request was refused.
type Reason string

// The reasons.
const (
	ReasonNotReady         Reason = "notReady"
	ReasonStaleState       Reason = "stateOld"
	ReasonNoRoute          Reason = "noRoute"
	ReasonInvalidKey       Reason = "invalidKey"
	ReasonOverRate         Reason = "overRate"
	ReasonBusy             Reason = "tooManyInFlight"
	ReasonNoServer         Reason = "noServer"
	ReasonDeadlineTooClose Reason = "cannotEndInTime"
	ReasonCrashesServers   Reason = "crashesServers"
	ReasonServerFailed     Reason = "serverFailed"
	ReasonNoRetryBudget    Reason = "noRetryBudget"
	ReasonTimeout          Reason = "timeout"
)
