package forwarder_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/replicator"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// TestStreamsBegunBeforeAssignmentsAreListed guards against streams that an instance which has just
// started begins at any version, and that go on at the one that the store names: no other instance
// learns where they began.
func TestStreamsBegunBeforeAssignmentsAreListed(t *testing.T) {
	c := newCluster(t, 1, 3)
	c.assignments = map[string]forwarder.Assignment{}
	c.setSoftwareVersions("v1", "v2")
	c.run(4 * clock.Second)
	require.True(t, c.assignments["engines"].Record.Settled())
	c.settings[0].FirstStart = false
	c.storeCutOff[0] = true
	c.startInstance(0)
	c.cut = func(from, to int) bool { return from == 0 || to == 0 }
	begin := func() {
		for range 40 {
			id := c.sendRequest(0, "stream")
			c.run(20)
			c.step(0, forwarder.CallerDisconnected{Request: id})
		}
	}
	begin()
	readyBefore := c.instances[0].ReadyAt(c.now)
	c.storeCutOff[0] = false
	c.listAssignments(0)
	require.True(t, c.instances[0].ReadyAt(c.now))
	begin()
	began := c.requests
	c.requests, c.stopped[0] = map[string]*request{}, true
	goOn := 0
	for id, first := range began {
		if !first.partDelivered {
			continue
		}
		r := c.resumeStreamOf(first.softwareVersions, 1, "again-"+id, "stream", id, "1")
		c.run(800)
		require.Len(t, r.softwareVersions, 1, c.logOf(id)+c.logOf("again-"+id))
		if r.partDelivered {
			goOn++
		}
	}
	require.Equal(t, 40, goOn)
	require.False(t, readyBefore)
}

// TestInstanceWithoutVersionsIsNotReady guards against requests that begin on weights superseded long ago at an
// instance that has read the servers, but not the versions of their weights.
func TestInstanceWithoutVersionsIsNotReady(t *testing.T) {
	t.Parallel()
	copied := replicator.Copy{Era: 1, Revision: 9, Through: 9, ConfirmedAt: clock.Second}
	tests := map[string]struct {
		event   forwarder.Event // event follows the list of servers, after a time.
		after   clock.Millis
		unnamed bool // unnamed reports whether the servers name no weights.
		ready   bool
	}{
		"nothing":                        {forwarder.Tick{}, 100, false, false},
		"nothing for seconds":            {forwarder.Tick{}, 2900, false, false},
		"nothing although asked twice":   {forwarder.Tick{}, 3 * clock.Second, false, true},
		"a copy of the versions":         {forwarder.ReplicaUpdated{Kind: replicator.Weights, Copy: copied}, 100, false, true},
		"a copy of the state":            {forwarder.ReplicaUpdated{Kind: replicator.State, Copy: copied}, 100, false, false},
		"a version":                      {forwarder.WeightsPublished{Model: model, Version: 2}, 100, false, true},
		"a version of another model":     {forwarder.WeightsPublished{Model: "another", Version: 2}, 100, false, false},
		"nothing, and no server has any": {forwarder.Tick{}, 100, true, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 1, 1)
			if test.unnamed {
				for _, s := range c.servers {
					s.entry.WeightVersions = nil
				}
			}
			c.instances[0] = forwarder.New(c.settings[0], "start-again", 1)
			c.step(0, forwarder.StateRead{State: newDesiredState(1), ConfirmedAt: c.now})
			c.listAssignments(0)
			c.listServers(0)
			c.now = c.now.Add(test.after)
			c.step(0, test.event)
			require.Equal(t, test.ready, c.instances[0].ReadyAt(c.now))
		})
	}
}
