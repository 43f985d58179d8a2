package forwarder_test

import (
	"cmp"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// TestQueuedRequestsDoNotBeginOnSupersededWeights publishes weights that some engines do not load in
// time, while requests wait in the queues of engines for longer than expected.
func TestQueuedRequestsDoNotBeginOnSupersededWeights(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		kind string
		// updated is the number of engines, of six, that load the new weights after a second.
		updated int
		// sentFor is the time for which requests are sent, from 100 ms before the publication.
		sentFor clock.Millis
		// omits is what the requests don't state, and models the number of the engines' models.
		omits  string
		models int
		// instances is the number of instances, and slots that of an engine; 0 for the usual ones.
		instances, slots int
		// disturb is called each time that a request is sent.
		disturb func(*cluster)
		// noRetries leaves no budget for other attempts.
		noRetries bool
		// served is the least fraction of the requests that an engine must answer.
		served float64
	}{
		"resumable streams, others usable":           {kind: "stream", updated: 3, sentFor: 6 * clock.Second, served: 1},
		"resumable streams, no other":                {kind: "stream", sentFor: 6 * clock.Second},
		"other streams, others usable":               {kind: "once", updated: 3, sentFor: 6 * clock.Second, served: 0.8},
		"other streams, no other":                    {kind: "once", sentFor: 6 * clock.Second},
		"sent before the weights were superseded":    {kind: "stream", updated: 3, sentFor: 90, served: 1},
		"not resumable, sent before the new weights": {kind: "once", updated: 3, sentFor: 90},
		"safe responses, others usable":              {kind: "answer", updated: 3, sentFor: 6 * clock.Second, served: 1},
		"safe responses, sent before":                {kind: "answer", updated: 3, sentFor: 90, noRetries: true},
		"unsafe responses, others usable":            {kind: "act", updated: 3, sentFor: 6 * clock.Second, served: 1},
		"unsafe responses, sent before":              {kind: "act", updated: 3, sentFor: 90, served: 1},
		"streams without counts, sent before":        {kind: "stream", omits: "counts", updated: 3, sentFor: 90, served: 1},
		"streams without a model, others usable":     {kind: "once", omits: "model", updated: 3, sentFor: 6 * clock.Second, served: 0.8},
		"streams without a model, two models":        {kind: "once", omits: "model", models: 2, updated: 3, sentFor: 6 * clock.Second, served: 0.8},
		"streams of one of two models":               {kind: "stream", omits: "counts", models: 2, updated: 3, sentFor: 6 * clock.Second, served: 1},
		"responses without a model, sent before":     {kind: "act", omits: "model", updated: 3, sentFor: 90, served: 1},
		"responses without counts, others usable":    {kind: "answer", omits: "counts", updated: 3, sentFor: 6 * clock.Second, served: 1},
		"streams that servers decline or break off":  {kind: "stream", updated: 3, sentFor: 6 * clock.Second, served: 0.5, disturb: failSome},
		"others that servers decline or break off":   {kind: "once", updated: 3, sentFor: 6 * clock.Second, served: 0.3, disturb: failSome},
		"responses that are declined or broken off":  {kind: "act", updated: 3, sentFor: 6 * clock.Second, served: 0.3, disturb: failSome},
		"streams that wait for capacity":             {kind: "stream", sentFor: 6 * clock.Second, slots: 2},
		"streams that wait for engines":              {kind: "stream", sentFor: 6 * clock.Second, disturb: crashSome},
		"streams that wait for keepers":              {kind: "stream", sentFor: 6 * clock.Second, instances: 24},
		"streams that are resumed":                   {kind: "stream", sentFor: 6 * clock.Second, disturb: resumeFirst},
		"streams that are moved":                     {kind: "stream", sentFor: 6 * clock.Second, disturb: leaveSome},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				c := newCluster(t, seed, cmp.Or(test.instances, 4))
				c.timeout, c.omits = 12*clock.Second, test.omits
				for _, s := range c.servers {
					if test.models == 2 && s.entry.Service == "engines" {
						s.entry = s.entry.WithWeightVersion("other", 1)
					}
					s.entry.Slots = cmp.Or(test.slots, s.entry.Slots)
				}
				for i := range c.settings {
					c.settings[i].Bounds.RetryExtra = 1000
					if test.noRetries {
						c.settings[i].Bounds.RetryExtra, c.settings[i].Bounds.RetryRatio = 0, 0
					}
					c.startInstance(i)
				}
				c.run(300)
				for i := range c.instances {
					// Without leases nobody orders engines to load weights.
					c.storeCutOff[i] = true
				}
				c.after(100, func() {
					c.publishedVersion, c.publishedAt[2] = 2, c.now
					for i := range c.instances {
						c.publishTo(i, 2)
					}
				})
				c.after(clock.Second, func() { c.loadWeights(test.updated) })
				for end := c.now.Add(test.sentFor); c.now < end; {
					c.confirmAll()
					for _, s := range c.servers {
						s.queue = clock.Millis(c.random.IntN(4000))
						if s.entry.WeightVersions[model] == 2 {
							s.queue = 0
						}
						if test.sentFor < clock.Second {
							s.queue = 6500
						}
					}
					if test.disturb != nil {
						test.disturb(c)
					}
					c.sendRequest(c.random.IntN(len(c.instances)), test.kind)
					c.run(20)
				}
				for _, s := range c.servers {
					s.queue = 0
				}
				c.runConfirmed(12 * clock.Second)
				c.checkInvariants()
				require.GreaterOrEqual(t, c.servedFraction(), test.served, "seed %d", seed)
			}
		})
	}
}

// failSome lets servers decline, break off and not receive requests.
func failSome(c *cluster) {
	c.faultPercents = map[forwarder.Outcome]int{forwarder.OutcomeDeclined: 20, forwarder.OutcomeInterrupted: 20, forwarder.OutcomeNotSent: 10}
}

// crashSome lets servers crash and come back.
func crashSome(c *cluster) { c.oneIn(20, c.crashServer) }

// leaveSome lets an engine say every second that it will stop, so that its streams move.
func leaveSome(c *cluster) {
	c.streamDuration = 4 * clock.Second
	if n := len(c.requests); n%50 == 49 {
		c.servers[fmt.Sprint("e", n/50)].leaving = true
	}
}

// resumeFirst lets callers resume the first stream that has begun.
func resumeFirst(c *cluster) {
	for n := 0; c.resumed == "" && n < len(c.requests); n++ {
		if id := fmt.Sprint("stream-", n); c.requests[id].partDelivered {
			c.resumed = id
		}
	}
}

// loadWeights gives a number of engines the newest weights, as they report themselves.
func (c *cluster) loadWeights(count int) {
	for _, id := range c.serverIDs()[:count] {
		s := c.servers[id]
		s.entry = s.entry.WithWeightVersion(model, c.publishedVersion)
		s.entry.Revision++
		for i := range c.instances {
			c.step(i, forwarder.ServerChanged{Entry: s.entry})
		}
	}
}

// superseded returns an instance of six engines, or without some of them, with a queue, whose weights were
// superseded some time ago and that orders none to load others.
func superseded(t *testing.T, queue, ago clock.Millis, without ...string) *cluster {
	c := newCluster(t, 1, 1)
	for _, id := range without {
		delete(c.servers, id)
	}
	c.timeout = 12 * clock.Second
	c.settings[0].Bounds.RetryExtra = 1000
	c.startInstance(0)
	c.run(300)
	c.storeCutOff[0] = true
	for _, s := range c.servers {
		s.queue = queue
	}
	c.publishedVersion, c.publishedAt[2] = 2, c.now
	c.publishTo(0, 2)
	c.runConfirmed(ago)
	return c
}

// confirmAll confirms the state of all instances.
func (c *cluster) confirmAll() {
	for i := range c.instances {
		c.step(i, forwarder.StateConfirmed{ConfirmedAt: c.now})
	}
}

// runConfirmed advances the time while the instances' state is confirmed.
func (c *cluster) runConfirmed(duration clock.Millis) {
	for end := c.now.Add(duration); c.now < end; {
		c.confirmAll()
		c.run(min(500, end.Since(c.now)))
	}
}

// TestBegunStreamIsNotCutAtLimitOfItsWeights sends streams that begin in time and outlast the limit.
func TestBegunStreamIsNotCutAtLimitOfItsWeights(t *testing.T) {
	t.Parallel()
	for _, kind := range []string{"once", "stream"} {
		c := superseded(t, 2*clock.Second, clock.Second)
		c.streamDuration = 4 * clock.Second
		id := c.sendRequest(0, kind)
		c.runConfirmed(8 * clock.Second)
		require.IsType(t, forwarder.ForwardResponse{}, c.requests[id].finalAction, c.logOf(id))
	}
}

// TestSilentStreamIsCheckedAfterItsAlternativeIsWithdrawn withdraws the alternative of a stream whose own
// engine, which has new weights, stays silent.
func TestSilentStreamIsCheckedAfterItsAlternativeIsWithdrawn(t *testing.T) {
	t.Parallel()
	c := superseded(t, 0, 0)
	c.loadWeights(1)
	c.runConfirmed(4 * clock.Second)
	for _, s := range c.servers {
		s.queue = 11 * clock.Second
	}
	id := c.sendRequest(0, "stream")
	c.runConfirmed(1300)
	c.loadWeights(len(c.servers))
	for _, s := range c.servers {
		s.queue = 0
	}
	c.runConfirmed(4 * clock.Second)
	require.IsType(t, forwarder.ForwardResponse{}, c.requests[id].finalAction, c.logOf(id))
}

// TestLowerAgeLimitAppliesToWaitingRequests lowers the age limit while requests wait at engines.
func TestLowerAgeLimitAppliesToWaitingRequests(t *testing.T) {
	t.Parallel()
	for offset := clock.Millis(0); offset < clock.Second; offset += 100 {
		c := superseded(t, 3*clock.Second, offset)
		id := c.sendRequest(0, "stream")
		c.runConfirmed(2200)
		c.settings[0].Bounds.MaxWeightsAge = offset + 2500
		c.step(0, forwarder.SettingsReloaded{Settings: c.settings[0]})
		c.runConfirmed(4 * clock.Second)
		require.Equal(t, 1, c.requests[id].finalActions, c.logOf(id))
	}
}
