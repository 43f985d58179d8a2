package forwarder_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/desired"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/originkeeper"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/originmessage"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/secret"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/datagram"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// sendOriginMessage delivers a message about the origin of a stream, as it is on the wire.
func (c *cluster) sendOriginMessage(from int, send forwarder.SendOrigin) {
	encoded, err := datagram.EncodeOriginMessage(send.Message)
	require.NoError(c.t, err)
	c.originMessages[send.Message.Kind]++
	c.deliver(from, send.Address, len(encoded), func(to int) {
		received, err := datagram.DecodeOriginMessage(encoded)
		require.NoError(c.t, err)
		if _, earlier := c.earlierBuilds[to]; earlier && received.Kind == originmessage.Query {
			received.Origin = originkeeper.Origin{}
		}
		c.step(to, forwarder.OriginMessageReceived{Message: received})
	})
}

// resumeStream sends a request that resumes a stream to an instance.
func (c *cluster) resumeStream(i int, id, kind, resumed, lastEventID string) *request {
	return c.resumeStreamOf(nil, i, id, kind, resumed, lastEventID)
}

// resumeStreamOf does the same for a caller that holds events of some software versions.
func (c *cluster) resumeStreamOf(versions map[string]bool, i int, id, kind, resumed, lastEventID string) *request {
	r := &request{instance: i, kind: kind, sentAt: c.now, softwareVersions: versions}
	c.requests[id] = r
	arrived := forwarder.Request{
		ID: id, Host: host, Method: "POST", Path: "/" + kind + "/x", Key: secret.New(goodKey), CallerTimeout: 2500, Fingerprint: id,
		ResumedRequest: resumed, LastEventID: lastEventID,
	}
	if kind == "stream" {
		arrived.Model, arrived.PromptTokens, arrived.OutputTokens = model, 100, 20
	}
	c.step(i, forwarder.RequestArrived{Request: arrived})
	return r
}

// TestResumedStreams verifies the outcome of a request that resumes a stream, by what is
// known of the stream and by the servers that are left.
func TestResumedStreams(t *testing.T) {
	v2 := originkeeper.Origin{Service: "engines", SoftwareVersion: "v2"}
	// An origin that no keeper knows is looked for in the store before the refusal.
	const storeCall = 15
	removeVersion := func(c *cluster, version string) {
		for _, s := range c.servers {
			if s.entry.SoftwareVersion == version {
				c.step(0, forwarder.ServerChanged{Entry: s.entry, Removed: true})
			}
		}
	}
	for name, test := range map[string]struct {
		instances int
		// keeper is the instance that knows that the stream "first" began at origin; -1
		// for none.
		keeper      int
		origin      originkeeper.Origin
		kind        string
		resumed     string
		lastEventID string
		prepare     func(c *cluster)
		// reason is that of the refusal; empty if the stream goes on.
		reason  forwarder.Reason
		version string
		within  clock.Millis
	}{
		"known here":              {instances: 3, origin: v2, resumed: "first", lastEventID: "1", version: "v2", within: 5},
		"known elsewhere":         {instances: 3, keeper: 2, origin: v2, resumed: "first", lastEventID: "1", version: "v2", within: 20},
		"no last event":           {instances: 3, keeper: 2, origin: v2, resumed: "first", version: "v2", within: 20},
		"its own identifier":      {instances: 3, keeper: 1, origin: v2, resumed: "", lastEventID: "1", version: "v2", within: 20},
		"known nowhere":           {instances: 3, keeper: -1, resumed: "first", lastEventID: "1", reason: forwarder.ReasonUnknownOrigin, within: 20 + storeCall},
		"the only instance":       {instances: 1, keeper: -1, resumed: "first", lastEventID: "1", reason: forwarder.ReasonUnknownOrigin, within: 1 + storeCall},
		"an event, but no stream": {instances: 3, keeper: -1, lastEventID: "1", reason: forwarder.ReasonUnknownOrigin, within: 20 + storeCall},
		"the others are silent": {instances: 3, keeper: 2, origin: v2, resumed: "first", lastEventID: "1", reason: forwarder.ReasonUnknownOrigin, within: 300 + storeCall, prepare: func(c *cluster) {
			c.cut = func(int, int) bool { return true }
		}},
		"the first query is lost": {instances: 3, keeper: 2, origin: v2, resumed: "first", lastEventID: "1", version: "v2", within: 70, prepare: func(c *cluster) {
			end := c.now.Add(20)
			c.cut = func(int, int) bool { return c.now < end }
		}},
		"one is stopped, the other knows": {instances: 3, keeper: 2, origin: v2, resumed: "first", lastEventID: "1", version: "v2", within: 20, prepare: func(c *cluster) {
			c.stopped[1] = true
		}},
		"a service that the route does not lead to": {instances: 1, origin: originkeeper.Origin{Service: "records", SoftwareVersion: "v2"}, resumed: "first", lastEventID: "1", reason: forwarder.ReasonOtherService, within: 1},
		"no server of the version is left": {instances: 1, origin: v2, resumed: "first", lastEventID: "1", reason: forwarder.ReasonNoServer, within: 1, prepare: func(c *cluster) {
			removeVersion(c, "v2")
		}},
		"a version that nobody has": {instances: 1, origin: originkeeper.Origin{Service: "engines"}, resumed: "first", lastEventID: "1", reason: forwarder.ReasonNoServer, within: 1},
		"a conflict": {instances: 1, origin: v2, resumed: "first", lastEventID: "1", reason: forwarder.ReasonUnknownOrigin, within: 1, prepare: func(c *cluster) {
			c.step(0, forwarder.OriginMessageReceived{Message: originmessage.Message{Kind: originmessage.Began, Stream: "first", Origin: originkeeper.Origin{Service: "engines", SoftwareVersion: "v1"}}})
		}},
		"a lookup, which is no stream": {instances: 1, keeper: -1, kind: "lookup", resumed: "first", lastEventID: "1", within: 5},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 1, test.instances)
			c.setSoftwareVersions("v1", "v2")
			c.run(300)
			id, kind := "again", "stream"
			if test.kind != "" {
				kind = test.kind
			}
			known := test.resumed
			if known == "" {
				known = id
			}
			if test.keeper >= 0 {
				c.step(test.keeper, forwarder.OriginMessageReceived{Message: originmessage.Message{Kind: originmessage.Began, Stream: known, Origin: test.origin}})
			}
			if test.prepare != nil {
				test.prepare(c)
			}
			r := c.resumeStream(0, id, kind, test.resumed, test.lastEventID)
			c.run(test.within)
			if test.reason != "" {
				refusal, refused := r.finalAction.(forwarder.Refuse)
				require.True(t, refused, c.logOf(id))
				require.Equal(t, test.reason, refusal.Reason)
				require.Equal(t, 503, refusal.Status)
				require.Positive(t, refusal.RetryAfter)
				require.Zero(t, r.attempts)
				require.Zero(t, c.instances[0].InFlight())
				return
			}
			require.Equal(t, 1, r.attempts, c.logOf(id))
			require.Equal(t, test.lastEventID, r.lastDispatch.LastEventID)
			if test.version != "" {
				require.Equal(t, test.version, c.servers[r.lastDispatch.Server].entry.SoftwareVersion)
			}
		})
	}
}

// TestResumedStreamOfSplitRoute verifies that a stream goes on at the service where it
// began, while the route leads there, whatever the split draws for the new request.
func TestResumedStreamOfSplitRoute(t *testing.T) {
	c := newCluster(t, 1, 1)
	state := newDesiredState(2)
	for i, route := range state.Routes {
		if route.Name == "stream" {
			state.Routes[i].Split = []desired.WeightedService{{Service: "records", Weight: 99}, {Service: "engines", Weight: 1}}
		}
	}
	c.step(0, forwarder.StateRead{State: state, ConfirmedAt: c.now})
	c.step(0, forwarder.OriginMessageReceived{Message: originmessage.Message{Kind: originmessage.Began, Stream: "first", Origin: originkeeper.Origin{Service: "engines"}}})
	r := c.resumeStream(0, "again", "stream", "first", "1")
	require.Equal(t, 1, r.attempts, c.logOf("again"))
	require.Equal(t, "engines", c.servers[r.lastDispatch.Server].entry.Service)
}

// TestCallerDisconnectsDuringLookup verifies that nothing is left of a request whose caller
// disconnects while other instances are asked where its stream began.
func TestCallerDisconnectsDuringLookup(t *testing.T) {
	c := newCluster(t, 1, 3)
	r := c.resumeStream(0, "again", "stream", "first", "1")
	c.step(0, forwarder.CallerDisconnected{Request: "again"})
	c.run(clock.Second)
	require.IsType(t, forwarder.DropRequest{}, r.finalAction)
	require.Equal(t, 1, r.finalActions)
	require.Zero(t, c.instances[0].InFlight())
}

// TestResumedStreamAfterStart verifies that an instance that has just started, and does not
// know the others yet, does not refuse a resumed stream as unknown before they are listed.
func TestResumedStreamAfterStart(t *testing.T) {
	c := newCluster(t, 1, 3)
	c.step(1, forwarder.OriginMessageReceived{Message: originmessage.Message{Kind: originmessage.Began, Stream: "first", Origin: originkeeper.Origin{Service: "engines"}}})
	c.instances[0] = forwarder.New(c.settings[0], "started", 1)
	c.step(0, forwarder.StateRead{State: newDesiredState(1), ConfirmedAt: c.now})
	c.step(0, forwarder.WeightsPublished{Model: model, Version: 1})
	c.listServers(0)
	r := c.resumeStream(0, "again", "stream", "first", "1")
	c.run(20)
	require.Zero(t, r.finalActions, c.logOf("again"))
	c.listPeers(0)
	c.run(60)
	require.Equal(t, 1, r.attempts, c.logOf("again"))
}

// TestOriginsAreKeptByOthers verifies that the origin of each stream is kept by three other
// instances, of different failure domains where there are as many, in clusters of all
// sizes.
func TestOriginsAreKeptByOthers(t *testing.T) {
	for name, scale := range scales {
		t.Run(name, func(t *testing.T) {
			c := newClusterIn(t, 1, scale.instances, scale.domains)
			c.run(2 * clock.Second)
			const streams = 40
			for i := range streams {
				c.sendRequest(i%scale.instances, "stream")
				c.run(20)
			}
			c.run(200)
			copies := 0
			for _, instance := range c.instances {
				copies += instance.StatusAt(c.now).KnownOrigins
			}
			require.Equal(t, 4*streams, copies, fmt.Sprint(c.originMessages))
			require.Equal(t, 3*streams, c.originMessages[originmessage.Began])
		})
	}
}

// TestUnnamedStreamAfterRestart guards against a stream that its caller does not name and that an
// instance which has just started resumes at the only listed version: servers of the version
// that began it may have left a moment before. After the longest time for which a caller comes
// back, the stream goes on.
func TestUnnamedStreamAfterRestart(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.setSoftwareVersions("v2")
	c.settings[0].FirstStart = false
	c.startInstance(0)
	c.run(500)
	refused := c.resumeStream(0, "soon", "stream", "", "1")
	c.run(50)
	refusal, ok := refused.finalAction.(forwarder.Refuse)
	require.True(t, ok, c.logOf("soon"))
	require.Equal(t, forwarder.ReasonUnknownOrigin, refusal.Reason)
	c.run(31 * clock.Second)
	require.Equal(t, 1, func() int { r := c.resumeStream(0, "later", "stream", "", "1"); c.run(50); return r.attempts }(), c.logOf("later"))
}
