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
		"unrepeatable, not sent":                      {retrier.Attempt{Progress: retrier.NotSent, Failure: retrier.DialRefused, Number: 1}, retrier.RetryOtherServer},
		"unrepeatable, never sent":                    {retrier.Attempt{Progress: retrier.NotSent, Failure: retrier.DialRefused, Number: retrier.MaxAttempts}, retrier.NotRun},
		"unrepeatable, connection lost":               {retrier.Attempt{Progress: retrier.Sent, Failure: retrier.ConnectionLost, Number: 1}, retrier.UnknownOutcome},
		"unrepeatable, server busy":                   {retrier.Attempt{Progress: retrier.Sent, Failure: retrier.Busy, Number: 1}, retrier.UnknownOutcome},
		"repeatable, connection lost":                 {retrier.Attempt{Repeatable: true, Progress: retrier.Sent, Failure: retrier.ConnectionLost, Number: 1}, retrier.RetryOtherServer},
		"repeatable, connection lost in last attempt": {retrier.Attempt{Repeatable: true, Progress: retrier.Sent, Failure: retrier.ConnectionLost, Number: retrier.MaxAttempts}, retrier.GiveUp},
		"stream, connection lost":                     {retrier.Attempt{Repeatable: true, Progress: retrier.Streaming, Failure: retrier.ConnectionLost, Number: 1}, retrier.ContinueStream},
		"stream, connection lost in last attempt":     {retrier.Attempt{Repeatable: true, Progress: retrier.Streaming, Failure: retrier.ConnectionLost, Number: retrier.MaxAttempts}, retrier.GiveUp},
		"sent before, last attempt not sent":          {retrier.Attempt{Repeatable: true, Progress: retrier.NotSent, Failure: retrier.DialRefused, Number: retrier.MaxAttempts, EarlierSent: true}, retrier.GiveUp},
		"sent before, attempts left":                  {retrier.Attempt{Repeatable: true, Progress: retrier.NotSent, Failure: retrier.DialRefused, Number: 2, EarlierSent: true}, retrier.RetryOtherServer},
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
			for failure := retrier.DialRefused; failure <= retrier.Malformed; failure++ {
				for number := 1; number <= retrier.MaxAttempts; number++ {
					for _, earlierSent := range []bool{false, true} {
						attempt := retrier.Attempt{Repeatable: repeatable, Progress: progress, Failure: failure, Number: number, EarlierSent: earlierSent}
						decision := retrier.Decide(attempt)
						mayHaveRun := progress != retrier.NotSent || earlierSent
						require.False(t, mayHaveRun && decision == retrier.NotRun, "%+v", attempt)
						retries := decision == retrier.RetryOtherServer || decision == retrier.ContinueStream
						require.False(t, retries && !repeatable && mayHaveRun, "%+v", attempt)
					}
				}
			}
		}
	}
}
