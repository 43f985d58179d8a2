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

// TestPoisonRequestIsBlocked sends a request that crashes engines while other
// requests run on them, then sends it again through every instance. It must be
// blocked after at most two crashes, and the other requests must complete.
func TestPoisonRequestIsBlocked(t *testing.T) {
	c := startCluster(t, "ikeja", "lekki", "yaba")
	engines := []string{"engine-ikeja", "engine-lekki", "engine-yaba"}
	for _, name := range engines {
		c.setFaults(c.serverAddresses[name], engine.Faults{CrashTrigger: "poison"})
	}
	var wg sync.WaitGroup
	const otherRequests = 8
	responseBodies := make([]string, otherRequests)
	for i := range otherRequests {
		wg.Go(func() {
			_, responseBody, err := c.send("ikeja-1", http.MethodPost, "/v1/completions", streamBody(fmt.Sprintf("innocent %d", i)), c.authHeader())
			if err != nil {
				responseBody = err.Error()
			}
			responseBodies[i] = responseBody
		})
	}
	time.Sleep(40 * time.Millisecond)
	response, responseBody := c.mustSend("ikeja-1", http.MethodPost, "/v1/completions", streamBody("poison"), c.authHeader())
	require.Equal(t, http.StatusUnprocessableEntity, response.StatusCode, responseBody)
	require.Contains(t, responseBody, "crashesServers")
	wg.Wait()
	for i, responseBody := range responseBodies {
		requireCompleteStream(t, fmt.Sprintf("innocent %d", i), responseBody)
	}
	for name := range c.instances {
		response, responseBody := c.mustSend(name, http.MethodPost, "/v1/completions", streamBody("poison"), c.authHeader())
		require.Equal(t, http.StatusUnprocessableEntity, response.StatusCode, responseBody)
		require.Empty(t, response.Header.Get("Retry-After"))
	}
	var crashes int64
	for _, name := range engines {
		crashes += c.engineCounts(name).Crashes
	}
	require.LessOrEqual(t, crashes, int64(2))
}
