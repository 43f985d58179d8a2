package forwarder

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/cachetracker"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/desired"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/digest"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/exposurekeeper"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/keepermessage"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/originmessage"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/rollout"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/tunnelverdict"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Action is one output of the state machine.
type Action interface{ isAction() }

// Dispatch sends the request to a server.
type Dispatch struct {
	Request string
	// Attempt numbers the attempts of the request, from 1.
	Attempt int
	Server  string
	Address string
	// Via is the instance through which the request is sent.
	Via Hop
	// StartedAt is the server's start as it is listed.
	StartedAt int64
	// Limited reports whether the server is known to have a limit of requests, and Brittle whether
	// it is known to crash for rejections.
	Limited bool
	Brittle bool
	// Team is the team name to send to the server; empty for none.
	Team string
	// HasPrompt reports whether the request carries a prompt.
	HasPrompt bool
	// CacheSalt is the salt of the request's cached parts; empty for none.
	CacheSalt string
	// WeightsVersion is the version of the weights that the server must have; 0 if it has none, or several
	// models of which the request names none.
	WeightsVersion int64
	// FetchAddress is the address of a server from which the server can fetch prompt
	// parts; empty for none.
	FetchAddress string
	// SaveAddress is the address of the cache store to which the server sends the
	// prompt parts; empty for none.
	SaveAddress string
	// Priority is the request's priority at an engine; 0 goes first.
	Priority int
	// Timeout is the time that is left for the response, and ServerTimeout the one that is sent to
	// the server, which ends the request then.
	Timeout       clock.Millis
	ServerTimeout clock.Millis
	// SendBefore is the time from which the request must not be sent any more: what permitted
	// it may have expired. The sender then reports OutcomeExpired.
	SendBefore clock.Millis
	// LastEventID is the identifier of the event after which a stream resumes; empty
	// for a new stream.
	LastEventID string
	// SilenceLimit is the time without an event after which StreamSilent is reported; 0
	// for none, where the stream can't be resumed elsewhere.
	SilenceLimit clock.Millis
	// Alternative reports whether the attempt runs beside the current one. It forwards
	// nothing if that one sends the next part of the response first.
	Alternative bool
	// HoldsEvents reports whether the events of the current attempt wait until this alternative has
	// sent one or has ended.
	HoldsEvents bool
	// PartDelivered reports whether the caller had received a part of the stream when the
	// server was selected.
	PartDelivered bool
	// Stream reports whether events are forwarded as they arrive, and Resumable whether servers
	// continue the stream after LastEventID.
	Stream    bool
	Resumable bool
}

// CancelAttempt cancels an attempt; nothing more of its response is forwarded.
type CancelAttempt struct {
	Request string
	Attempt int
}

// ForwardResponse sends the caller the server's response to the attempt; for a stream, its
// end.
type ForwardResponse struct {
	Request string
	Attempt int
}

// Refuse sends the caller an error response of the proxy itself.
type Refuse struct {
	Request string
	Status  int
	Reason  Reason
	// RetryAfter is the delay after which the caller may retry; 0 to send none.
	RetryAfter clock.Millis
}

// AbortStream aborts a stream that can't be resumed, so that the caller can tell that
// it is incomplete.
type AbortStream struct{ Request string }

// DropRequest discards a request whose caller has disconnected.
type DropRequest struct{ Request string }

// SendDigest sends the digest to neighbors, to each with its echo.
type SendDigest struct {
	Digest     digest.Digest
	Recipients []Recipient
}

// SendToKeeper sends a message to a keeper of engines, or its reply.
type SendToKeeper struct {
	Message keepermessage.Message
	Address string
}

// SendOrigin sends a message to a keeper of the origins of streams, or its reply.
type SendOrigin struct {
	Message originmessage.Message
	Address string
}

// WatchStore starts or ends the watch of the store's objects. A watch that is running is
// started anew. Copies of an era before Era are listed again.
type WatchStore struct {
	On  bool
	Era int64
}

// FetchReplicas fetches the objects that changed from a neighbor, at its peer address.
type FetchReplicas struct{ Address string }

// CheckHealth sends a health check to a server.
type CheckHealth struct {
	Server    string
	Address   string
	StartedAt int64
	Path      string
	// BeganAt is the time of the action.
	BeganAt clock.Millis
}

// ProbePath connects to a server, without a request, to learn whether it can be reached.
type ProbePath struct {
	Server    string
	Address   string
	StartedAt int64
	Via       Hop
	// BeganAt is the time of the action.
	BeganAt clock.Millis
}

// OpenTunnel opens a connection to a server for another instance and copies bytes between the two.
type OpenTunnel struct {
	Tunnel    string
	Server    string
	StartedAt int64
	Address   string
	// Timeout is the longest time for which the tunnel is open.
	Timeout clock.Millis
	// SendBefore is the time from which the connect and the first bytes of the other instance must
	// not be sent any more: what permitted them may have expired.
	SendBefore clock.Millis
	// Limited reports whether the server is known to have a limit of requests.
	Limited bool
	// Brittle reports whether it is known to crash for rejections.
	Brittle bool
	// Probe reports whether no request will be sent.
	Probe bool
}

// RefuseTunnel refuses a request for a tunnel.
type RefuseTunnel struct {
	Tunnel  string
	Verdict tunnelverdict.Verdict
	// Referral is an instance that opens tunnels, as far as this one knows; empty for none.
	Referral string
}

// ReadCache reads the list of cached parts from a server or from the cache store.
type ReadCache struct{ Read cachetracker.ReadRequest }

// CallStore reads or writes the rollout lease in the store.
type CallStore struct{ Step rollout.Step }

// WriteVerdict writes the status of a roll-out's order if the object still has the revision.
// It must not be sent after its deadline: the instance may have been suspended since.
type WriteVerdict struct {
	Service    string
	Target     string
	Verdict    exposurekeeper.Verdict
	IfRevision int64
	Deadline   clock.Millis
}

// CallEngine sends an order or a report request to an engine.
type CallEngine struct{ Step rollout.Step }

// SetLimits applies the size and time limits of callers' requests.
type SetLimits struct{ Limits desired.Limits }

// ObserveDuration adds a duration to a histogram of the metrics.
type ObserveDuration struct {
	Histogram Histogram
	Duration  clock.Millis
}

// Histogram is the name of a histogram.
type Histogram string

// The histograms: the time from a request's arrival to its first event, to a refusal,
// to its sending after a wait for capacity,
// and to the end of a server's response, by route kind.
const (
	HistogramFirstEvent     Histogram = "firstEvent"
	HistogramRefusal        Histogram = "refusal"
	HistogramCapacityWait   Histogram = "capacityWait"
	histogramResponsePrefix Histogram = "answer."
)

// Log writes an event to the log.
type Log struct{ Entry eventlog.Entry }

func (Dispatch) isAction()        {}
func (CancelAttempt) isAction()   {}
func (ForwardResponse) isAction() {}
func (Refuse) isAction()          {}
func (AbortStream) isAction()     {}
func (DropRequest) isAction()     {}
func (SendDigest) isAction()      {}
func (SendToKeeper) isAction()    {}
func (SendOrigin) isAction()      {}
func (WatchStore) isAction()      {}
func (FetchReplicas) isAction()   {}
func (CheckHealth) isAction()     {}
func (ProbePath) isAction()       {}
func (OpenTunnel) isAction()      {}
func (RefuseTunnel) isAction()    {}
func (ReadCache) isAction()       {}
func (CallStore) isAction()       {}
func (WriteVerdict) isAction()    {}
func (CallEngine) isAction()      {}
func (SetLimits) isAction()       {}
func (ObserveDuration) isAction() {}
func (Log) isAction()             {}

// Reason is the error code of a refused request.
type Reason string

// The reasons for refusing a request.
const (
	ReasonNotReady         Reason = "notReady"
	ReasonStaleState       Reason = "stateOld"
	ReasonNoRoute          Reason = "noRoute"
	ReasonInvalidKey       Reason = "invalidKey"
	ReasonOverRate         Reason = "overRate"
	ReasonTooManyInFlight  Reason = "tooManyInFlight"
	ReasonNoServer         Reason = "noServer"
	ReasonNoCapacity       Reason = "noCapacity"
	ReasonDeadlineTooClose Reason = "cannotEndInTime"
	ReasonCrashesServers   Reason = "crashesServers"
	ReasonServerFailed     Reason = "serverFailed"
	ReasonNoRetryBudget    Reason = "noRetryBudget"
	ReasonTimeout          Reason = "timeout"
	ReasonUnknownOrigin    Reason = "unknownOrigin"
	ReasonOtherService     Reason = "otherService"
	ReasonStopping         Reason = "stopping"
	// ReasonSupersededWeights refuses a request that has not begun before the weights of its server
	// became too old.
	ReasonSupersededWeights Reason = "supersededWeights"
)
