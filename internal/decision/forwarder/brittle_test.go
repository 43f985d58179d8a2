package forwarder_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
)

// TestServerThatIsNoLongerBrittle verifies that a server which lifts what it said gets all requests
// again, although others of its service said the same just before.
func TestServerThatIsNoLongerBrittle(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.keepOnly("r0")
	brittle := forwarder.ServerNotice{Server: "r0", StartedAt: 1, Brittle: forwarder.Brittleness{Known: true, Rejections: 2}}
	inFlight := func() int {
		before := len(c.callsTo("r0", 0, 0))
		for range 20 {
			c.sendRequest(0, "filing")
		}
		sent := len(c.callsTo("r0", 0, 0)) - before
		c.run(2000)
		return sent
	}
	c.step(0, brittle)
	require.Equal(t, 6, inFlight(), "the slots of the server")
	c.step(0, forwarder.ServerNotice{Server: "r0", StartedAt: 1, NotBrittle: true})
	c.logLines = nil
	require.Equal(t, 20, inFlight())
	require.Empty(t, c.linesWith("serverBrittle"))
	c.step(0, brittle)
	require.Equal(t, 6, inFlight())
}
