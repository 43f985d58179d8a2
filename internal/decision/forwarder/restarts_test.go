package forwarder_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/desired"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/digest"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/originmessage"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/registry"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/rollout"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/secret"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// TestLateDatagramOfEarlierStart guards against a datagram that a peer sent before its restart and
// that arrives after it: the tokens that both starts have admitted would be subtracted again.
func TestLateDatagramOfEarlierStart(t *testing.T) {
	p := newPausable(1)
	state := pausableState(2, goodKey)
	state.Teams["press"] = desired.Team{Name: "press", Rate: 1, Burst: pausableBurst, LimitsTokens: true, DefaultTokens: pausableBurst / 2}
	p.step(forwarder.StateRead{State: state, ConfirmedAt: p.now})
	receive := func(incarnation uint32, sequence uint64, admitted int64, leaving bool) {
		p.now = p.now.Add(10)
		admittedByTeam := map[uint32]int64{digest.ID("press"): admitted}
		p.step(forwarder.DigestReceived{Digest: digest.Digest{Name: "edge-1", Domain: "a", Address: "10.0.0.2:7600", Incarnation: incarnation, Sequence: sequence, Scope: digest.Subtree, Top: true, Members: 1, Admitted: admittedByTeam, Leaving: leaving}})
	}
	receive(7, p.sent+1, 0, false)
	receive(8, 1, 50, false)
	for n := range uint64(20) {
		receive(7, p.sent+2+n, 300, true)
		receive(8, 2+n, 50, false)
	}
	_, sent := find[forwarder.Dispatch](p.request("1"))
	require.True(t, sent, "the bucket has 950 of 1,000 tokens, and the request costs 500")
}

// pausableStream lists three engines of one software version and a resumable route.
func pausableStream(p *pausable) {
	state := pausableState(2, goodKey)
	state.Routes[0].Kind, state.Routes[0].Resumable = desired.Stream, true
	p.step(forwarder.StateRead{State: state, ConfirmedAt: p.now})
	for _, id := range []string{"r0", "r1", "r2"} {
		p.step(forwarder.ServerChanged{Entry: registry.Entry{ID: id, Service: "records", Address: "10.1.0.1:80", Domain: "a", StartedAt: 1, SoftwareVersion: "v1", Revision: 1}})
	}
}

// TestStreamOfRestartedServerIsNotContinued guards against a stream whose first event comes after
// its server has restarted under its identifier with other software: which start sent the event is
// not known, so no server continues it, and no instance keeps an origin.
func TestStreamOfRestartedServerIsNotContinued(t *testing.T) {
	for name, restarts := range map[string]bool{"restarted": true, "not restarted": false} {
		t.Run(name, func(t *testing.T) {
			p := newPausable(3)
			pausableStream(p)
			dispatch, ok := find[forwarder.Dispatch](p.request("1"))
			require.True(t, ok)
			if restarts {
				p.step(forwarder.ServerChanged{Entry: registry.Entry{ID: dispatch.Server, Service: "records", Address: "10.1.0.1:80", Domain: "a", StartedAt: 2, SoftwareVersion: "v2", Revision: 2}})
			}
			started := p.step(forwarder.StreamStarted{Request: "1", Attempt: dispatch.Attempt})
			ended := p.step(forwarder.AttemptEnded{Request: "1", Attempt: dispatch.Attempt, Outcome: forwarder.OutcomeNotSent, Status: 200, Delivered: true, LastEventID: "1"})
			_, continued := find[forwarder.Dispatch](ended)
			require.Equal(t, !restarts, continued)
			began, told := find[forwarder.SendOrigin](append(started, ended...))
			require.Equal(t, !restarts, told && began.Message.Kind == originmessage.Began)
		})
	}
}

// TestLateReplyOfEarlierStart guards against a reply to a query of an earlier start of the
// instance: the identifiers of the queries differ.
func TestLateReplyOfEarlierStart(t *testing.T) {
	ids := map[uint64]bool{}
	for seed := range uint64(20) {
		p := newSeededPausable(3, 0x9e3779b97f4a7c15*(seed+1))
		pausableStream(p)
		p.step(forwarder.ServerChanged{Entry: registry.Entry{ID: "r0", Service: "records", Address: "10.1.0.1:80", Domain: "a", StartedAt: 1, SoftwareVersion: "v2", Revision: 2}})
		request := forwarder.Request{ID: "2", Host: "h", Path: "/x", Key: secret.New(goodKey), LastEventID: "4", ResumedRequest: "1"}
		query, ok := find[forwarder.SendOrigin](p.step(forwarder.RequestArrived{Request: request}))
		require.True(t, ok)
		require.False(t, ids[query.Message.ID])
		ids[query.Message.ID] = true
	}
}

// TestOlderStateStaysOut guards against an older desired state, with a key that was withdrawn, that
// an instance reads from a peer after its own restart.
func TestOlderStateStaysOut(t *testing.T) {
	p := newPausable(1)
	p.step(forwarder.StateRead{State: pausableState(5, "another key"), ConfirmedAt: p.now})
	p.now = p.now.Add(clock.Second)
	p.step(forwarder.StateRead{State: pausableState(4, goodKey), ConfirmedAt: p.now})
	refused, ok := find[forwarder.Refuse](p.request("1"))
	require.True(t, ok)
	require.Equal(t, 401, refused.Status)
}

// TestStreamGoesToNoUnlistedStart guards against a stream whose text is joined from two software versions: it
// breaks, and goes on at an engine that has started again with other software and is still listed with the
// earlier one.
func TestStreamGoesToNoUnlistedStart(t *testing.T) {
	const other = "r1"
	gone := forwarder.EngineReported{Server: other, Report: rollout.Report{Failed: true, Unreachable: true, Gone: true}}
	interrupted := forwarder.AttemptEnded{Request: "before", Attempt: 1, Outcome: forwarder.OutcomeInterrupted}
	report := func(startedAt int64) forwarder.Event {
		return forwarder.EngineReported{Server: other, Report: rollout.Report{StartedAt: startedAt, WeightVersions: map[string]int64{model: 1}}}
	}
	entry := func(startedAt int64, version string) registry.Entry {
		listed := registry.Entry{ID: other, Service: "records", Address: "10.1.0.2:80", Domain: "a", StartedAt: startedAt, SoftwareVersion: version, Revision: startedAt}
		return listed.WithWeightVersion(model, 1)
	}
	for name, test := range map[string]struct {
		trouble forwarder.Event // trouble is what happens to the other engine; nil for nothing.
		after   []forwarder.Event
		wait    clock.Millis
		asked   bool // asked reports whether the engine is asked for its start.
		goesOn  bool
	}{
		"no trouble":                     {goesOn: true},
		"gone":                           {trouble: gone, asked: true},
		"gone, no report comes":          {trouble: gone, wait: 4 * clock.Second, goesOn: true},
		"gone, the same start":           {trouble: gone, after: []forwarder.Event{report(1)}, asked: true, goesOn: true},
		"gone, a failed report":          {trouble: gone, after: []forwarder.Event{forwarder.EngineReported{Server: other, Report: rollout.Report{Failed: true}}}, asked: true},
		"gone, another start":            {trouble: gone, after: []forwarder.Event{report(2)}, asked: true},
		"another start, for long":        {trouble: gone, after: []forwarder.Event{report(2)}, wait: 4 * clock.Second},
		"another start, listed the same": {trouble: gone, after: []forwarder.Event{report(2), forwarder.ServerChanged{Entry: entry(2, "v1")}}, asked: true, goesOn: true},
		"another start, listed with v2":  {trouble: gone, after: []forwarder.Event{report(2), forwarder.ServerChanged{Entry: entry(2, "v2")}}, asked: true},
		"it broke off a response":        {trouble: interrupted, asked: true},
		"broke off, the same start":      {trouble: interrupted, after: []forwarder.Event{report(1)}, asked: true, goesOn: true},
		"broke off, another start":       {trouble: interrupted, after: []forwarder.Event{report(2)}, asked: true},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPausable(0)
			state := pausableState(2, goodKey)
			state.Routes[0].Kind, state.Routes[0].Resumable, state.Routes[0].Timeout = desired.Stream, true, 30*clock.Second
			p.step(forwarder.StateRead{State: state, ConfirmedAt: p.now})
			first := entry(1, "v1")
			first.ID = "r0"
			p.step(forwarder.ServersListed{Entries: []registry.Entry{first}})
			begun, ok := find[forwarder.Dispatch](p.request("stream"))
			require.True(t, ok)
			p.step(forwarder.StreamStarted{Request: "stream", Attempt: begun.Attempt})
			p.step(forwarder.ServerChanged{Entry: entry(1, "v1")})
			before, ok := find[forwarder.Dispatch](p.request("before"))
			require.True(t, ok)
			require.Equal(t, other, before.Server)
			if test.trouble != nil {
				p.step(test.trouble)
				p.step(forwarder.HealthChecked{Server: other, Healthy: true})
			}
			var actions []forwarder.Action
			pass := func(duration clock.Millis) {
				for end := p.now.Add(duration); p.now < end; p.now = p.now.Add(20) {
					actions = append(actions, p.step(forwarder.StateConfirmed{ConfirmedAt: p.now})...)
				}
			}
			report := func() {
				for _, event := range test.after {
					actions = append(actions, p.step(event)...)
				}
			}
			if test.wait > 0 {
				report()
				pass(test.wait)
			}
			actions = p.step(forwarder.AttemptEnded{Request: "stream", Attempt: begun.Attempt, Outcome: forwarder.OutcomeInterrupted, Status: 200, Delivered: true, LastEventID: "1"})
			actions = append(actions, p.step(forwarder.HealthChecked{Server: "r0", Healthy: true})...)
			pass(100)
			if test.wait == 0 {
				report()
			}
			pass(200)
			asked, goesOn := false, false
			for _, action := range actions {
				switch action := action.(type) {
				case forwarder.CallEngine:
					asked = asked || action.Step.(rollout.RequestReport).Server == other
				case forwarder.Dispatch:
					goesOn = goesOn || action.Request == "stream" && action.Server == other
				}
			}
			require.Equal(t, test.asked, asked, "the engine is asked for its start")
			require.Equal(t, test.goesOn, goesOn, "the stream goes on there")
		})
	}
}
