package edge

import (
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/instancesettings"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/bootclock"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/meter"
)

// TestTimeToClosedConnectionIsMeasured closes the connections of attempts after the decision to cancel them.
func TestTimeToClosedConnectionIsMeasured(t *testing.T) {
	for name, test := range map[string]struct {
		via             string
		cancelled, late bool
		want            []string
	}{
		"not cancelled":                    {late: true},
		"closed at once":                   {cancelled: true},
		"closed late":                      {cancelled: true, late: true, want: []string{`^1114 connectionClosedLate request=r server=s attempt=1 after=\d+ms$`}},
		"closed late, through another one": {via: "edge-1", cancelled: true, late: true, want: []string{" server=s via=edge-1 attempt=1 "}},
	} {
		t.Run(name, func(t *testing.T) {
			var logged entries
			e := &Edge{logger: &logged, meter: meter.New()}
			e.machine = newStateMachine(forwarder.New(instancesettings.Defaults(), "i", 1), e.perform)
			defer e.machine.close()
			_, ok := e.machine.register("r")
			require.True(t, ok)
			ended := false
			c := newCancellation(func() { ended = true }, forwarder.Dispatch{Request: "r", Attempt: 1, Server: "s", Via: forwarder.Hop{Instance: test.via}})
			e.machine.setCancel("r", 1, c)
			e.machine.now = bootclock.Now()
			if test.cancelled {
				e.perform(forwarder.CancelAttempt{Request: "r", Attempt: 1})
			}
			require.Equal(t, test.cancelled, ended)
			if test.late {
				time.Sleep((lateClose + 10).Duration())
			}
			e.closed(c)
			require.Len(t, logged, len(test.want))
			for i, want := range test.want {
				require.Regexp(t, want, logged[i].String())
			}
			response := httptest.NewRecorder()
			e.meter.Handler().ServeHTTP(response, nil)
			var metrics struct {
				Hyssopdoor struct{ Millis map[string]map[string]int64 }
			}
			require.NoError(t, json.Unmarshal(response.Body.Bytes(), &metrics))
			_, observed := metrics.Hyssopdoor.Millis[histogramCancellation]
			require.Equal(t, test.cancelled, observed)
		})
	}
}
