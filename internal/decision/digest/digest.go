// Package digest defines the datagram in which an instance sends its state, and that of the
// instances whose states it passes on, to a neighbor several times a second. Most fields
// are whole values rather than changes, so that a lost datagram only delays them; the
// others are repeated in several digests.
//
// Teams and servers are identified by the hashes of their names, which are shorter.
//
// # Usage
//
//	message := digest.Digest{Name: "edge-1", Incarnation: digest.ID(incarnation), Sequence: 1, Scope: digest.Subtree}
package digest

import (
	"maps"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/cachetracker"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/exposurekeeper"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/limitsharer"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/originkeeper"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/partquarantine"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/rollout"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Scope is the set of instances that a digest covers.
type Scope int

// The scopes.
const (
	// Subtree covers the sender and the instances below it.
	Subtree Scope = iota + 1
	// All covers all instances that the sender knows of.
	All
)

// ID returns the identifier of a name in a digest.
func ID(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// Echo identifies the receiver's latest digest that the sender of a digest had received
// before. The zero Echo stands for none.
type Echo struct {
	Incarnation uint32
	Sequence    uint64
}

// Digest is the state of one instance, or of several, as a neighbor receives it.
type Digest struct {
	Name    string
	Domain  string
	Address string
	// Incarnation differs for each start of the instance; Sequence grows with each
	// digest.
	Incarnation uint32
	Sequence    uint64
	Scope       Scope
	Leaving     bool
	// StoreDown reports whether the sender can't reach the store.
	StoreDown bool
	// StoreEra is the highest era of the store that the sender knows; 0 for none.
	// StoreEraAge is the time since it is known to have begun.
	StoreEra    int64
	StoreEraAge clock.Millis
	// Top reports whether the sender acts at the top level. Probe reports whether it
	// only asks whether the receiver could be its upstream.
	Top   bool
	Probe bool
	Echo  Echo

	// Members is the number of instances that the digest covers; MemberIDs are those in
	// the sender's domain.
	Members   int
	MemberIDs []uint32
	// Admitted is the number of tokens admitted since the sender's start, by team;
	// BucketLevels are the levels of the teams' buckets in tokens.
	Admitted     map[uint32]int64
	BucketLevels map[uint32]int64
	// Loads are the number of requests, the prompt tokens to prefill and the tokens
	// held in memory, by server. WithLoads reports whether the digest contains them.
	WithLoads bool
	Loads     map[uint32][3]int64
	// SentParts are the keys and tokens of recently sent prompt parts, by server.
	SentParts map[uint32][][2]uint64
	// CacheDeltas are changes of servers' caches.
	CacheDeltas []CacheDelta
	// UnreachableServers are the servers that instances of the domain can't reach;
	// RecoveredServers are those that one could reach again.
	UnreachableServers []string
	RecoveredServers   []string
	// LeavingServers are the servers whose responses said that they leave.
	LeavingServers []LeavingServer
	Orders         []Orders
	// Lease is the latest known observation of the rollout lease.
	Lease           rollout.Observation
	ReportedWeights []ReportedWeights
	// WeightsAges are the times since versions of weights were published, by model and
	// version, where an instance has observed the publication.
	WeightsAges map[string]map[int64]clock.Millis
	// WeightsBounds are the longest possible times of versions of which the sender knows no
	// instance that has observed the publication.
	WeightsBounds map[string]map[int64]clock.Millis
	// EarlierAges and EarlierBounds are the times as builds without the two fields above state them
	// and read them. What these builds state may be less than the time since the publication: they
	// count from when they learned of a version.
	EarlierAges   map[string]map[int64]clock.Millis
	EarlierBounds map[string]map[int64]clock.Millis
	// CrashedServers are the servers that crashed, by the fingerprint of a request that
	// ran there.
	CrashedServers map[string][]string
	// AccusedParts are the parts of prompts that may crash engines.
	AccusedParts []partquarantine.Evidence
	// ServerLimits are the limits of requests that servers named.
	ServerLimits []limitsharer.Notice
	// ServerRooms are the requests that brittle servers may have.
	ServerRooms []limitsharer.RoomNotice
	// Replicas are the states of the sender's copies of the store's objects.
	Replicas []Replica
	Outage   Outage
	// AssignedRevision is the lowest revision up to which the instances that the digest covers
	// have the assignments of streams; 0 if one of them can't list its exceptions.
	// AssignedExceptions are the hashes of the streams left that did not begin by the
	// assignments, and AssignedLeft is the time for which there may be streams of the
	// instances' earlier starts.
	AssignedRevision   int64
	AssignedLeft       clock.Millis
	AssignedExceptions map[originkeeper.Origin][]uint64
	// Assignments are those that are new.
	Assignments []Assignment
	// Exposures are the roll-outs of software.
	Exposures []Exposure
}

// Assignment is the assignment of a service's streams, as it is stored at the revision.
type Assignment struct {
	Service  string
	Era      int64
	Revision int64
	Value    []byte
}

// Exposure is what instances have counted of one roll-out of a service's software.
type Exposure struct {
	// Order identifies the order.
	Order uint32
	// Age is the time since the first instance saw the order, and Phase the latest phase
	// that an instance has decided.
	Age   clock.Millis
	Phase exposurekeeper.Phase
	// MovingFor is the time since the first instance began to move the traffic; 0 before.
	MovingFor clock.Millis
	Sums      ExposureSums
}

// ExposureSums are sums over instances since their start.
type ExposureSums struct {
	TargetRequests, AllRequests int64
	// OldRunning is the number of requests that run on servers of other versions now.
	OldRunning int64
	// Routes is keyed by the identifiers of the routes.
	Routes map[uint32]exposurekeeper.Comparison
}

// Plus returns the sums with another one's, multiplied by the factor. It changes neither.
func (s ExposureSums) Plus(other ExposureSums, factor int64) ExposureSums {
	s.TargetRequests += factor * other.TargetRequests
	s.AllRequests += factor * other.AllRequests
	s.OldRunning += factor * other.OldRunning
	routes := make(map[uint32]exposurekeeper.Comparison, max(len(s.Routes), len(other.Routes)))
	maps.Copy(routes, s.Routes)
	for route, compared := range other.Routes {
		sum := routes[route]
		sum.Target, sum.Old = addCounts(sum.Target, compared.Target, factor), addCounts(sum.Old, compared.Old, factor)
		routes[route] = sum
	}
	s.Routes = routes
	return s
}

func addCounts(a, b exposurekeeper.Counts, factor int64) exposurekeeper.Counts {
	return exposurekeeper.Counts{OK: a.OK + factor*b.OK, Failed: a.Failed + factor*b.Failed, Slow: a.Slow + factor*b.Slow}
}

// CacheDelta is a change of a server's cache.
type CacheDelta struct {
	Server uint32
	Delta  cachetracker.Delta
}

// Orders is the state of an instance that orders engines to load weights.
type Orders struct {
	Holder string
	// Count grows each time when the holder sends it, so that a copy which is passed on
	// without being renewed can be recognized.
	Count      int64
	HoldsLease bool
	// LoadingEngines are the engines that the holder has ordered to load weights.
	LoadingEngines []string
	// RelayRequest is the update of the lease that the holder asks others to write.
	RelayRequest rollout.Update
}

// ReportedWeights is a version of weights that a server reported itself.
type ReportedWeights struct {
	Server  string
	Model   string
	Version int64
}

// LeavingServer is a server that leaves, as it started at StartedAt.
type LeavingServer struct {
	Server    string
	StartedAt int64
}

// Replica is the state of a copy of one kind of the store's objects.
type Replica struct {
	Kind int
	// Revision is the store's revision up to which the copy has all changes; there are
	// none from there to Through. Both hold in the Era of the store.
	Era      int64
	Revision int64
	Through  int64
	// Age is the time since the copy was last known to be current, and Source the
	// instance that learned it from the store.
	Age    clock.Millis
	Source uint32
}

// Outage is the latest outage of the store, as the times since its start and its end.
type Outage struct {
	SinceStart clock.Millis
	SinceEnd   clock.Millis
	// Known is false if there was none. Ended is false while it lasts.
	Known bool
	Ended bool
}
