package forwarder_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/keepermessage"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/scheduler"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/secret"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// obstacle is a reason why none of the other engines can be chosen, although they count as
// candidates.
type obstacle int

const (
	// noObstacle leaves the other engines usable.
	noObstacle obstacle = iota
	// longQueues takes longer than the request has left.
	longQueues
	// oldWeights must start a request sooner than their queues allow.
	oldWeights
	// silentKeepers do not reply; the engines are usable.
	silentKeepers
)

// fillQueues sends prompts that are not answered for a long time to all engines, until
// their queues have about the given length.
func (c *cluster) fillQueues(length clock.Millis) {
	const (
		promptTokens  = 6000
		promptLength  = 150 * clock.Millisecond
		engineCount   = 6
		outputTokens  = 10
		callerTimeout = 10 * clock.Second
	)
	for n := range int(length / promptLength * engineCount) {
		id := fmt.Sprint("queued-", n)
		c.requests[id] = &request{instance: 0, kind: "once"}
		c.step(0, forwarder.RequestArrived{Request: forwarder.Request{
			ID: id, Host: host, Method: "POST", Path: "/once/x", Key: secret.New(goodKey), CallerTimeout: callerTimeout, Fingerprint: id,
			Model: model, PromptTokens: promptTokens, OutputTokens: outputTokens, PromptParts: []scheduler.Part{{ID: id, Tokens: promptTokens}},
		}})
	}
}

// setUp makes the obstacle to other engines arise after the request has been sent.
func (o obstacle) setUp(c *cluster, length clock.Millis) {
	switch {
	case o == silentKeepers:
		c.changeReply = func(*keepermessage.Message) bool { return false }
	case o == noObstacle:
	case len(c.instances) > 1:
		c.changeReply = func(reply *keepermessage.Message) bool {
			for i := range reply.Entries {
				reply.Entries[i].Time = length
			}
			return true
		}
	default:
		c.fillQueues(length)
	}
}

// TestAttemptIsNotGivenUpWithoutAlternative verifies that an attempt whose engine is
// sound goes on when it would be retried or moved to another engine, but none of the
// others turns out to be usable.
func TestAttemptIsNotGivenUpWithoutAlternative(t *testing.T) {
	tests := map[string]struct {
		instances int
		// loads is set if engines load new weights while streams run there; otherwise the
		// engine of one stream is silent before its first event.
		loads    bool
		obstacle obstacle
		// queue is the length of the other engines' queues.
		queue clock.Millis
	}{
		"silent, others usable":                      {1, false, noObstacle, 0},
		"silent, long queues":                        {1, false, longQueues, 2100},
		"silent, old weights":                        {1, false, oldWeights, 600},
		"silent, large cluster, others usable":       {67, false, noObstacle, 0},
		"silent, large cluster, long queues":         {67, false, longQueues, 2100},
		"silent, large cluster, old weights":         {67, false, oldWeights, 600},
		"silent, large cluster, keepers are silent":  {67, false, silentKeepers, 0},
		"loading, others usable":                     {1, true, noObstacle, 0},
		"loading, long queues":                       {1, true, longQueues, 2100},
		"loading, old weights":                       {1, true, oldWeights, 900},
		"loading, large cluster, others usable":      {67, true, noObstacle, 0},
		"loading, large cluster, long queues":        {67, true, longQueues, 2100},
		"loading, large cluster, old weights":        {67, true, oldWeights, 900},
		"loading, large cluster, keepers are silent": {67, true, silentKeepers, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newClusterIn(t, 3, test.instances, 3)
			for i := range c.settings {
				c.settings[i].Bounds.RetryRatio, c.settings[i].Bounds.RetryExtra = 1, 0
				if test.obstacle == oldWeights {
					c.settings[i].Bounds.MaxWeightsAge = 2500
				}
				c.startInstance(i)
			}
			c.run(2 * clock.Second)
			c.firstEventDelays = map[string]clock.Millis{"once": 8 * clock.Second}
			var streams []string
			if test.loads {
				streams = c.runStreamsWhileLoading(test.obstacle, test.queue)
			} else {
				streams = c.runSilentStream(test.obstacle, test.queue)
			}
			moved := 0
			for _, id := range streams {
				require.IsType(t, forwarder.ForwardResponse{}, c.requests[id].finalAction, c.logOf(id))
				moved += c.requests[id].attempts - 1
			}
			if test.queue == 0 {
				require.Positive(t, moved, "a usable engine is used")
			}
		})
	}
}

// runSilentStream sends a stream whose engine responds after 1.5 s, and returns it.
func (c *cluster) runSilentStream(obstacle obstacle, queue clock.Millis) []string {
	if obstacle == oldWeights {
		// The instance can't write to the store, so it orders no engine to load them.
		for i := range c.instances {
			c.storeCutOff[i] = true
			c.publishTo(i, 2)
		}
		c.run(300)
	}
	c.firstEventDelays["stream"] = 1500
	id := c.sendRequest(0, "stream")
	c.run(30)
	require.Equal(c.t, 1, c.requests[id].attempts, c.logOf(id))
	obstacle.setUp(c, queue)
	c.run(3 * clock.Second)
	return []string{id}
}

// runStreamsWhileLoading sends streams that last longer than engines wait for them,
// publishes new weights, and returns the streams whose engines were ordered to load them.
func (c *cluster) runStreamsWhileLoading(obstacle obstacle, queue clock.Millis) []string {
	c.streamDuration, c.loadDuration = 1300, 3*clock.Second
	// The engines respond about as fast as the scheduler expects, so that it takes their
	// queues for as long as they are.
	c.firstEventDelays["stream"] = 20
	firstServers := map[string]string{}
	for range 2 * len(c.servers) {
		firstServers[c.sendRequest(0, "stream")] = ""
	}
	c.run(50)
	for id := range firstServers {
		firstServers[id] = c.requests[id].lastDispatch.Server
	}
	obstacle.setUp(c, queue)
	c.publishWeights()
	c.run(1200)
	var streams []string
	for id, server := range firstServers {
		if c.servers[server].acceptedOrders > 0 {
			streams = append(streams, id)
		}
	}
	require.NotEmpty(c.t, streams)
	c.run(3 * clock.Second)
	return streams
}

// TestUnplacedStreamStays verifies that no other engine is asked to continue a stream after an event
// without identifier, although its engine is silent or is to load new weights.
func TestUnplacedStreamStays(t *testing.T) {
	for name, unplaced := range map[string]bool{"unplaced": true, "others": false} {
		t.Run(name, func(t *testing.T) {
			c := newClusterIn(t, 3, 1, 3)
			c.settings[0].Bounds.RetryRatio, c.settings[0].Bounds.RetryExtra = 1, 0
			c.startInstance(0)
			c.run(2 * clock.Second)
			c.streamDuration, c.loadDuration, c.firstEventDelays = 1300, 3*clock.Second, map[string]clock.Millis{"stream": 20}
			var ids []string
			for range 2 * len(c.servers) {
				ids = append(ids, c.sendRequest(0, "stream"))
			}
			c.run(50)
			for _, id := range ids {
				attempt := c.requests[id].lastDispatch.Attempt
				if unplaced {
					c.step(0, forwarder.StreamUnplaced{Request: id, Attempt: attempt})
				}
			}
			c.step(0, forwarder.StreamSilent{Request: ids[0], Attempt: c.requests[ids[0]].lastDispatch.Attempt})
			require.Equal(t, unplaced, c.requests[ids[0]].attempts == 1, c.logOf(ids[0]))
			c.publishWeights()
			c.run(4 * clock.Second)
			others := 0
			for _, id := range ids[1:] {
				others += c.requests[id].attempts - 1
			}
			require.Equal(t, unplaced, others == 0, "%d were moved", others)
		})
	}
}
