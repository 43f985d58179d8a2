package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/operator"
	"github.com/hyssopdoor/hyssopdoor/internal/standin/service"
)

// sendOrder sends an order and returns its status, or 0 if the connection fails.
func (c *cluster) sendOrder(name, key, body string) (status int, responseBody string) {
	header := c.authHeader()
	header.Set("Idempotency-Key", key)
	response, responseBody, err := c.send(name, http.MethodPost, "/services/ordering/orders", body, header)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, responseBody
}

// recordCount returns the number of times that all services together have recorded
// the body.
func (c *cluster) recordCount(body string) int {
	c.t.Helper()
	total := 0
	for name := range c.servers {
		if name[:len("ordering")] == "ordering" {
			total += c.records(name).Bodies[body]
		}
	}
	return total
}

// TestOrdersRunAtMostOnce verifies that no order runs twice if the service commits
// it and drops the connection, or if the instance is killed or paused while the order
// runs.
func TestOrdersRunAtMostOnce(t *testing.T) {
	c := startCluster(t, "ikeja", "lekki", "yaba")

	t.Run("service commits and drops the connection", func(t *testing.T) {
		c.setFaults(c.serverAddresses["ordering-ikeja"], service.Faults{CommitThenDrop: 1})
		status, responseBody := c.sendOrder("ikeja-1", "dropped", "dropped order")
		require.Equal(t, http.StatusConflict, status, responseBody)
		require.Contains(t, responseBody, "outcomeUnknown")
		for name := range c.instances {
			status, responseBody := c.sendOrder(name, "dropped", "dropped order")
			require.Equal(t, http.StatusConflict, status, responseBody)
		}
		require.Equal(t, 1, c.recordCount("dropped order"))
	})

	t.Run("an operator resolves the unknown outcome", func(t *testing.T) {
		calls, err := c.operatorClient("yaba-1").Calls(context.Background())
		require.NoError(t, err)
		require.Len(t, calls, 1)
		_, err = c.operatorClient("yaba-1").ResolveCall(context.Background(), operator.CallResolution{Object: calls[0].Object, Ran: true})
		require.NoError(t, err)
		_, responseBody := c.sendOrder("lekki-1", "dropped", "dropped order")
		require.Contains(t, responseBody, "answerNotKept")
		require.Equal(t, 1, c.recordCount("dropped order"))
	})

	t.Run("another body under the same key is refused", func(t *testing.T) {
		status, responseBody := c.sendOrder("lekki-1", "dropped", "another order")
		require.Equal(t, http.StatusUnprocessableEntity, status, responseBody)
		require.Zero(t, c.recordCount("another order"))
	})

	t.Run("instance is killed while the order runs", func(t *testing.T) {
		c.setFaults(c.serverAddresses["ordering-lekki"], service.Faults{DelayMillis: 1500})
		var wg sync.WaitGroup
		wg.Go(func() { c.sendOrder("lekki-1", "killed", "killed order") })
		require.Eventually(t, func() bool { return c.recordCount("killed order") == 1 }, startTimeout, 10*time.Millisecond)
		c.instances["lekki-1"].kill()
		wg.Wait()
		status, responseBody := c.sendOrder("yaba-1", "killed", "killed order")
		require.Equal(t, http.StatusConflict, status, responseBody)
		require.Equal(t, 1, c.recordCount("killed order"))
		delete(c.instances, "lekki-1")
	})

	t.Run("instance is paused while the order runs", func(t *testing.T) {
		c.setFaults(c.serverAddresses["ordering-ikeja"], service.Faults{DelayMillis: 500})
		var wg sync.WaitGroup
		var status int
		wg.Go(func() { status, _ = c.sendOrder("ikeja-1", "paused", "paused order") })
		require.Eventually(t, func() bool { return c.recordCount("paused order") == 1 }, startTimeout, 10*time.Millisecond)
		c.instances["ikeja-1"].pause()
		retryStatus, responseBody := c.sendOrder("yaba-1", "paused", "paused order")
		require.Equal(t, http.StatusConflict, retryStatus, responseBody)
		time.Sleep(4 * time.Second)
		c.instances["ikeja-1"].signal(syscall.SIGCONT)
		wg.Wait()
		require.Equal(t, http.StatusCreated, status)
		require.Equal(t, 1, c.recordCount("paused order"))
	})
}

// TestDrainCompletesInFlightRequests stops an instance with SIGTERM while it serves
// streams: all of them must complete.
func TestDrainCompletesInFlightRequests(t *testing.T) {
	c := startCluster(t, "split-a")
	const requests = 20
	var wg sync.WaitGroup
	statuses := make([]int, requests)
	for i := range requests {
		wg.Go(func() {
			prompt := fmt.Sprintf("note %d", i)
			body := fmt.Sprintf(`{"model":"notes","prompt":%q,"max_tokens":300,"stream":true}`, prompt)
			response, responseBody, err := c.send("split-a-1", http.MethodPost, "/v1/completions", body, c.authHeader())
			if err != nil {
				return
			}
			if _, complete, err := readStream(responseBody); err == nil && complete {
				statuses[i] = response.StatusCode
			}
		})
	}
	require.Eventually(t, func() bool {
		status, err := c.operatorClient("split-a-1").Status(context.Background())
		return err == nil && status.InFlight >= requests/2
	}, startTimeout, 5*time.Millisecond)
	c.instances["split-a-1"].signal(syscall.SIGTERM)
	wg.Wait()
	for i, status := range statuses {
		require.Equal(t, http.StatusOK, status, "request %d was interrupted", i)
	}
	select {
	case err := <-c.instances["split-a-1"].exited:
		require.NoError(t, err, "a drained instance must exit with 0")
	case <-time.After(startTimeout):
		t.Fatal("the instance did not exit")
	}
}
