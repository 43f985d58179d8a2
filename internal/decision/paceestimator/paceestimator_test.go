package paceestimator_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/paceestimator"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

func TestStreamTimes(t *testing.T) {
	tests := map[string]struct {
		record         func(e *paceestimator.Estimator)
		tokens         int64
		usual, longest clock.Millis
	}{
		"nothing known": {record: func(*paceestimator.Estimator) {}, tokens: 50},
		"only the length known": {record: func(e *paceestimator.Estimator) {
			e.RecordStream(0, "engines", 50, 40)
		}, tokens: 50},
		"only the time between events known": {record: func(e *paceestimator.Estimator) {
			e.RecordEvents(0, "engines", 10, 200)
		}, tokens: 50},
		"all streams are as long": {record: func(e *paceestimator.Estimator) {
			e.RecordEvents(0, "engines", 10, 200)
			e.RecordStream(0, "engines", 100, 20)
		}, tokens: 50, usual: 200, longest: 200},
		"one stream of four uses its tokens": {record: func(e *paceestimator.Estimator) {
			e.RecordEvents(0, "engines", 10, 200)
			for _, events := range []int{10, 100, 10, 10} {
				e.RecordStream(0, "engines", 100, events)
			}
		}, tokens: 100, usual: 650, longest: 2000},
		"streams of one event": {record: func(e *paceestimator.Estimator) {
			e.RecordEvents(0, "engines", 0, 0)
			e.RecordStream(0, "engines", 50, 1)
		}, tokens: 50},
		"no tokens stated": {record: func(e *paceestimator.Estimator) {
			e.RecordEvents(0, "engines", 10, 200)
			e.RecordStream(0, "engines", 0, 30)
			e.RecordStream(0, "engines", 0, 10)
		}, usual: 400, longest: 600},
		"a stream that pauses": {record: func(e *paceestimator.Estimator) {
			e.RecordStream(0, "engines", 10, 10)
			e.RecordEvents(0, "engines", 99, 990)
			e.RecordEvents(0, "engines", 1, 1010)
		}, tokens: 10, usual: 200, longest: 200},
		"slower in the period before": {record: func(e *paceestimator.Estimator) {
			e.RecordStream(0, "engines", 10, 10)
			e.RecordEvents(0, "engines", 1, 90)
			e.RecordEvents(1500, "engines", 1, 20)
			e.RecordEvents(1800, "engines", 1, 10)
		}, tokens: 10, usual: 900, longest: 900},
		"slower two periods before": {record: func(e *paceestimator.Estimator) {
			e.RecordStream(0, "engines", 10, 10)
			e.RecordEvents(0, "engines", 1, 90)
			e.RecordEvents(1500, "engines", 1, 20)
			e.RecordEvents(2500, "engines", 1, 10)
		}, tokens: 10, usual: 200, longest: 200},
		"slow, and none since": {record: func(e *paceestimator.Estimator) {
			e.RecordStream(0, "engines", 10, 10)
			e.RecordEvents(0, "engines", 1, 90)
		}, tokens: 10, usual: 900, longest: 900},
		"another service": {record: func(e *paceestimator.Estimator) {
			e.RecordStream(0, "others", 10, 10)
			e.RecordEvents(0, "others", 1, 70)
		}, tokens: 10},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := paceestimator.New()
			test.record(e)
			usual, longest, known := e.StreamTimes("engines", test.tokens)
			require.Equal(t, test.usual > 0, known)
			require.Equal(t, test.usual, usual)
			require.Equal(t, test.longest, longest)
		})
	}
}

func TestPaceCurrent(t *testing.T) {
	e := paceestimator.New()
	require.False(t, e.PaceCurrent(0, "engines"))
	e.RecordEvents(1000, "engines", 5, 100)
	require.True(t, e.PaceCurrent(2999, "engines"))
	require.False(t, e.PaceCurrent(3000, "engines"))
	require.False(t, e.PaceCurrent(1000, "others"))
}

func TestResponseTime(t *testing.T) {
	e := paceestimator.New()
	_, known := e.ResponseTime("records")
	require.False(t, known)
	e.RecordResponse(0, "records", 60)
	e.RecordResponse(10, "records", 20)
	response, known := e.ResponseTime("records")
	require.True(t, known)
	require.Equal(t, clock.Millis(60), response)
}
