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

// tryOrder sends an order and returns its status, or 0 when the connection is
// lost.
func (s *system) tryOrder(name, key, body string) (status int, answer string) {
	header := s.keyed()
	header.Set("Idempotency-Key", key)
	response, answer, err := s.send(name, http.MethodPost, "/services/ordering/orders", body, header)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, answer
}

// runs returns how often all services together have recorded the body.
func (s *system) runs(body string) int {
	s.t.Helper()
	total := 0
	for name := range s.servers {
		if name[:len("ordering")] == "ordering" {
			total += s.records(name).Bodies[body]
		}
	}
	return total
}

// TestProcessesRunOrdersOnce meets real processes with the dangerous rows of the
// matrix: a service that commits and drops the connection, a gateway killed or
// paused while an order runs.
func TestProcessesRunOrdersOnce(t *testing.T) {
	s := startSystem(t, "ikeja", "lekki", "yaba")

	t.Run("service commits and drops the connection", func(t *testing.T) {
		s.setFaults(s.addresses["ordering-ikeja"], service.Faults{CommitThenDrop: 1})
		status, answer := s.tryOrder("ikeja-1", "dropped", "dropped order")
		require.Equal(t, http.StatusConflict, status, answer)
		require.Contains(t, answer, "outcomeUnknown")
		for name := range s.entries {
			status, answer := s.tryOrder(name, "dropped", "dropped order")
			require.Equal(t, http.StatusConflict, status, answer)
		}
		require.Equal(t, 1, s.runs("dropped order"))
	})

	t.Run("an operator resolves the unknown outcome", func(t *testing.T) {
		calls, err := s.operator("yaba-1").Calls(context.Background())
		require.NoError(t, err)
		require.Len(t, calls, 1)
		_, err = s.operator("yaba-1").ResolveCall(context.Background(), operator.CallResolution{Object: calls[0].Object, Ran: true})
		require.NoError(t, err)
		_, answer := s.tryOrder("lekki-1", "dropped", "dropped order")
		require.Contains(t, answer, "answerNotKept")
		require.Equal(t, 1, s.runs("dropped order"))
	})

	t.Run("another body under the same key is refused", func(t *testing.T) {
		status, answer := s.tryOrder("lekki-1", "dropped", "another order")
		require.Equal(t, http.StatusUnprocessableEntity, status, answer)
		require.Zero(t, s.runs("another order"))
	})

	t.Run("gateway is killed while the order runs", func(t *testing.T) {
		s.setFaults(s.addresses["ordering-lekki"], service.Faults{DelayMillis: 1500})
		var waiting sync.WaitGroup
		waiting.Go(func() { s.tryOrder("lekki-1", "killed", "killed order") })
		require.Eventually(t, func() bool { return s.runs("killed order") == 1 }, startTimeout, 10*time.Millisecond)
		s.entries["lekki-1"].kill()
		waiting.Wait()
		status, answer := s.tryOrder("yaba-1", "killed", "killed order")
		require.Equal(t, http.StatusConflict, status, answer)
		require.Equal(t, 1, s.runs("killed order"))
		delete(s.entries, "lekki-1")
	})

	t.Run("gateway is paused while the order runs", func(t *testing.T) {
		s.setFaults(s.addresses["ordering-ikeja"], service.Faults{DelayMillis: 500})
		var waiting sync.WaitGroup
		var status int
		waiting.Go(func() { status, _ = s.tryOrder("ikeja-1", "paused", "paused order") })
		require.Eventually(t, func() bool { return s.runs("paused order") == 1 }, startTimeout, 10*time.Millisecond)
		s.entries["ikeja-1"].signal(syscall.SIGSTOP)
		again, answer := s.tryOrder("yaba-1", "paused", "paused order")
		require.Equal(t, http.StatusConflict, again, answer)
		time.Sleep(4 * time.Second)
		s.entries["ikeja-1"].signal(syscall.SIGCONT)
		waiting.Wait()
		require.Equal(t, http.StatusCreated, status)
		require.Equal(t, 1, s.runs("paused order"))
	})
}

// TestProcessesDrainWithoutCuts stops an instance by SIGTERM while requests run.
func TestProcessesDrainWithoutCuts(t *testing.T) {
	s := startSystem(t, "split-a")
	const requests = 20
	var waiting sync.WaitGroup
	statuses := make([]int, requests)
	for i := range requests {
		waiting.Go(func() {
			prompt := fmt.Sprintf("note %d", i)
			body := fmt.Sprintf(`{"model":"notes","prompt":%q,"max_tokens":300,"stream":true}`, prompt)
			response, answer, err := s.send("split-a-1", http.MethodPost, "/v1/completions", body, s.keyed())
			if err != nil {
				return
			}
			if _, done, err := readStream(answer); err == nil && done {
				statuses[i] = response.StatusCode
			}
		})
	}
	require.Eventually(t, func() bool {
		status, err := s.operator("split-a-1").Status(context.Background())
		return err == nil && status.InFlight >= requests/2
	}, startTimeout, 5*time.Millisecond)
	s.entries["split-a-1"].signal(syscall.SIGTERM)
	waiting.Wait()
	for i, status := range statuses {
		require.Equal(t, http.StatusOK, status, "request %d was cut", i)
	}
	select {
	case err := <-s.entries["split-a-1"].done:
		require.NoError(t, err, "a drained instance must end with 0")
	case <-time.After(startTimeout):
		t.Fatal("the instance did not end")
	}
}
