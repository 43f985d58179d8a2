package datagram

import (
	"maps"
	"slices"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/cachetracker"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/digest"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/limitsharer"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/partquarantine"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/rollout"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/edgev1"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// format is the version of the meaning of the fields. A new field needs no new format.
const format = 1

// maxGeneration limits the counters of an accused part: an engine would have to end for
// each second generation.
const maxGeneration = 1 << 24

// maxRoom limits the rooms that are read.
const maxRoom = 1 << 20

// maxCount limits the counts of tokens and requests, and maxAge the times: sums of them stay far
// from the limits of int64.
const (
	maxCount = 1 << 50
	maxAge   = 24 * clock.Hour
)

// EncodeDigest returns the digest as a datagram. Its fields are in a fixed order, so that
// equal digests have equal datagrams.
func EncodeDigest(d digest.Digest) ([]byte, error) {
	message := &edgev1.Digest{
		Format: format, Name: d.Name, Domain: d.Domain, Address: d.Address, Incarnation: d.Incarnation, Sequence: d.Sequence,
		Scope: edgev1.Scope(d.Scope), Leaving: d.Leaving, StoreDown: d.StoreDown, StoreEra: d.StoreEra, StoreEraAgeMs: int64(d.StoreEraAge), Top: d.Top, Probe: d.Probe,
		AssignedRevision: d.AssignedRevision, AssignedLeftMs: int64(d.AssignedLeft),
		EchoIncarnation: d.Echo.Incarnation, EchoSequence: d.Echo.Sequence,
		WithLoads: d.WithLoads, Members: uint32(d.Members), MemberIds: d.MemberIDs,
		UnreachableServers: d.UnreachableServers, RecoveredServers: d.RecoveredServers,
		Lease: &edgev1.Lease{Era: d.Lease.Era, Revision: d.Lease.Revision, Holder: d.Lease.Holder, Writes: d.Lease.Writes},
	}
	for _, team := range slices.Sorted(maps.Keys(d.Admitted)) {
		message.Teams = append(message.Teams, team)
		message.Admitted = append(message.Admitted, d.Admitted[team])
	}
	for _, team := range slices.Sorted(maps.Keys(d.BucketLevels)) {
		message.LevelTeams = append(message.LevelTeams, team)
		message.Levels = append(message.Levels, d.BucketLevels[team])
	}
	for _, server := range slices.Sorted(maps.Keys(d.Loads)) {
		load := d.Loads[server]
		message.LoadServers = append(message.LoadServers, server)
		message.LoadRequests = append(message.LoadRequests, load[0])
		message.LoadPrefillTokens = append(message.LoadPrefillTokens, load[1])
		message.LoadMemoryTokens = append(message.LoadMemoryTokens, load[2])
	}
	for _, server := range slices.Sorted(maps.Keys(d.SentParts)) {
		sent := &edgev1.SentParts{Server: server}
		sent.Keys, sent.Tokens = splitPairs(d.SentParts[server])
		message.SentParts = append(message.SentParts, sent)
	}
	for _, change := range d.CacheDeltas {
		delta := &edgev1.CacheDelta{Server: change.Server, Epoch: change.Delta.Epoch, Since: change.Delta.Since, LastChange: change.Delta.LastChange}
		delta.Keys, delta.Tokens = splitPairs(change.Delta.Changes)
		message.CacheDeltas = append(message.CacheDeltas, delta)
	}
	encodeRollout(d, message)
	encodeExposures(d, message)
	for _, fingerprint := range slices.Sorted(maps.Keys(d.CrashedServers)) {
		message.Crashes = append(message.Crashes, &edgev1.Crash{Fingerprint: fingerprint, Servers: d.CrashedServers[fingerprint]})
	}
	for _, part := range d.AccusedParts {
		message.AccusedParts = append(message.AccusedParts, &edgev1.AccusedPart{Part: part.Part, Generation: part.Generation, Cleared: part.Cleared, Convicted: part.Convicted, Server: part.Server})
	}
	for _, room := range d.ServerRooms {
		message.ServerRooms = append(message.ServerRooms, &edgev1.ServerRoom{Server: room.Server, StartedAt: room.StartedAt, Version: room.Version, Rejections: int32(room.Rejections), Room: uint32(room.Room), Slots: uint32(room.Slots), Ceiling: uint32(room.Ceiling)})
	}
	for _, limit := range d.ServerLimits {
		message.ServerLimits = append(message.ServerLimits, &edgev1.ServerLimit{Server: limit.Server, StartedAt: limit.StartedAt, Version: limit.Version, Limit: int64(limit.Limit)})
	}
	for _, replica := range d.Replicas {
		message.Replicas = append(message.Replicas, &edgev1.Replica{
			Kind: uint32(replica.Kind), Era: replica.Era, Revision: replica.Revision, Through: replica.Through, AgeMs: int64(replica.Age), Source: replica.Source,
		})
	}
	encodeAssignments(d, message)
	if d.Outage.Known {
		message.Outage = &edgev1.Outage{StartedMs: int64(d.Outage.SinceStart), EndedMs: int64(d.Outage.SinceEnd), Ended: d.Outage.Ended}
	}
	datagram, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		return nil, errors.Wrap(err, "datagram.EncodeDigest")
	}
	return datagram, nil
}

func encodeRollout(d digest.Digest, message *edgev1.Digest) {
	for _, orders := range d.Orders {
		update := orders.RelayRequest
		message.Orders = append(message.Orders, &edgev1.Orders{
			Holder: orders.Holder, Count: orders.Count, HoldsLease: orders.HoldsLease, LoadingEngines: orders.LoadingEngines,
			RelayRequest: &edgev1.Update{Holder: update.Record.Holder, Writes: update.Record.Writes, Era: update.Era, IfRevision: update.IfRevision},
		})
	}
	for _, reported := range d.ReportedWeights {
		message.ReportedWeights = append(message.ReportedWeights, &edgev1.ReportedWeights{Server: reported.Server, Model: reported.Model, Version: reported.Version})
	}
	for _, leaving := range d.LeavingServers {
		message.LeavingServers = append(message.LeavingServers, &edgev1.LeavingServer{Server: leaving.Server, StartedAt: leaving.StartedAt})
	}
	message.ObservedWeights, message.UnobservedWeights = encodeAges(d.WeightsAges), encodeAges(d.WeightsBounds)
	message.PublishedWeights, message.BoundedWeights = encodeAges(d.EarlierAges), encodeAges(d.EarlierBounds)
}

func encodeAges(byModel map[string]map[int64]clock.Millis) []*edgev1.PublishedWeights {
	var encoded []*edgev1.PublishedWeights
	for _, model := range slices.Sorted(maps.Keys(byModel)) {
		for _, version := range slices.Sorted(maps.Keys(byModel[model])) {
			encoded = append(encoded, &edgev1.PublishedWeights{Model: model, Version: version, AgeMs: int64(byModel[model][version])})
		}
	}
	return encoded
}

// AppendEcho returns the digest's datagram with the echo. It does not change the argument.
func AppendEcho(datagram []byte, echo digest.Echo) ([]byte, error) {
	appended, err := proto.MarshalOptions{}.MarshalAppend(slices.Clip(datagram), &edgev1.Digest{EchoIncarnation: echo.Incarnation, EchoSequence: echo.Sequence})
	if err != nil {
		return nil, errors.Wrap(err, "datagram.AppendEcho")
	}
	return appended, nil
}

// DecodeDigest decodes and validates a datagram.
func DecodeDigest(datagram []byte) (digest.Digest, error) {
	var message edgev1.Digest
	if err := proto.Unmarshal(datagram, &message); err != nil {
		return digest.Digest{}, errors.Wrap(err, "datagram.DecodeDigest")
	}
	if err := validate(&message); err != nil {
		return digest.Digest{}, err
	}
	d := digest.Digest{
		Name: message.GetName(), Domain: message.GetDomain(), Address: message.GetAddress(),
		Incarnation: message.GetIncarnation(), Sequence: message.GetSequence(), Scope: digest.Scope(message.GetScope()),
		Leaving: message.GetLeaving(), StoreDown: message.GetStoreDown(), StoreEra: message.GetStoreEra(), StoreEraAge: age(message.GetStoreEraAgeMs()), Top: message.GetTop(), Probe: message.GetProbe(),
		Echo:      digest.Echo{Incarnation: message.GetEchoIncarnation(), Sequence: message.GetEchoSequence()},
		WithLoads: message.GetWithLoads(), Members: int(message.GetMembers()), MemberIDs: message.GetMemberIds(),
		UnreachableServers: message.GetUnreachableServers(), RecoveredServers: message.GetRecoveredServers(),
		Lease: rollout.Observation{Era: message.GetLease().GetEra(), Revision: message.GetLease().GetRevision(), Holder: message.GetLease().GetHolder(), Writes: message.GetLease().GetWrites()},

		AssignedRevision: max(0, message.GetAssignedRevision()), AssignedLeft: age(message.GetAssignedLeftMs()),

		Admitted: map[uint32]int64{}, BucketLevels: map[uint32]int64{}, Loads: map[uint32][3]int64{}, SentParts: map[uint32][][2]uint64{},
		CrashedServers: map[string][]string{},
	}
	for i, team := range message.GetTeams() {
		d.Admitted[team] = bounded(message.GetAdmitted()[i])
	}
	for i, team := range message.GetLevelTeams() {
		d.BucketLevels[team] = bounded(message.GetLevels()[i])
	}
	for i, server := range message.GetLoadServers() {
		d.Loads[server] = [3]int64{bounded(message.GetLoadRequests()[i]), bounded(message.GetLoadPrefillTokens()[i]), bounded(message.GetLoadMemoryTokens()[i])}
	}
	for _, sent := range message.GetSentParts() {
		d.SentParts[sent.GetServer()] = joinPairs(sent.GetKeys(), sent.GetTokens())
	}
	for _, delta := range message.GetCacheDeltas() {
		d.CacheDeltas = append(d.CacheDeltas, digest.CacheDelta{Server: delta.GetServer(), Delta: cachetracker.Delta{
			Epoch: delta.GetEpoch(), Since: delta.GetSince(), LastChange: delta.GetLastChange(), Changes: joinPairs(delta.GetKeys(), delta.GetTokens()),
		}})
	}
	decodeRollout(&d, &message)
	decodeExposures(&d, &message)
	for _, crash := range message.GetCrashes() {
		d.CrashedServers[crash.GetFingerprint()] = crash.GetServers()
	}
	for _, part := range message.GetAccusedParts() {
		d.AccusedParts = append(d.AccusedParts, partquarantine.Evidence{Part: part.GetPart(), Generation: part.GetGeneration(), Cleared: part.GetCleared(), Convicted: part.GetConvicted(), Server: part.GetServer()})
	}
	for _, room := range message.GetServerRooms() {
		start := limitsharer.Start{Server: room.GetServer(), StartedAt: room.GetStartedAt()}
		notice := limitsharer.RoomNotice{Start: start, Version: room.GetVersion(), Rejections: max(limitsharer.Lifted, int(room.GetRejections()))}
		notice.Room, notice.Ceiling, notice.Slots = int(min(room.GetRoom(), maxRoom)), int(min(room.GetCeiling(), maxRoom)), int(min(room.GetSlots(), maxRoom))
		d.ServerRooms = append(d.ServerRooms, notice)
	}
	for _, limit := range message.GetServerLimits() {
		start := limitsharer.Start{Server: limit.GetServer(), StartedAt: limit.GetStartedAt()}
		d.ServerLimits = append(d.ServerLimits, limitsharer.Notice{Start: start, Version: limit.GetVersion(), Limit: max(limitsharer.None, limitsharer.Limit(limit.GetLimit()))})
	}
	for _, replica := range message.GetReplicas() {
		d.Replicas = append(d.Replicas, digest.Replica{
			Kind: int(replica.GetKind()), Era: replica.GetEra(), Revision: replica.GetRevision(), Through: replica.GetThrough(), Age: age(replica.GetAgeMs()), Source: replica.GetSource(),
		})
	}
	decodeAssignments(&d, &message)
	if outage := message.GetOutage(); outage != nil {
		d.Outage = digest.Outage{Known: true, SinceStart: age(outage.GetStartedMs()), SinceEnd: age(outage.GetEndedMs()), Ended: outage.GetEnded()}
	}
	return d, nil
}

func decodeRollout(d *digest.Digest, message *edgev1.Digest) {
	for _, orders := range message.GetOrders() {
		update := orders.GetRelayRequest()
		d.Orders = append(d.Orders, digest.Orders{
			Holder: orders.GetHolder(), Count: orders.GetCount(), HoldsLease: orders.GetHoldsLease(), LoadingEngines: orders.GetLoadingEngines(),
			RelayRequest: rollout.Update{Record: rollout.Record{Holder: update.GetHolder(), Writes: update.GetWrites()}, Era: update.GetEra(), IfRevision: update.GetIfRevision()},
		})
	}
	for _, reported := range message.GetReportedWeights() {
		d.ReportedWeights = append(d.ReportedWeights, digest.ReportedWeights{Server: reported.GetServer(), Model: reported.GetModel(), Version: reported.GetVersion()})
	}
	for _, leaving := range message.GetLeavingServers() {
		d.LeavingServers = append(d.LeavingServers, digest.LeavingServer{Server: leaving.GetServer(), StartedAt: leaving.GetStartedAt()})
	}
	d.WeightsAges, d.WeightsBounds = decodeAges(message.GetObservedWeights()), decodeAges(message.GetUnobservedWeights())
	d.EarlierAges, d.EarlierBounds = decodeAges(message.GetPublishedWeights()), decodeAges(message.GetBoundedWeights())
}

func decodeAges(encoded []*edgev1.PublishedWeights) map[string]map[int64]clock.Millis {
	byModel := map[string]map[int64]clock.Millis{}
	for _, published := range encoded {
		if byModel[published.GetModel()] == nil {
			byModel[published.GetModel()] = map[int64]clock.Millis{}
		}
		byModel[published.GetModel()][published.GetVersion()] = age(published.GetAgeMs())
	}
	return byModel
}

// validate reports what makes a message unusable.
func validate(message *edgev1.Digest) error {
	servers := len(message.GetLoadServers())
	switch {
	case message.GetFormat() != format:
		return errors.Errorf("datagram.DecodeDigest: format %d is unknown; this instance reads format %d", message.GetFormat(), format)
	case message.GetName() == "" || message.GetIncarnation() == 0:
		return errors.New("datagram.DecodeDigest: the name or the incarnation is missing")
	case message.GetScope() != edgev1.Scope_SCOPE_SUBTREE && message.GetScope() != edgev1.Scope_SCOPE_ALL:
		return errors.Errorf("datagram.DecodeDigest: scope %d is unknown", message.GetScope())
	case len(message.GetTeams()) != len(message.GetAdmitted()) || len(message.GetLevelTeams()) != len(message.GetLevels()):
		return errors.New("datagram.DecodeDigest: the teams and their values differ in number")
	case servers != len(message.GetLoadRequests()) || servers != len(message.GetLoadPrefillTokens()) || servers != len(message.GetLoadMemoryTokens()):
		return errors.New("datagram.DecodeDigest: the servers and their loads differ in number")
	}
	if message.GetStoreEra() < 0 || message.GetStoreEraAgeMs() < 0 {
		return errors.New("datagram.DecodeDigest: the store's era or its age is out of range")
	}
	for _, replica := range message.GetReplicas() {
		if replica.GetAgeMs() < 0 || replica.GetEra() < 0 || replica.GetRevision() < 0 || replica.GetThrough() < replica.GetRevision() {
			return errors.New("datagram.DecodeDigest: a replica's age or revision is out of range")
		}
	}
	if err := validateExposures(message); err != nil {
		return err
	}
	for _, part := range message.GetAccusedParts() {
		if max(part.GetGeneration(), part.GetCleared(), part.GetConvicted()) > maxGeneration {
			return errors.Errorf("datagram.DecodeDigest: a generation of an accused part is above %d", maxGeneration)
		}
	}
	return nil
}

func splitPairs(pairs [][2]uint64) (first, second []uint64) {
	for _, pair := range pairs {
		first, second = append(first, pair[0]), append(second, pair[1])
	}
	return first, second
}

// joinPairs joins keys and counts of the same index; those without a partner are left out.
func joinPairs(first, second []uint64) [][2]uint64 {
	var pairs [][2]uint64
	for i := range min(len(first), len(second)) {
		pairs = append(pairs, [2]uint64{first[i], min(second[i], maxCount)})
	}
	return pairs
}

// bounded returns a count within [-maxCount, maxCount].
func bounded(count int64) int64 { return min(max(-maxCount, count), maxCount) }

// age returns a time within [0, maxAge].
func age(millis int64) clock.Millis { return min(max(0, clock.Millis(millis)), maxAge) }
