package forwarder_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/desired"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/digest"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/originmessage"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/registry"
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
