package forwarder_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/secret"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// arrive delivers a request whose attempts the test ends itself, and returns the actions.
func (c *cluster) arrive(i int, id, kind string) []forwarder.Action {
	c.requests[id] = &request{instance: i, kind: kind, sentAt: c.now}
	return c.instances[i].Step(c.now, forwarder.RequestArrived{Request: forwarder.Request{ID: id, Host: host, Method: "POST", Path: "/" + kind + "/x", Key: secret.New(goodKey), CallerTimeout: 2500, Fingerprint: id}})
}

// dispatchOf returns the first attempt among the actions that is an alternative, or is none.
func dispatchOf(actions []forwarder.Action, alternative bool) (forwarder.Dispatch, bool) {
	for _, action := range actions {
		if dispatch, ok := action.(forwarder.Dispatch); ok && dispatch.Alternative == alternative {
			return dispatch, true
		}
	}
	return forwarder.Dispatch{}, false
}

// TestAnswerOfAlternativeDoesNotStopRequests has a request answered by an alternative, and then stops
// the instance: the next request must be served.
func TestAnswerOfAlternativeDoesNotStopRequests(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 1)
	c.run(12 * clock.Second)
	for range 5 {
		c.sendRequest(0, "lookup")
		c.run(300)
	}
	_, sent := dispatchOf(c.arrive(0, "silent", "lookup"), false)
	require.True(t, sent)
	alternative, tried := forwarder.Dispatch{}, false
	for range 400 {
		c.now += 5
		if alternative, tried = dispatchOf(c.instances[0].Step(c.now, forwarder.Tick{}), true); tried {
			break
		}
	}
	require.True(t, tried)
	c.now += 20
	c.instances[0].Step(c.now, forwarder.AttemptEnded{Request: "silent", Attempt: alternative.Attempt, Outcome: forwarder.OutcomeCompleted, Status: 200})
	c.step(0, forwarder.DrainRequested{StopAt: c.now.Add(stopTime)})
	id := c.sendRequest(0, "lookup")
	c.run(2 * clock.Second)
	require.IsType(t, forwarder.ForwardResponse{}, c.requests[id].finalAction, c.logOf(id))
}

// TestRequestsOfServiceThatCreatesAreServedInStop guards against a service whose responses have another
// status than 200, so that a stopping instance knows no time of it and refuses its requests.
func TestRequestsOfServiceThatCreatesAreServedInStop(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 3)
	c.run(5 * clock.Second)
	for _, id := range []string{"a", "b", "c"} {
		dispatch, sent := dispatchOf(c.arrive(0, id, "filing"), false)
		require.True(t, sent)
		c.now += 20
		c.instances[0].Step(c.now, forwarder.AttemptEnded{Request: id, Attempt: dispatch.Attempt, Outcome: forwarder.OutcomeCompleted, Status: 201})
	}
	c.instances[0].Step(c.now, forwarder.DrainRequested{StopAt: c.now.Add(3 * clock.Second)})
	_, sent := dispatchOf(c.arrive(0, "late", "filing"), false)
	require.True(t, sent)
}

// TestLoneInstanceCutsNoStreamInStop stops the only instance. A stream that arrives meanwhile is served
// if it fits with a reserve, and else refused until the next process serves.
func TestLoneInstanceCutsNoStreamInStop(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		known  bool // known reports whether streams have ended before.
		gap    int  // gap is the time between two events in the stop; 60 ms before it.
		left   clock.Millis
		served bool
	}{
		"no stream known, much time left":   {gap: 60, left: 5000, served: true},
		"no stream known, little time left": {gap: 60, left: 200},
		"much time left":                    {known: true, gap: 75, left: 3000, served: true},
		"little time left, servers slower":  {known: true, gap: 75, left: 1400},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 1, 1)
			c.eventGap = func() clock.Millis { return 60 }
			c.run(3 * clock.Second)
			for range 3 {
				if test.known {
					c.sendRequest(0, "stream")
				}
			}
			c.run(3 * clock.Second)
			c.step(0, forwarder.DrainRequested{StopAt: c.now.Add(stopTime)})
			c.eventGap = func() clock.Millis { return clock.Millis(test.gap) }
			c.run(stopTime - test.left)
			id := c.sendRequest(0, "stream")
			c.run(test.left)
			c.step(0, forwarder.DrainExpired{})
			if test.served {
				require.IsType(t, forwarder.ForwardResponse{}, c.requests[id].finalAction, c.logOf(id))
				return
			}
			refusal, refused := c.requests[id].finalAction.(forwarder.Refuse)
			require.True(t, refused, c.logOf(id))
			require.Equal(t, 503, refusal.Status)
			require.Greater(t, refusal.RetryAfter, test.left)
		})
	}
}

// TestStreamsAtUnknownPaceAreNotCutInStop guards against an instance with few streams that takes one late
// in its stop by an old estimate, when the servers have become slower since.
func TestStreamsAtUnknownPaceAreNotCutInStop(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		// sinceStream is the time from the latest event of another stream to the arrival, and firstEvent
		// that from there to the first event.
		sinceStream, firstEvent clock.Millis
		gap                     int // gap is the time between two events of the late stream; 60 ms before.
		status                  int // status is that of the refusal; 0 if the stream is served.
		sent                    bool
	}{
		"pace known":                      {sinceStream: 300, gap: 60, sent: true},
		"no stream lately":                {sinceStream: 2500, gap: 260, status: 503},
		"no stream until the first event": {sinceStream: 300, firstEvent: 2500, gap: 130, status: 502, sent: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 1, 2)
			c.timeout = 12 * clock.Second
			c.eventGap = func() clock.Millis { return 60 }
			for i := range c.instances {
				c.startInstance(i)
			}
			c.run(3 * clock.Second)
			drainingSince := c.now
			c.step(0, forwarder.DrainRequested{ListenUntil: c.now.Add(listenTime), StopAt: c.now.Add(stopTime)})
			c.run(listenTime - clock.Second - test.sinceStream)
			first := c.sendRequest(0, "once")
			c.run(1300 + test.sinceStream)
			require.IsType(t, forwarder.ForwardResponse{}, c.requests[first].finalAction, c.logOf(first))
			c.eventGap = func() clock.Millis { return clock.Millis(test.gap) }
			c.firstEventDelays = map[string]clock.Millis{"once": test.firstEvent}
			late := c.sendRequest(0, "once")
			c.run(drainingSince.Add(stopTime).Since(c.now))
			c.step(0, forwarder.DrainExpired{})
			require.Equal(t, test.sent, c.requests[late].attempts > 0, c.logOf(late))
			refusal, _ := c.requests[late].finalAction.(forwarder.Refuse)
			require.Equal(t, test.status, refusal.Status, c.logOf(late))
			if test.status == 0 {
				require.IsType(t, forwarder.ForwardResponse{}, c.requests[late].finalAction, c.logOf(late))
			}
		})
	}
}
