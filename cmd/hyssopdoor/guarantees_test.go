package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/operator"
	"github.com/hyssopdoor/hyssopdoor/internal/standin/objectserver"
)

// propagationTimeout is the time within which changes must take effect on all
// reachable instances.
const propagationTimeout = 3 * time.Second

// TestChangesReachEveryInstance withdraws a key through one instance while its caller
// keeps a connection to each instance, and applies a configuration through another.
// Both changes must take effect on all instances.
func TestChangesReachEveryInstance(t *testing.T) {
	c := startCluster(t, "ikeja", "lekki", "yaba")
	ctx := context.Background()
	statusFrom := func(name string) int {
		response, _ := c.mustSend(name, http.MethodPost, "/v1/completions", selfTestBody(), c.authHeader())
		return response.StatusCode
	}
	for name := range c.instances {
		require.Equal(t, http.StatusOK, statusFrom(name))
	}

	withdrawnAt := time.Now()
	_, err := c.operatorClient("ikeja-1").WithdrawKey(ctx, c.key.ID)
	require.NoError(t, err)
	for name := range c.instances {
		require.Eventually(t, func() bool { return statusFrom(name) == http.StatusUnauthorized }, propagationTimeout, 5*time.Millisecond, name)
	}
	t.Logf("all instances reject the withdrawn key after %s", time.Since(withdrawnAt))

	changedConfig := strings.Replace(clusterConfig("ikeja", "lekki", "yaba"), "rate = 20000", "rate = 20001", 1)
	applied, err := c.operatorClient("lekki-1").Apply(ctx, operator.ConfigChange{File: "x.ini", Config: changedConfig})
	require.NoError(t, err)
	for name := range c.instances {
		require.Eventually(t, func() bool {
			view, err := c.operatorClient(name).Config(ctx)
			return err == nil && view.Revision >= applied.Revision && strings.Contains(view.Config, "rate = 20001")
		}, propagationTimeout, 5*time.Millisecond, name)
	}
}

// TestServingContinuesDuringPlatformOutage pauses the platform's process: completions
// must still be served, and orders must be rejected as not run until it continues.
func TestServingContinuesDuringPlatformOutage(t *testing.T) {
	c := startCluster(t, "split-a", "split-b")
	c.platform.pause()
	deadline := time.Now().Add(6 * time.Second)
	sent := 0
	for time.Now().Before(deadline) {
		for name := range c.instances {
			response, responseBody := c.mustSend(name, http.MethodPost, "/v1/completions", selfTestBody(), c.authHeader())
			require.Equal(t, http.StatusOK, response.StatusCode, responseBody)
			sent++
		}
	}
	status, responseBody := c.sendOrder("split-a-1", "during", "order during the outage")
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Contains(t, responseBody, `"notRun":true`)
	c.platform.signal(syscall.SIGCONT)
	require.Eventually(t, func() bool {
		status, _ := c.sendOrder("split-a-1", "during", "order during the outage")
		return status == http.StatusCreated
	}, startTimeout, 100*time.Millisecond)
	require.Equal(t, 1, c.recordCount("order during the outage"))
	t.Logf("%d requests during the outage", sent)
}

// TestLostPlatformResponsesAreRecovered drops the platform's responses to writes
// while orders and keys are written: each write must take effect exactly once.
func TestLostPlatformResponsesAreRecovered(t *testing.T) {
	c := startCluster(t, "split-a")
	ctx := context.Background()
	for i := range 5 {
		c.setFaults(c.platformURL[len("http://"):], objectserver.Faults{LostResponses: 1})
		status, responseBody := c.sendOrder("split-a-1", fmt.Sprintf("lost-%d", i), fmt.Sprintf("lost %d", i))
		require.Equal(t, http.StatusCreated, status, responseBody)
		require.Equal(t, 1, c.recordCount(fmt.Sprintf("lost %d", i)))
		c.setFaults(c.platformURL[len("http://"):], objectserver.Faults{LostResponses: 1})
		_, err := c.operatorClient("split-a-1").IssueKey(ctx, "crew")
		require.NoError(t, err)
	}
	keys, err := c.operatorClient("split-a-1").Keys(ctx)
	require.NoError(t, err)
	require.Len(t, keys, 6)
}

// TestCachedBlocksAreNotSharedBetweenTeams sends the same long prompt for two teams:
// neither may use blocks that the other has cached.
func TestCachedBlocksAreNotSharedBetweenTeams(t *testing.T) {
	demo := startTestDemo(t)
	ctx := context.Background()
	config := strings.Replace(tryConfig, "rate = 200\nburst = 2000", "rate = 20000\nburst = 60000", 1)
	_, err := demo.operatorClient.Apply(ctx, operator.ConfigChange{File: "x.ini", Config: config})
	require.NoError(t, err)
	otherKey, err := demo.operatorClient.IssueKey(ctx, "visitors")
	require.NoError(t, err)
	body := fmt.Sprintf(`{"model":"scarp","prompt":%q,"max_tokens":4}`, strings.Repeat("guide ", 4000))
	// cachedTokens returns the start of each engine's counter cachedTokens as JSON text,
	// which changes with the counter.
	cachedTokens := func() string {
		fields := ""
		for _, simulator := range demo.simulators[1:3] {
			_, counts, err := sendTo(ctx, simulator.Address(), http.MethodGet, "/counts", "", nil)
			require.NoError(t, err)
			fields += counts[strings.Index(counts, "cachedTokens"):][:20]
		}
		return fields
	}
	send := func(secret string) {
		header := http.Header{"Authorization": {"Bearer " + secret}}
		response, responseBody, err := demo.send(ctx, http.MethodPost, "/v1/completions", body, header)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode, responseBody)
	}
	send(demo.key.Secret)
	cold := cachedTokens()
	send(otherKey.Secret)
	require.Equal(t, cold, cachedTokens(), "another team's blocks must not be used")
	send(demo.key.Secret)
	require.NotEqual(t, cold, cachedTokens(), "the team's own blocks must be used")
}
