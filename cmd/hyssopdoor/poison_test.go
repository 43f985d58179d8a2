package main

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/standin/engine"
)

// TestProcessesConvictPoison sends a request that crashes engines among others
// that run beside it, then again through every instance.
func TestProcessesConvictPoison(t *testing.T) {
	s := startSystem(t, "ikeja", "lekki", "yaba")
	engines := []string{"engine-ikeja", "engine-lekki", "engine-yaba"}
	for _, name := range engines {
		s.setFaults(s.addresses[name], engine.Faults{CrashTrigger: "poison"})
	}
	var waiting sync.WaitGroup
	const innocents = 8
	answers := make([]string, innocents)
	for i := range innocents {
		waiting.Go(func() {
			_, answer, err := s.send("ikeja-1", http.MethodPost, "/v1/completions", streamBody(fmt.Sprintf("innocent %d", i)), s.keyed())
			if err != nil {
				answer = err.Error()
			}
			answers[i] = answer
		})
	}
	time.Sleep(40 * time.Millisecond)
	response, answer := s.request("ikeja-1", http.MethodPost, "/v1/completions", streamBody("poison"), s.keyed())
	require.Equal(t, http.StatusUnprocessableEntity, response.StatusCode, answer)
	require.Contains(t, answer, "crashesServers")
	waiting.Wait()
	for i, answer := range answers {
		requireWhole(t, fmt.Sprintf("innocent %d", i), answer)
	}
	for name := range s.entries {
		response, answer := s.request(name, http.MethodPost, "/v1/completions", streamBody("poison"), s.keyed())
		require.Equal(t, http.StatusUnprocessableEntity, response.StatusCode, answer)
		require.Empty(t, response.Header.Get("Retry-After"))
	}
	var crashes int64
	for _, name := range engines {
		crashes += s.engineCounts(name).Crashes
	}
	require.LessOrEqual(t, crashes, int64(2))
}
