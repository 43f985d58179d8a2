package forwarder

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/desired"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/digest"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/orderer"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/placer"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/roster"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/secret"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/site"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Event is one input of the state machine.
type Event interface{ isEvent() }

// Request is a caller's request, read whole. The shell keeps its bytes.
type Request struct {
	// ID is the caller's identifier of this try, or one of the shell's.
	ID     string
	Host   string
	Method string
	Path   string // Path is without the query.
	Key    secret.Secret
	// Patience is how long the caller will wait; 0 when it did not say.
	Patience clock.Millis
	// Model, Prompt, Output and Parts tell of a prompt; empty for a plain request.
	Model  string
	Prompt int64
	Output int64
	Parts  []placer.Part
	// LastEvent is the identifier of the last event that the caller has of a stream.
	LastEvent string
	// Fingerprint is the digest of caller, path and body.
	Fingerprint string
	// Spread is an even number for the division of a route between services.
	Spread uint64
}

// Arrived tells of a request.
type Arrived struct{ Request Request }

// Abandoned tells that the caller has gone.
type Abandoned struct{ Request string }

// Answering tells that the first event of a stream has been passed to the caller.
type Answering struct {
	Request string
	Attempt int
}

// Ended tells how an attempt ended.
type Ended struct {
	Request string
	Attempt int
	Outcome Outcome
	// Status is the server's, where it answered.
	Status int
	// Weights is the version that the answer names; 0 when none.
	Weights int64
	// Passed tells that events have been passed to the caller, LastEvent is the
	// identifier of the last one.
	Passed    bool
	LastEvent string
	// Detail is what the shell saw, for the log.
	Detail string
}

// Outcome is how an attempt ended.
type Outcome int

// The outcomes.
const (
	// Answered means that the answer is whole, be it a success or a failure.
	Answered Outcome = iota + 1
	// Unsent means that no byte of the request can have reached the server.
	Unsent
	// Declined means that the server said that it has not run the request.
	Declined
	// Misaddressed means that another server, or another version, is there; it has
	// not run the request.
	Misaddressed
	// Cut means that the connection ended before the answer was whole.
	Cut
	// Spoilt means that the answer is damaged or belongs to another request.
	Spoilt
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"unknown", "answered", "unsent", "declined", "misaddressed", "cut", "spoilt"}[o]
}

// notExecuted reports whether the request has certainly not run in the attempt.
func (o Outcome) notExecuted() bool {
	return o == Unsent || o == Declined || o == Misaddressed
}

// StateRead is a desired state from the store, confirmed as of At.
type StateRead struct {
	State desired.State
	At    clock.Millis
}

// StateConfirmed tells that the desired state was still the newest at At.
type StateConfirmed struct{ At clock.Millis }

// ServersListed is the whole list of servers.
type ServersListed struct{ Entries []roster.Entry }

// ServerChanged is one changed entry of the list.
type ServerChanged struct {
	Entry   roster.Entry
	Removed bool
}

// WeightsNamed tells of the newest weights of a model. Fresh tells that they have just
// been named; else that may have been long ago.
type WeightsNamed struct {
	Model   string
	Version int64
	Fresh   bool
}

// StoreFailed and StoreAnswered tell how the latest call to the store ended.
type (
	StoreFailed   struct{ Detail string }
	StoreAnswered struct{}
)

// PeersListed are the addresses of the instances in the store, by name.
type PeersListed struct{ Addresses map[string]string }

// PeerHeard is a digest of a peer.
type PeerHeard struct{ Digest digest.Digest }

// ServerChecked is the end of a health check.
type ServerChecked struct {
	Server  string
	Healthy bool
	// Refused tells that nothing listens at the server's address.
	Refused bool
}

// LeaseRead and LeaseWritten are answers of the store.
type (
	LeaseRead    struct{ Answer objectstore.Answer }
	LeaseWritten struct {
		Record orderer.Record
		Answer objectstore.Answer
	}
)

// ServerReported is an engine's report.
type ServerReported struct {
	Server string
	Report orderer.Report
}

// OrderReplied is an engine's answer to an order.
type OrderReplied struct {
	Server string
	Reply  orderer.Reply
}

// CacheRead is what a server said of its cache: all that it has, or the changes after
// Since.
type CacheRead struct {
	Server string
	// Failed tells that it said nothing usable, and Detail why.
	Failed bool
	Detail string
	All    bool
	Since  int64
	// Epoch, Next and Lost are as in cachetracker.Reading.
	Epoch   int64
	Next    int64
	Lost    bool
	Changes []CacheChange
}

// CacheChange is what a server has of a part now; 0 tokens when it has dropped it.
type CacheChange struct {
	Salt   string
	Part   string
	Tokens int64
}

// SiteRead are changed settings.
type SiteRead struct{ Site site.Site }

// Tick tells that the time asked for has come.
type Tick struct{}

// DrainAsked tells that the instance shall stop.
type DrainAsked struct{}

func (Arrived) isEvent()        {}
func (Abandoned) isEvent()      {}
func (Answering) isEvent()      {}
func (Ended) isEvent()          {}
func (StateRead) isEvent()      {}
func (StateConfirmed) isEvent() {}
func (ServersListed) isEvent()  {}
func (ServerChanged) isEvent()  {}
func (WeightsNamed) isEvent()   {}
func (StoreFailed) isEvent()    {}
func (StoreAnswered) isEvent()  {}
func (PeersListed) isEvent()    {}
func (PeerHeard) isEvent()      {}
func (ServerChecked) isEvent()  {}
func (LeaseRead) isEvent()      {}
func (LeaseWritten) isEvent()   {}
func (ServerReported) isEvent() {}
func (OrderReplied) isEvent()   {}
func (CacheRead) isEvent()      {}
func (SiteRead) isEvent()       {}
func (Tick) isEvent()           {}
func (DrainAsked) isEvent()     {}
