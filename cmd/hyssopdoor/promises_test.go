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

// within is the time in which changes must be in force on reachable instances.
const within = 3 * time.Second

// TestChangesReachEveryInstance withdraws a key whose caller keeps a connection
// to each instance, and applies a configuration, through one instance.
func TestChangesReachEveryInstance(t *testing.T) {
	s := startSystem(t, "ikeja", "lekki", "yaba")
	ctx := context.Background()
	statusAt := func(name string) int {
		response, _ := s.request(name, http.MethodPost, "/v1/completions", onceBody(), s.keyed())
		return response.StatusCode
	}
	for name := range s.entries {
		require.Equal(t, http.StatusOK, statusAt(name))
	}

	withdrawn := time.Now()
	_, err := s.operator("ikeja-1").WithdrawKey(ctx, s.key.ID)
	require.NoError(t, err)
	for name := range s.entries {
		require.Eventually(t, func() bool { return statusAt(name) == http.StatusUnauthorized }, within, 5*time.Millisecond, name)
	}
	t.Logf("withdrawn key refused everywhere after %s", time.Since(withdrawn))

	changed := strings.Replace(systemConfig("ikeja", "lekki", "yaba"), "rate = 20000", "rate = 20001", 1)
	message, err := s.operator("lekki-1").Apply(ctx, operator.ConfigChange{File: "x.ini", Config: changed})
	require.NoError(t, err)
	for name := range s.entries {
		require.Eventually(t, func() bool {
			view, err := s.operator(name).Config(ctx)
			return err == nil && view.Revision >= message.Revision && strings.Contains(view.Config, "rate = 20001")
		}, within, 5*time.Millisecond, name)
	}
}

// TestProcessesServeThroughPlatformOutage stops the platform's process, and
// starts an instance meanwhile.
func TestProcessesServeThroughPlatformOutage(t *testing.T) {
	s := startSystem(t, "split-a", "split-b")
	s.platform.signal(syscall.SIGSTOP)
	end := time.Now().Add(6 * time.Second)
	sent := 0
	for time.Now().Before(end) {
		for name := range s.entries {
			response, answer := s.request(name, http.MethodPost, "/v1/completions", onceBody(), s.keyed())
			require.Equal(t, http.StatusOK, response.StatusCode, answer)
			sent++
		}
	}
	status, answer := s.tryOrder("split-a-1", "during", "order during the outage")
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Contains(t, answer, `"notRun":true`)
	s.platform.signal(syscall.SIGCONT)
	require.Eventually(t, func() bool {
		status, _ := s.tryOrder("split-a-1", "during", "order during the outage")
		return status == http.StatusCreated
	}, startTimeout, 100*time.Millisecond)
	require.Equal(t, 1, s.runs("order during the outage"))
	t.Logf("%d requests during the outage", sent)
}

// TestLostAnswersOfThePlatformAreSettled loses answers of writes while orders,
// keys and configurations are written.
func TestLostAnswersOfThePlatformAreSettled(t *testing.T) {
	s := startSystem(t, "split-a")
	ctx := context.Background()
	for i := range 5 {
		s.setFaults(s.platformURL[len("http://"):], objectserver.Faults{LostResponses: 1})
		status, answer := s.tryOrder("split-a-1", fmt.Sprintf("lost-%d", i), fmt.Sprintf("lost %d", i))
		require.Equal(t, http.StatusCreated, status, answer)
		require.Equal(t, 1, s.runs(fmt.Sprintf("lost %d", i)))
		s.setFaults(s.platformURL[len("http://"):], objectserver.Faults{LostResponses: 1})
		_, err := s.operator("split-a-1").IssueKey(ctx, "crew")
		require.NoError(t, err)
	}
	keys, err := s.operator("split-a-1").Keys(ctx)
	require.NoError(t, err)
	require.Len(t, keys, 6)
}

// TestCachedBlocksStayApart sends the same long prompt for two teams: no team
// gets the other's blocks.
func TestCachedBlocksStayApart(t *testing.T) {
	trial := startTestTrial(t)
	ctx := context.Background()
	config := strings.Replace(tryConfig, "rate = 200\nburst = 2000", "rate = 20000\nburst = 60000", 1)
	_, err := trial.operators.Apply(ctx, operator.ConfigChange{File: "x.ini", Config: config})
	require.NoError(t, err)
	other, err := trial.operators.IssueKey(ctx, "visitors")
	require.NoError(t, err)
	body := fmt.Sprintf(`{"model":"scarp","prompt":%q,"max_tokens":4}`, strings.Repeat("guide ", 4000))
	cached := func() string {
		total := ""
		for _, standIn := range trial.standIns[1:3] {
			_, counts, err := sendTo(ctx, standIn.Address(), http.MethodGet, "/counts", "", nil)
			require.NoError(t, err)
			total += counts[strings.Index(counts, "cachedTokens"):][:20]
		}
		return total
	}
	send := func(secret string) {
		header := http.Header{"Authorization": {"Bearer " + secret}}
		response, answer, err := trial.send(ctx, http.MethodPost, "/v1/completions", body, header)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode, answer)
	}
	send(trial.key.Secret)
	cold := cached()
	send(other.Secret)
	require.Equal(t, cold, cached(), "another team's blocks must not be used")
	send(trial.key.Secret)
	require.NotEqual(t, cold, cached(), "the team's own blocks must be used")
}
