package forwarder_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/digest"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/instancesettings"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/registry"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// newInstanceInEra returns an instance that has read a desired state in the first era.
func newInstanceInEra(now clock.Millis) *forwarder.Forwarder {
	settings := instancesettings.Defaults()
	settings.Name, settings.Domain = "edge-0", "a"
	instance := forwarder.New(settings, "start", 1)
	for _, event := range []forwarder.Event{
		forwarder.Tick{}, forwarder.StoreEraSeen{Era: 1}, forwarder.StateRead{State: newDesiredState(4), ConfirmedAt: now},
		forwarder.ServersListed{Entries: []registry.Entry{{ID: "r0", Service: "records", StartedAt: 1, Era: 1, Revision: 70}}},
	} {
		instance.Step(now, event)
	}
	return instance
}

// logged returns how often the event is among the actions.
func logged(actions []forwarder.Action, number eventlog.Number) int {
	count := 0
	for _, action := range actions {
		if log, ok := action.(forwarder.Log); ok && log.Entry.Number == number {
			count++
		}
	}
	return count
}

// TestStateAfterAnEraChange verifies that after the store has come back from an older copy,
// a state with a lower version is not used, and that a copy is no evidence that no key was
// withdrawn since, until what was lost is written again.
func TestStateAfterAnEraChange(t *testing.T) {
	t.Parallel()
	changes := map[string]forwarder.Event{
		"the store tells":           forwarder.StoreEraSeen{Era: 2},
		"another instance tells":    forwarder.StoreEraSeen{Era: 2, From: "edge-1"},
		"a digest tells":            forwarder.DigestReceived{Digest: digest.Digest{Name: "edge-1", Incarnation: 1, Sequence: 1, Scope: digest.Subtree, Top: true, StoreEra: 2}},
		"several changes were lost": forwarder.StoreEraSeen{Era: 9, From: "edge-1"},
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			instance := newInstanceInEra(clock.Second)
			actions := instance.Step(5000, change)
			require.Equal(t, 1, logged(actions, eventlog.StoreEraChanged))
			require.Zero(t, logged(instance.Step(5010, change), eventlog.StoreEraChanged), "logged once")
			instance.Step(5100, forwarder.StateRead{State: newDesiredState(3), ConfirmedAt: 5100})
			instance.Step(5200, forwarder.StateConfirmed{ConfirmedAt: 5200})
			status := instance.StatusAt(5200)
			require.Equal(t, int64(4), status.StateVersion)
			require.Equal(t, 4200*clock.Millisecond, status.StateAge)
			require.GreaterOrEqual(t, status.StoreEra, int64(2))
			instance.Step(6000, forwarder.StateConfirmed{ConfirmedAt: 6000})
			require.Zero(t, instance.StatusAt(6000).StateAge)
		})
	}
}

// TestServersMissingAfterAnEraChange verifies that a server whose entry the older copy lacks
// is used until it would have been written again.
func TestServersMissingAfterAnEraChange(t *testing.T) {
	t.Parallel()
	entry := registry.Entry{ID: "r0", Service: "records", StartedAt: 1, Era: 2, Revision: 50}
	tests := map[string]struct {
		era         int64
		writtenBack bool
		after       clock.Millis
		known       bool
	}{
		"no change of the era":        {era: 1, known: false},
		"just after the change":       {era: 2, known: true},
		"it is not written again":     {era: 2, after: 2500, known: false},
		"it is written again":         {era: 2, writtenBack: true, after: 2500, known: true},
		"listed again without it":     {era: 2, after: 2000, known: true},
		"written back, a lower entry": {era: 2, writtenBack: true, after: 10_000, known: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			instance := newInstanceInEra(clock.Second)
			instance.Step(5000, forwarder.StoreEraSeen{Era: test.era})
			instance.Step(5010, forwarder.ServersListed{})
			if test.writtenBack {
				instance.Step(5500, forwarder.ServerChanged{Entry: entry})
			}
			instance.Step(5010+test.after, forwarder.Tick{})
			actions := instance.Step(5010+test.after, forwarder.ServerChanged{Entry: entry})
			require.Equal(t, !test.known, logged(actions, eventlog.ServerListed) == 1, "a server that was dropped is new")
		})
	}
}
