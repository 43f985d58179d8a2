package edge

import (
	"bufio"
	"io"
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

// TestEventThatClientsIgnoreBeginsNoStream guards against a request that counts as begun while it still waits at
// its server, which may be until its weights are too old.
func TestEventThatClientsIgnoreBeginsNoStream(t *testing.T) {
	for name, ignored := range map[string]string{"none": "", "a retry time": "retry: 100\n\n", "a type": "event: x\n\n", "two": "retry: 100\n\n: c\n\nevent: x\n\n"} {
		t.Run(name, func(t *testing.T) {
			next := func(text string) []string {
				stream := &openStream{checker: streamchecker.New(""), framed: true, events: &eventReader{reader: bufio.NewReader(strings.NewReader(text))}}
				var events []string
				for {
					event, err := stream.next(0)
					if err != nil {
						require.Equal(t, io.EOF, err)
						require.Empty(t, event)
						return events
					}
					events = append(events, string(event))
				}
			}
			token := "id: 1\ndata: x\n\n"
			require.Equal(t, []string{ignored + token, "retry: 5\n\n", "id: 2\ndata: y\n\n"}, next(ignored+token+"retry: 5\n\nid: 2\ndata: y\n\n"))
			require.Equal(t, ignored, strings.Join(next(ignored), ""), "a stream without tokens is passed on")
		})
	}
}
