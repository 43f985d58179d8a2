package edge

import (
	"bufio"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/instancesettings"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/streamchecker"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/httpserver"
)

// TestStreamMovedAtItsFirstEventKeepsIt guards against a first event that is dropped because its
// attempt was cancelled for a move: the next attempt goes on after it.
func TestStreamMovedAtItsFirstEventKeepsIt(t *testing.T) {
	tests := map[string]struct {
		actions []forwarder.Action
		ended   bool
	}{
		"sent":    {actions: []forwarder.Action{forwarder.Dispatch{Request: "r", Attempt: 1}}},
		"moved":   {actions: []forwarder.Action{forwarder.Dispatch{Request: "r", Attempt: 1}, forwarder.CancelAttempt{Request: "r", Attempt: 1}, forwarder.Dispatch{Request: "r", Attempt: 2}}},
		"refused": {actions: []forwarder.Action{forwarder.Dispatch{Request: "r", Attempt: 1}, forwarder.CancelAttempt{Request: "r", Attempt: 1}, forwarder.Refuse{Request: "r"}}, ended: true},
		"aborted": {actions: []forwarder.Action{forwarder.AbortStream{Request: "r"}}, ended: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := &Edge{}
			e.machine = newStateMachine(forwarder.New(instancesettings.Defaults(), "i", 1), e.perform)
			defer e.machine.close()
			_, ok := e.machine.register("r")
			require.True(t, ok)
			for _, action := range test.actions {
				e.perform(action)
			}
			require.Equal(t, test.ended, e.machine.hasEnded("r"))
		})
	}
}

// TestFirstEventOfWithdrawnAttemptIsNotForwarded guards against a stream that begins for the caller after
// the state machine has gone on without it: the next server may have other software.
func TestFirstEventOfWithdrawnAttemptIsNotForwarded(t *testing.T) {
	for name, alternative := range map[string]bool{"attempt": false, "alternative": true} {
		t.Run(name, func(t *testing.T) {
			e := &Edge{}
			e.machine = newStateMachine(forwarder.New(instancesettings.Defaults(), "i", 1), e.perform)
			defer e.machine.close()
			_, ok := e.machine.register("r")
			require.True(t, ok)
			h := newRequestHandler(e, &httpserver.InboundRequest{Method: "POST"}, nil, forwarder.Request{ID: "r"}, "r")
			h.owner = 1
			stream := &openStream{
				result: forwarder.AttemptEnded{Request: "r", Attempt: 1}, checker: streamchecker.New(""),
				events: &eventReader{reader: bufio.NewReader(strings.NewReader("id: 1\ndata: x\n\n"))},
			}
			forward := h.stream
			if alternative {
				stream.result.Attempt = 2
				h.alternatives[2] = func() {}
				forward = h.adopt
			}
			e.perform(forwarder.CancelAttempt{Request: "r", Attempt: stream.result.Attempt})
			require.Equal(t, forwarder.OutcomeSuperseded, forward(stream).Outcome)
			require.Equal(t, forwardedPart{owner: 1}, h.forwarded(), "the next attempt begins the stream")
		})
	}
}
