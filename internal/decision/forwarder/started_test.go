package forwarder_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
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
