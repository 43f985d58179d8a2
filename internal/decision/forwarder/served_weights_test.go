package forwarder_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/replicator"
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
		"as sent":                    {served: 1, want: []string{"attemptFirstToken request=stream-0 server=e0 attempt=1 weights=1 supersededFor=1000ms versionsAge=never served=1 "}, not: []string{differs}, next: 1},
		"no version":                 {want: []string{"attemptFirstToken request=stream-0 server=e0 attempt=1 weights=1 supersededFor=1000ms versionsAge=never after="}, not: []string{differs}, next: 1},
		"a newer one":                {served: 2, want: []string{differs + " request=stream-0 server=e0 attempt=1 sent=1 served=2", "weights=1 supersededFor=1000ms versionsAge=never served=2 "}, not: []string{"served=2 supersededFor"}, next: 2},
		"an older one":               {sent: 2, served: 1, want: []string{differs + " request=stream-0 server=e0 attempt=1 sent=2 served=1 supersededFor=1000ms", "weights=2 versionsAge=never served=1 "}, next: 1},
		"as sent, loaded since":      {served: 1, loaded: 2, want: []string{"served=1 "}, not: []string{differs}, next: 2},
		"no events":                  {served: 2, ended: true, want: []string{differs + " request=stream-0 server=e0 attempt=1 sent=1 served=2"}, not: []string{"attemptFirstToken"}, next: 2},
		"of an alternative":          {alternative: true, served: 2, want: []string{differs + " request=stream-0 server=e1 attempt=2 sent=1 served=2"}},
		"of an alternative, as sent": {alternative: true, served: 1, want: []string{"attemptFirstToken request=stream-0 server=e1 attempt=2 weights=1 "}, not: []string{differs}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			others := []string{"e1", "e2", "e3", "e4", "e5"}
			if test.alternative {
				others = others[1:]
			}
			c := superseded(t, 11*clock.Second, 0, others...)
			if test.sent == 2 {
				c.loadWeights(1)
			}
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

// TestAgeOfPublishedVersionsIsLogged confirms the copy of the published versions before a request is sent,
// and between the choice of its server and its first event.
func TestAgeOfPublishedVersionsIsLogged(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		kind string
		// before and between are the ages of the confirmations; 0 for none.
		before, between clock.Millis
		chosen, began   string
	}{
		"no copy":                  {kind: "stream", chosen: "versionsAge=never", began: "versionsAge=never"},
		"an old copy":              {kind: "stream", before: 4000, chosen: "versionsAge=4000ms", began: "versionsAge=4500ms"},
		"one that is confirmed":    {kind: "stream", before: 4000, between: 20, chosen: "versionsAge=4000ms", began: "versionsAge=20ms"},
		"a server without weights": {kind: "lookup", before: 4000},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := superseded(t, 11*clock.Second, 5*clock.Second)
			confirm := func(age clock.Millis) {
				if age > 0 {
					c.step(0, forwarder.ReplicaUpdated{Kind: replicator.Weights, Copy: replicator.Copy{Revision: 9, Through: 9, ConfirmedAt: c.now.Add(-age)}})
				}
			}
			c.loadWeights(6)
			confirm(test.before)
			id := c.sendRequest(0, test.kind)
			require.Contains(t, c.logOf(id), test.chosen)
			if test.began == "" {
				require.NotContains(t, c.logOf(id), "versionsAge")
				return
			}
			c.now = c.now.Add(500)
			confirm(test.between)
			c.step(0, forwarder.StreamStarted{Request: id, Attempt: 1})
			_, began, _ := strings.Cut(c.logOf(id), "attemptFirstToken")
			require.Contains(t, began, test.began)
		})
	}
}
