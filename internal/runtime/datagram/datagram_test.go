package datagram_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/cachetracker"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/digest"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/exposurekeeper"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/keepermessage"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/limitsharer"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/originkeeper"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/originmessage"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/partquarantine"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/rollout"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/edgev1"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/datagram"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// newDigest returns a digest with all fields.
func newDigest() digest.Digest {
	return digest.Digest{
		Name: "edge-1", Domain: "a", Address: "10.0.0.1:7600", Incarnation: 9, Sequence: 4, Scope: digest.Subtree, Leaving: true, StoreDown: true, StoreEra: 2, StoreEraAge: 400, Top: true,
		Members: 3, MemberIDs: []uint32{1, 2}, Admitted: map[uint32]int64{5: -7}, BucketLevels: map[uint32]int64{6: -8},
		WithLoads: true, Loads: map[uint32][3]int64{11: {1, 2, 3}}, SentParts: map[uint32][][2]uint64{12: {{13, 14}}},
		CacheDeltas:        []digest.CacheDelta{{Server: 15, Delta: cachetracker.Delta{Epoch: 1, Since: 2, LastChange: 3, Changes: [][2]uint64{{4, 0}}}}},
		UnreachableServers: []string{"s1"}, RecoveredServers: []string{"s2"},
		Orders: []digest.Orders{{
			Holder: "edge-2", Count: 7, HoldsLease: true, LoadingEngines: []string{"e1"},
			RelayRequest: rollout.Update{Record: rollout.Record{Holder: "edge-2", Writes: 3}, Era: 2, IfRevision: 44},
		}},
		Lease: rollout.Observation{Era: 2, Revision: 44, Holder: "edge-2", Writes: 2}, ReportedWeights: []digest.ReportedWeights{{Server: "e1", Model: "m", Version: 3}},
		LeavingServers: []digest.LeavingServer{{Server: "e2", StartedAt: 9}},
		WeightsAges:    map[string]map[int64]clock.Millis{"m": {3: 500}}, WeightsBounds: map[string]map[int64]clock.Millis{"m": {4: 900}, "n": {7: 2}}, EarlierAges: map[string]map[int64]clock.Millis{"m": {3: 700}}, EarlierBounds: map[string]map[int64]clock.Millis{"m": {4: 900}}, CrashedServers: map[string][]string{"f": {"s3"}},
		AccusedParts: []partquarantine.Evidence{{Part: 1 << 60, Generation: 4, Cleared: 1, Convicted: 4, Server: 15}},
		ServerRooms:  []limitsharer.RoomNotice{{Start: limitsharer.Start{Server: "e3", StartedAt: 8}, Version: 2, Rejections: 4, Room: 20, Ceiling: 30, Slots: 64}, {Start: limitsharer.Start{Server: "e4", StartedAt: 8}, Version: 3, Rejections: limitsharer.Lifted}},
		ServerLimits: []limitsharer.Notice{{Start: limitsharer.Start{Server: "e3", StartedAt: 8}, Version: 2, Limit: 1100}, {Start: limitsharer.Start{Server: "e4", StartedAt: 8}, Version: 3, Limit: limitsharer.None}},
		Replicas:     []digest.Replica{{Kind: 1, Era: 2, Revision: 5, Through: 6, Age: 700, Source: 8}}, Outage: digest.Outage{Known: true, Ended: true, SinceStart: 90, SinceEnd: 30},
		Exposures: []digest.Exposure{{Order: 77, Age: 900, Phase: exposurekeeper.Move, MovingFor: 300, Sums: digest.ExposureSums{TargetRequests: 3, AllRequests: -4, OldRunning: 5, Routes: map[uint32]exposurekeeper.Comparison{
			8: {Target: exposurekeeper.Counts{OK: 1, Failed: 2, Slow: -3}, Old: exposurekeeper.Counts{OK: 4, Failed: 5, Slow: 6}},
		}}}},
	}
}

// TestDigestRoundTrip verifies that all fields arrive, with the echo that is appended for
// one receiver.
func TestDigestRoundTrip(t *testing.T) {
	sent := newDigest()
	encoded, err := datagram.EncodeDigest(sent)
	require.NoError(t, err)
	for _, echo := range []digest.Echo{{Incarnation: 3, Sequence: 9}, {Incarnation: 4, Sequence: 1}} {
		withEcho, err := datagram.AppendEcho(encoded, echo)
		require.NoError(t, err)
		received, err := datagram.DecodeDigest(withEcho)
		require.NoError(t, err)
		sent.Echo = echo
		require.Equal(t, sent, received)
		require.False(t, datagram.IsKeeperMessage(withEcho))
	}
}

// TestUnknownFields verifies that a digest of a newer build, with fields that this one does
// not know, is read, and that one of another format is dropped.
func TestUnknownFields(t *testing.T) {
	encoded, err := datagram.EncodeDigest(newDigest())
	require.NoError(t, err)
	newer := append(encoded, 0xc2, 0x3e, 0x03, 'n', 'e', 'w') // field 1000
	received, err := datagram.DecodeDigest(newer)
	require.NoError(t, err)
	require.Equal(t, newDigest(), received)
}

// TestInvalidDigests verifies that digests which can't be used are errors.
// TestTimesOfEarlierBuildsOnlyNameVersions guards against ages and bounds of builds that count them from too late.
func TestTimesOfEarlierBuildsOnlyNameVersions(t *testing.T) {
	stated := []*edgev1.PublishedWeights{{Model: "m", Version: 3, AgeMs: 700}}
	encoded, err := proto.Marshal(&edgev1.Digest{Format: 1, Name: "edge-1", Incarnation: 1, Sequence: 1, Scope: edgev1.Scope_SCOPE_SUBTREE, PublishedWeights: stated, BoundedWeights: stated})
	require.NoError(t, err)
	received, err := datagram.DecodeDigest(encoded)
	require.NoError(t, err)
	require.Empty(t, received.WeightsAges)
	require.Empty(t, received.WeightsBounds)
}

func TestInvalidDigests(t *testing.T) {
	tests := map[string]func(message *edgev1.Digest){
		"another format":             func(m *edgev1.Digest) { m.Format = 2 },
		"no name":                    func(m *edgev1.Digest) { m.Name = "" },
		"no incarnation":             func(m *edgev1.Digest) { m.Incarnation = 0 },
		"no scope":                   func(m *edgev1.Digest) { m.Scope = 0 },
		"an unknown scope":           func(m *edgev1.Digest) { m.Scope = 7 },
		"teams without counts":       func(m *edgev1.Digest) { m.Admitted = nil },
		"levels without teams":       func(m *edgev1.Digest) { m.LevelTeams = nil },
		"servers without loads":      func(m *edgev1.Digest) { m.LoadRequests = nil },
		"a huge generation":          func(m *edgev1.Digest) { m.AccusedParts[0].Generation = 1 << 30 },
		"a negative age":             func(m *edgev1.Digest) { m.Replicas[0].AgeMs = -1 },
		"a negative age of an order": func(m *edgev1.Digest) { m.Exposures[0].AgeMs = -1 },
		"an unknown phase":           func(m *edgev1.Digest) { m.Exposures[0].Phase = 9 },
		"a revision that goes back":  func(m *edgev1.Digest) { m.Replicas[0].Through = 1 },
	}
	valid, err := datagram.EncodeDigest(newDigest())
	require.NoError(t, err)
	for name, spoil := range tests {
		t.Run(name, func(t *testing.T) {
			var message edgev1.Digest
			require.NoError(t, proto.Unmarshal(valid, &message))
			spoil(&message)
			encoded, err := proto.Marshal(&message)
			require.NoError(t, err)
			_, err = datagram.DecodeDigest(encoded)
			require.Error(t, err)
		})
	}
	_, err = datagram.DecodeDigest([]byte(`{"name":"an instance of the build before"}`))
	require.Error(t, err)
	_, err = datagram.DecodeDigest(valid[:len(valid)-1])
	require.Error(t, err, "a datagram that ends within a field")
}

// TestKeeperMessageRoundTrip verifies that all fields of a message arrive.
func TestKeeperMessageRoundTrip(t *testing.T) {
	sent := keepermessage.Message{Kind: keepermessage.Query, Address: "10.0.0.1:7600", ID: 8, Entries: []keepermessage.Entry{
		{Server: 3, Time: 40, CachedTokens: 700, Parts: [][2]uint64{{5, 400}, {6, 300}}}, {Server: 4},
	}}
	encoded, err := datagram.EncodeKeeperMessage(sent)
	require.NoError(t, err)
	require.True(t, datagram.IsKeeperMessage(encoded))
	received, err := datagram.DecodeKeeperMessage(encoded)
	require.NoError(t, err)
	require.Equal(t, sent, received)
	for name, invalid := range map[string][]byte{"nothing": nil, "another kind": {0, 8, 9}, "torn": encoded[:len(encoded)-2], "no marker": encoded[1:]} {
		_, err := datagram.DecodeKeeperMessage(invalid)
		require.Error(t, err, name)
	}
}

// TestOriginMessageRoundTrip verifies that all fields of a message arrive, and that invalid
// ones are errors.
func TestOriginMessageRoundTrip(t *testing.T) {
	origin := originkeeper.Origin{Service: "engines", SoftwareVersion: "v1.2"}
	for name, sent := range map[string]originmessage.Message{
		"began":            {Kind: originmessage.Began, Address: "10.0.0.1:7600", Stream: "stream-1", Origin: origin, PassOn: true},
		"a query":          {Kind: originmessage.Query, Address: "10.0.0.1:7600", ID: 8, Stream: "stream-1"},
		"a reply":          {Kind: originmessage.Reply, Address: "10.0.0.1:7600", ID: 8, Stream: "stream-1", Known: true, Origin: origin},
		"an unknown one":   {Kind: originmessage.Reply, ID: 8, Stream: "stream-1"},
		"no version named": {Kind: originmessage.Reply, ID: 8, Stream: "stream-1", Known: true, Origin: originkeeper.Origin{Service: "engines"}},
	} {
		t.Run(name, func(t *testing.T) {
			encoded, err := datagram.EncodeOriginMessage(sent)
			require.NoError(t, err)
			require.True(t, datagram.IsOriginMessage(encoded))
			require.False(t, datagram.IsKeeperMessage(encoded))
			_, err = datagram.DecodeDigest(encoded)
			require.Error(t, err, "an older build drops it")
			received, err := datagram.DecodeOriginMessage(encoded)
			require.NoError(t, err)
			require.Equal(t, sent, received)
			_, err = datagram.DecodeOriginMessage(encoded[:len(encoded)-1])
			require.Error(t, err, "a datagram that ends within a field")
		})
	}
	for name, invalid := range map[string]originmessage.Message{
		"no kind":              {Stream: "stream-1", Origin: origin},
		"another kind":         {Kind: originmessage.Reply + 1, Stream: "stream-1", Origin: origin},
		"no stream":            {Kind: originmessage.Query},
		"began at no service":  {Kind: originmessage.Began, Stream: "stream-1"},
		"known, but not where": {Kind: originmessage.Reply, Stream: "stream-1", Known: true},
	} {
		t.Run(name, func(t *testing.T) {
			encoded, err := datagram.EncodeOriginMessage(invalid)
			require.NoError(t, err)
			_, err = datagram.DecodeOriginMessage(encoded)
			require.Error(t, err)
		})
	}
	for name, invalid := range map[string][]byte{"nothing": nil, "another marker": {0, 8, 1}, "no message": {1, 255}} {
		_, err := datagram.DecodeOriginMessage(invalid)
		require.Error(t, err, name)
	}
}
