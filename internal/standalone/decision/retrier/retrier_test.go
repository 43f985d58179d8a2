package retrier_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/retrier"
)

func TestDecide(t *testing.T) {
	tests := map[string]struct {
		attempt retrier.Attempt
		want    retrier.Decision
	}{
		"order that was not sent":            {retrier.Attempt{Progress: retrier.NotSent, Failure: retrier.DialRefused, Number: 1}, retrier.RetryOtherServer},
		"order never sent":                   {retrier.Attempt{Progress: retrier.NotSent, Failure: retrier.DialRefused, Number: retrier.MaxAttempts}, retrier.NotRun},
		"order cut":                          {retrier.Attempt{Progress: retrier.Sent, Failure: retrier.ConnectionLost, Number: 1}, retrier.UnknownOutcome},
		"order refused for load":             {retrier.Attempt{Progress: retrier.Sent, Failure: retrier.Busy, Number: 1}, retrier.UnknownOutcome},
		"verdict cut":                        {retrier.Attempt{Repeatable: true, Progress: retrier.Sent, Failure: retrier.ConnectionLost, Number: 1}, retrier.RetryOtherServer},
		"verdict cut too often":              {retrier.Attempt{Repeatable: true, Progress: retrier.Sent, Failure: retrier.ConnectionLost, Number: retrier.MaxAttempts}, retrier.GiveUp},
		"stream cut":                         {retrier.Attempt{Repeatable: true, Progress: retrier.Streaming, Failure: retrier.ConnectionLost, Number: 1}, retrier.ResumeStream},
		"stream cut too often":               {retrier.Attempt{Repeatable: true, Progress: retrier.Streaming, Failure: retrier.ConnectionLost, Number: retrier.MaxAttempts}, retrier.GiveUp},
		"sent before, last one not sent":     {retrier.Attempt{Repeatable: true, Progress: retrier.NotSent, Failure: retrier.DialRefused, Number: retrier.MaxAttempts, EarlierSent: true}, retrier.GiveUp},
		"sent before, one more try is there": {retrier.Attempt{Repeatable: true, Progress: retrier.NotSent, Failure: retrier.DialRefused, Number: 2, EarlierSent: true}, retrier.RetryOtherServer},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.want, retrier.Decide(test.attempt))
		})
	}
}

// TestNothingThatMayHaveRunIsCalledNotRun goes through the whole table.
func TestNothingThatMayHaveRunIsCalledNotRun(t *testing.T) {
	for _, repeatable := range []bool{false, true} {
		for reach := retrier.NotSent; reach <= retrier.Streaming; reach++ {
			for failure := retrier.DialRefused; failure <= retrier.Malformed; failure++ {
				for number := 1; number <= retrier.MaxAttempts; number++ {
					for _, earlier := range []bool{false, true} {
						attempt := retrier.Attempt{Repeatable: repeatable, Progress: reach, Failure: failure, Number: number, EarlierSent: earlier}
						verdict := retrier.Decide(attempt)
						mayHaveRun := reach != retrier.NotSent || earlier
						require.False(t, mayHaveRun && verdict == retrier.NotRun, "%+v", attempt)
						repeats := verdict == retrier.RetryOtherServer || verdict == retrier.ResumeStream
						require.False(t, repeats && !repeatable && mayHaveRun, "%+v", attempt)
					}
				}
			}
		}
	}
}
