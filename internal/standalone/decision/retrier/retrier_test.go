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
		"unrepeatable, not sent":                      {retrier.Attempt{Reach: retrier.NotSent, Failure: retrier.Dial, Number: 1}, retrier.Elsewhere},
		"unrepeatable, never sent":                    {retrier.Attempt{Reach: retrier.NotSent, Failure: retrier.Dial, Number: retrier.MaxAttempts}, retrier.NotRun},
		"unrepeatable, connection lost":               {retrier.Attempt{Reach: retrier.Sent, Failure: retrier.Cut, Number: 1}, retrier.UnknownOutcome},
		"unrepeatable, server busy":                   {retrier.Attempt{Reach: retrier.Sent, Failure: retrier.Busy, Number: 1}, retrier.UnknownOutcome},
		"repeatable, connection lost":                 {retrier.Attempt{Repeatable: true, Reach: retrier.Sent, Failure: retrier.Cut, Number: 1}, retrier.Elsewhere},
		"repeatable, connection lost in last attempt": {retrier.Attempt{Repeatable: true, Reach: retrier.Sent, Failure: retrier.Cut, Number: retrier.MaxAttempts}, retrier.GiveUp},
		"stream, connection lost":                     {retrier.Attempt{Repeatable: true, Reach: retrier.Streaming, Failure: retrier.Cut, Number: 1}, retrier.Resume},
		"stream, connection lost in last attempt":     {retrier.Attempt{Repeatable: true, Reach: retrier.Streaming, Failure: retrier.Cut, Number: retrier.MaxAttempts}, retrier.GiveUp},
		"sent before, last attempt not sent":          {retrier.Attempt{Repeatable: true, Reach: retrier.NotSent, Failure: retrier.Dial, Number: retrier.MaxAttempts, EarlierSent: true}, retrier.GiveUp},
		"sent before, attempts left":                  {retrier.Attempt{Repeatable: true, Reach: retrier.NotSent, Failure: retrier.Dial, Number: 2, EarlierSent: true}, retrier.Elsewhere},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.want, retrier.Decide(test.attempt))
		})
	}
}

// TestDecideNotRunAndRetriesAreSafe verifies over all inputs that NotRun is never
// returned for a request that may have run, and that an unrepeatable request that may
// have run is never retried.
func TestDecideNotRunAndRetriesAreSafe(t *testing.T) {
	for _, repeatable := range []bool{false, true} {
		for progress := retrier.NotSent; progress <= retrier.Streaming; progress++ {
			for failure := retrier.Dial; failure <= retrier.Malformed; failure++ {
				for number := 1; number <= retrier.MaxAttempts; number++ {
					for _, earlierSent := range []bool{false, true} {
						attempt := retrier.Attempt{Repeatable: repeatable, Reach: progress, Failure: failure, Number: number, EarlierSent: earlierSent}
						decision := retrier.Decide(attempt)
						mayHaveRun := progress != retrier.NotSent || earlierSent
						require.False(t, mayHaveRun && decision == retrier.NotRun, "%+v", attempt)
						retries := decision == retrier.Elsewhere || decision == retrier.Resume
						require.False(t, retries && !repeatable && mayHaveRun, "%+v", attempt)
					}
				}
			}
		}
	}
}
