package router_test

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
	"github.com/hyssopdoor/hyssopdoor/internal/testkit"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// FuzzPeerMessage sends an arbitrary message to an instance, from a known peer and
// from unknown ones. The instance must not panic and must still finish its requests.
func FuzzPeerMessage(f *testing.F) {
	seeds := []*peerv1.Message{
		{Body: &peerv1.Message_Heartbeat{Heartbeat: &peerv1.Heartbeat{Domain: "a", Revision: 1 << 60, Holdings: []*peerv1.Holding{{Shard: -1, Term: -1}, {Shard: 1 << 30}}}}},
		{Body: &peerv1.Message_ConfigOffer{ConfigOffer: &peerv1.ConfigOffer{Manifest: []byte(`{"revision":99,"shards":{"x":"y"}}`)}}},
		{Body: &peerv1.Message_ShardOffer{ShardOffer: &peerv1.ShardOffer{Values: [][]byte{nil}}}},
		{Body: &peerv1.Message_Draw{Draw: &peerv1.Draw{Id: "d", Team: "press", Tokens: -1 << 63}}},
		{Body: &peerv1.Message_Draw{Draw: &peerv1.Draw{Id: "d", Team: "nobody", Tokens: 1 << 62}}},
		{Body: &peerv1.Message_Grant{Grant: &peerv1.Grant{Id: "d", Tokens: 1 << 62, RetryAfterMillis: -1}}},
		{Body: &peerv1.Message_Refund{Refund: &peerv1.Refund{Id: "d", Team: "press", Tokens: 1 << 62}}},
		{Body: &peerv1.Message_InstancesOffer{InstancesOffer: &peerv1.InstancesOffer{Revision: 1 << 60, Instances: []byte(`[{"name":"x","role":"engine","models":["verdict"],"state":"live"}]`)}}},
		{Body: &peerv1.Message_IsolationAsk{IsolationAsk: &peerv1.IsolationAsk{Request: "r", Fingerprint: "f", Crashed: "engine-a"}}},
		{Body: &peerv1.Message_IsolationGrant{IsolationGrant: &peerv1.IsolationGrant{Request: "r", Alone: true}}},
		{Body: &peerv1.Message_AloneEnd{AloneEnd: &peerv1.AloneEnd{Request: "r", State: 7}}},
		{Body: &peerv1.Message_ShareWish{ShareWish: &peerv1.ShareWish{Team: "press", More: 1 << 62}}},
		{Body: &peerv1.Message_ExplainAnswer{ExplainAnswer: &peerv1.ExplainAnswer{Operation: "o", Explanation: []byte("[")}}},
		{},
	}
	for _, seed := range seeds {
		encoded, err := proto.Marshal(seed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		message := &peerv1.Message{}
		if proto.Unmarshal(encoded, message) != nil {
			return
		}
		cluster := newFuzzCluster()
		for _, from := range []string{"b-1", "stranger", ""} {
			cluster.SubmitEvent("a-1", event.PeerMessage{From: from, Message: message})
		}
		cluster.Send("a-1", testkit.ModelRequest(100, 20))
		cluster.RunFor(3 * clock.Second)
		for _, request := range cluster.Requests {
			if !request.Ended {
				t.Fatalf("request %s has no final response", request.Arrival.Request)
			}
		}
	})
}

func newFuzzCluster() *testkit.Cluster {
	cluster := testkit.NewCluster(1)
	for _, domain := range []string{"a", "b"} {
		cluster.AddInstance(domain+"-1", domain)
		cluster.AddEngine("engine-"+domain, domain, "verdict")
	}
	cluster.RunFor(clock.Second)
	cluster.Configure("a-1", testkit.SampleConfig(3000, 30000, "a", "b"))
	return cluster
}

// FuzzPlatformResponse delivers an arbitrary value as the response to each of an
// instance's first platform calls, such as manifest, lease and instance list.
func FuzzPlatformResponse(f *testing.F) {
	f.Add([]byte(`{"revision":-1}`), int64(5), uint8(1))
	f.Add([]byte(`{"holder":"a-1#1","term":9223372036854775807}`), int64(-1), uint8(1))
	f.Add([]byte(`{"shares":{"a":1001}}`), int64(1), uint8(3))
	f.Fuzz(func(t *testing.T, value []byte, version int64, outcome uint8) {
		cluster := newFuzzCluster()
		response := objectstore.Response{Outcome: objectstore.Outcome(outcome%5) + 1, Version: version, Value: value}
		for call := range uint64(60) {
			cluster.SubmitEvent("a-1", event.PlatformResponded{Call: call, Response: response})
		}
		cluster.RunFor(3 * clock.Second)
	})
}
