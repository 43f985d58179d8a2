package meter_test

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/meter"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// TestHandler verifies the metrics that the handler serves.
func TestHandler(t *testing.T) {
	metrics := meter.New()
	for duration := clock.Millis(1); duration <= 1000; duration++ {
		metrics.Observe("answer", duration)
	}
	metrics.Observe("outOfRange", -5)
	metrics.Observe("outOfRange", clock.Hour)
	metrics.CountEvent(eventlog.New(eventlog.RequestRefused, ""))
	for i := range 100 {
		metrics.Observe(fmt.Sprint("name-", i), 1)
	}
	recorder := httptest.NewRecorder()
	metrics.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	var published struct {
		Hyssopdoor struct {
			Events map[string]int64            `json:"events"`
			Millis map[string]map[string]int64 `json:"millis"`
		} `json:"hyssopdoor"`
	}
	require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &published))
	require.Equal(t, int64(1), published.Hyssopdoor.Events["requestRefused"])
	require.Equal(t, int64(1000), published.Hyssopdoor.Millis["answer"]["count"])
	require.InDelta(t, 500, published.Hyssopdoor.Millis["answer"]["p50"], 10)
	require.InDelta(t, 990, published.Hyssopdoor.Millis["answer"]["p99"], 20)
	require.Equal(t, int64(2), published.Hyssopdoor.Millis["outOfRange"]["count"])
	require.LessOrEqual(t, len(published.Hyssopdoor.Millis), 32, "the number of names is limited")
}
