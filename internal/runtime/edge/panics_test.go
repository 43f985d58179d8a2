package edge

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/digest"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/instancesettings"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/datagram"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/meter"
)

// entries records log entries.
type entries []eventlog.Entry

// Write records an entry.
func (e *entries) Write(entry eventlog.Entry) { *e = append(*e, entry) }

// TestPanicOfDatagramEndsNothing guards against a datagram that ends the process, and with it all
// instances that receive it.
func TestPanicOfDatagramEndsNothing(t *testing.T) {
	var logged entries
	e := &Edge{meter: meter.New(), logger: &logged}
	panics := true
	e.machine = newStateMachine(forwarder.New(instancesettings.Defaults(), "i", 1), func(forwarder.Action) {
		if panics {
			panic("a fault of the program")
		}
	})
	defer e.machine.close()
	encoded, err := datagram.EncodeDigest(digest.Digest{Name: "edge-1", Incarnation: 1, Sequence: 1, Scope: digest.Subtree})
	require.NoError(t, err)
	require.NotPanics(t, func() { e.handleDatagram(encoded) })
	require.Len(t, logged, 1)
	require.Equal(t, eventlog.PanicRecovered, logged[0].Number)
	panics = false
	e.handleDatagram(encoded)
	require.Zero(t, e.machine.inFlight(), "the state machine is not locked")
	require.Len(t, logged, 1)
}
