package forwarder_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/rollout"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// TestServedWeightsAreLogged answers a request a second after it was sent and version 2 of the weights was
// published.
func TestServedWeightsAreLogged(t *testing.T) {
	t.Parallel()
	const differs = "otherWeightsServed"
	for name, test := range map[string]struct {
		// alternative reports whether a server answers that was tried beside a silent one.
		alternative bool
		// sent is the version that was sent; 0 for version 1. loaded is the one that the server has reported
		// since; 0 for the same.
		sent, loaded, served int64
		// ended reports whether the response has no events.
		ended     bool
		want, not []string
		next      int64
	}{
		"as sent":                    {served: 1, want: []string{"attemptFirstToken request=stream-0 server=e0 attempt=1 weights=1 supersededFor=1000ms served=1 "}, not: []string{differs}, next: 1},
		"no version":                 {want: []string{"attemptFirstToken request=stream-0 server=e0 attempt=1 weights=1 supersededFor=1000ms after="}, not: []string{differs}, next: 1},
		"a newer one":                {served: 2, want: []string{differs + " request=stream-0 server=e0 attempt=1 sent=1 served=2", "weights=1 supersededFor=1000ms served=2 "}, not: []string{"served=2 supersededFor"}, next: 2},
		"an older one":               {sent: 2, served: 1, want: []string{differs + " request=stream-0 server=e0 attempt=1 sent=2 served=1 supersededFor=1000ms", "weights=2 served=1 "}, next: 1},
		"as sent, loaded since":      {served: 1, loaded: 2, want: []string{"served=1 "}, not: []string{differs}, next: 2},
		"no events":                  {served: 2, ended: true, want: []string{differs + " request=stream-0 server=e0 attempt=1 sent=1 served=2"}, not: []string{"attemptFirstToken"}, next: 2},
		"of an alternative":          {alternative: true, served: 2, want: []string{differs + " request=stream-0 server=e1 attempt=2 sent=1 served=2"}},
		"of an alternative, as sent": {alternative: true, served: 1, want: []string{"attemptFirstToken request=stream-0 server=e1 attempt=2 weights=1 "}, not: []string{differs}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 1, 1)
			c.timeout = 12 * clock.Second
			for _, id := range []string{"e1", "e2", "e3", "e4", "e5"} {
				if id != "e1" || !test.alternative {
					delete(c.servers, id)
				}
			}
			c.settings[0].Bounds.RetryExtra = 1000
			for _, s := range c.servers {
				s.queue = 11 * clock.Second
				s.entry = s.entry.WithWeightVersion(model, max(1, test.sent))
			}
			c.startInstance(0)
			c.run(300)
			c.storeCutOff[0] = true
			c.publishTo(0, 2)
			id := c.sendRequest(0, "stream")
			c.runConfirmed(clock.Second)
			dispatch := c.requests[id].lastDispatch
			require.Equal(t, test.alternative, dispatch.Alternative)
			if test.loaded > 0 {
				c.step(0, forwarder.EngineReported{Server: "e0", Report: rollout.Report{WeightVersions: map[string]int64{model: test.loaded}, StartedAt: 1}})
			}
			if test.ended {
				c.step(0, forwarder.AttemptEnded{Request: id, Attempt: dispatch.Attempt, Outcome: forwarder.OutcomeCompleted, Status: 200, WeightsVersion: test.served})
			} else {
				c.step(0, forwarder.StreamStarted{Request: id, Attempt: dispatch.Attempt, WeightsVersion: test.served})
			}
			for _, want := range test.want {
				require.Contains(t, c.logOf(id), want)
			}
			for _, not := range test.not {
				require.NotContains(t, c.logOf(id), not)
			}
			if test.next > 0 {
				require.Equal(t, test.next, c.requests[c.sendRequest(0, "stream")].lastDispatch.WeightsVersion)
			}
		})
	}
}
