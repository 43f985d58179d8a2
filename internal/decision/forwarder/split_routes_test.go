package forwarder_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/desired"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/registry"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// splitState returns a state whose open route of resumable streams leads to the services.
func splitState(version int64, split ...desired.WeightedService) desired.State {
	state := pausableState(version, goodKey)
	state.Services["others"] = desired.Service{Name: "others"}
	state.Routes[0].Kind, state.Routes[0].Resumable, state.Routes[0].Open, state.Routes[0].Split = desired.Stream, true, true, split
	return state
}

// TestUnnamedStreamStaysAtItsService guards against a stream whose text is joined from two services: its caller
// takes it up again without naming it, and the new request is drawn for the other service of the route, or the
// route has been moved there meanwhile.
func TestUnnamedStreamStaysAtItsService(t *testing.T) {
	t.Parallel()
	records, others := desired.WeightedService{Service: "records", Weight: 1}, desired.WeightedService{Service: "others", Weight: 1}
	unused := desired.WeightedService{Service: "others"}
	same := forwarder.Request{Fingerprint: "same", PromptParts: nil, SplitHash: 1}
	for name, test := range map[string]struct {
		before, after []desired.WeightedService // after is nil for no change.
		age           clock.Millis              // age is the time from the change to the second request.
		// seen reports whether this instance has sent the first event.
		seen   bool
		second forwarder.Request
		want   string // want is the service at which the second request runs; empty for a refusal.
	}{
		"one service":                       {before: []desired.WeightedService{records}, second: same, want: "records"},
		"one service, another without part": {before: []desired.WeightedService{records, unused}, second: same, want: "records"},
		"two services, not seen":            {before: []desired.WeightedService{records, others}, second: same},
		"two services, the same request":    {before: []desired.WeightedService{records, others}, seen: true, second: same, want: "records"},
		"two services, another request":     {before: []desired.WeightedService{records, others}, seen: true, second: forwarder.Request{Fingerprint: "another", SplitHash: 1}},
		"two services, another model":       {before: []desired.WeightedService{records, others}, seen: true, second: forwarder.Request{Fingerprint: "same", Model: "other", SplitHash: 1}},
		"moved":                             {before: []desired.WeightedService{records}, after: []desired.WeightedService{others}, age: 5 * clock.Second, second: same},
		"moved long ago":                    {before: []desired.WeightedService{records}, after: []desired.WeightedService{others}, age: 31 * clock.Second, second: same, want: "others"},
		"split before, not now":             {before: []desired.WeightedService{records, others}, after: []desired.WeightedService{others}, age: 5 * clock.Second, second: same},
		"split since":                       {before: []desired.WeightedService{records}, after: []desired.WeightedService{records, others}, age: 5 * clock.Second, second: same},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPausable(0)
			p.step(forwarder.StateRead{State: splitState(2, test.before...), ConfirmedAt: p.now})
			var entries []registry.Entry
			for id, service := range map[string]string{"r0": "records", "r1": "records", "o0": "others", "o1": "others"} {
				entries = append(entries, registry.Entry{ID: id, Service: service, Address: "10.1.0.1:80", Domain: "a", StartedAt: 1, SoftwareVersion: "v1", Revision: 1})
			}
			p.step(forwarder.ServersListed{Entries: entries})
			p.run(40 * clock.Second)
			if test.seen {
				first := same
				first.ID, first.Host, first.Path, first.SplitHash = "first", "h", "/x", 0
				dispatch, ok := find[forwarder.Dispatch](p.step(forwarder.RequestArrived{Request: first}))
				require.True(t, ok)
				require.Contains(t, dispatch.Server, "r")
				p.step(forwarder.StreamStarted{Request: "first", Attempt: dispatch.Attempt})
				p.step(forwarder.CallerDisconnected{Request: "first"})
			}
			if test.after != nil {
				p.step(forwarder.StateRead{State: splitState(3, test.after...), ConfirmedAt: p.now})
				p.run(test.age)
			}
			second := test.second
			second.ID, second.Host, second.Path, second.LastEventID = "second", "h", "/x", "4"
			actions := p.step(forwarder.RequestArrived{Request: second})
			for range 20 {
				p.now = p.now.Add(50)
				actions = append(actions, p.step(forwarder.StateConfirmed{ConfirmedAt: p.now})...)
			}
			refused, isRefused := find[forwarder.Refuse](actions)
			dispatch, sent := find[forwarder.Dispatch](actions)
			require.NotEqual(t, isRefused, sent)
			if test.want == "" {
				require.Equal(t, 503, refused.Status, "it has not run")
				return
			}
			require.True(t, sent)
			require.Equal(t, test.want[:1], dispatch.Server[:1])
		})
	}
}
