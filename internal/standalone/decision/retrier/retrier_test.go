package retrier_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/retrier"
)

func TestDecide(t *testing.T) {
	tests := map[string]struct {
		attempt retrier.Attempt
		want    retrier.Verdict
	}{
		"order that was not sent":            {retrier.Attempt{Reach: retrier.NotSent, Failure: retrier.Dial, Number: 1}, retrier.Elsewhere},
		"order never sent":                   {retrier.Attempt{Reach: retrier.NotSent, Failure: retrier.Dial, Number: retrier.MaxAttempts}, retrier.NotRun},
		"order cut":                          {retrier.Attempt{Reach: retrier.Sent, Failure: retrier.Cut, Number: 1}, retrier.UnknownOutcome},
		"order refused for load":             {retrier.Attempt{Reach: retrier.Sent, Failure: retrier.Busy, Number: 1}, retrier.UnknownOutcome},
		"verdict cut":                        {retrier.Attempt{Repeatable: true, Reach: retrier.Sent, Failure: retrier.Cut, Number: 1}, retrier.Elsewhere},
		"verdict cut too often":              {retrier.Attempt{Repeatable: true, Reach: retrier.Sent, Failure: retrier.Cut, Number: retrier.MaxAttempts}, retrier.GiveUp},
		"stream cut":                         {retrier.Attempt{Repeatable: true, Reach: retrier.Streaming, Failure: retrier.Cut, Number: 1}, retrier.Resume},
		"stream cut too often":               {retrier.Attempt{Repeatable: true, Reach: retrier.Streaming, Failure: retrier.Cut, Number: retrier.MaxAttempts}, retrier.GiveUp},
		"sent before, last one not sent":     {retrier.Attempt{Repeatable: true, Reach: retrier.NotSent, Failure: retrier.Dial, Number: retrier.MaxAttempts, EarlierSent: true}, retrier.GiveUp},
		"sent before, one more try is there": {retrier.Attempt{Repeatable: true, Reach: retrier.NotSent, Failure: retrier.Dial, Number: 2, EarlierSent: true}, retrier.Elsewhere},
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
			for failure := retrier.Dial; failure <= retrier.Malformed; failure++ {
				for number := 1; number <= retrier.MaxAttempts; number++ {
					for _, earlier := range []bool{false, true} {
						attempt := retrier.Attempt{Repeatable: repeatable, Reach: reach, Failure: failure, Number: number, EarlierSent: earlier}
						verdict := retrier.Decide(attempt)
						mayHaveRun := reach != retrier.NotSent || earlier
						require.False(t, mayHaveRun && verdict == retrier.NotRun, "%+v", attempt)
						repeats := verdict == retrier.Elsewhere || verdict == retrier.Resume
						require.False(t, repeats && !repeatable && mayHaveRun, "%+v", attempt)
					}
				}
			}
		}
	}
}
