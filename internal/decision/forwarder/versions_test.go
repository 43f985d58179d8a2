package forwarder_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// receiveEvent records that the caller has received an event of the server.
func (r *request) receiveEvent(s *server) {
	if r.softwareVersions == nil {
		r.softwareVersions = map[string]bool{}
	}
	r.softwareVersions[s.entry.SoftwareVersion] = true
}

// setSoftwareVersions gives the engines the versions in turn and lists them.
func (c *cluster) setSoftwareVersions(versions ...string) {
	for i, id := range c.serverIDs() {
		s := c.servers[id]
		s.entry.SoftwareVersion = versions[i%len(versions)]
		s.entry.Revision++
	}
	for i := range c.instances {
		c.listServers(i)
	}
}

// TestStreamGoesOnlyOnAtItsSoftwareVersion interrupts streams in front of engines of two
// software versions. Within one response, no stream may hold events of both, while a
// request that has received none may be sent to an engine of the other.
func TestStreamGoesOnlyOnAtItsSoftwareVersion(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		versions []string
		prepare  func(c *cluster)
	}{
		"interrupted":               {[]string{"v1", "v2"}, func(c *cluster) { c.faultPercents[forwarder.OutcomeInterrupted] = 40 }},
		"corrupted":                 {[]string{"v1", "v2"}, func(c *cluster) { c.faultPercents[forwarder.OutcomeCorrupted] = 40 }},
		"a version that is unnamed": {[]string{"", "v2"}, func(c *cluster) { c.faultPercents[forwarder.OutcomeInterrupted] = 40 }},
		"moved for new weights": {[]string{"v1", "v2"}, func(c *cluster) {
			c.streamDuration, c.loadDuration = 1300, 3*clock.Second
			c.after(400, c.publishWeights)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 3, 1)
			c.settings[0].Bounds.RetryRatio = 1
			c.startInstance(0)
			c.setSoftwareVersions(test.versions...)
			c.run(300)
			test.prepare(c)
			for range 60 {
				c.sendRequest(0, "stream")
				c.run(20)
			}
			c.run(5 * clock.Second)
			c.checkInvariants()
			resumed := 0
			for id, r := range c.requests {
				require.LessOrEqual(t, len(r.softwareVersions), 1, "%s has events of two versions\n%s", id, c.logOf(id))
				if r.partDelivered && r.attempts > 1 {
					resumed++
				}
			}
			require.Positive(t, resumed, "some streams go on elsewhere")
			require.Greater(t, c.servedFraction(), 0.5)
		})
	}
}
