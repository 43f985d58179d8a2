package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// balancer sends requests to the instances whose health is good, as the
// platform's does.
type balancer struct {
	s    *system
	mu   sync.Mutex
	next int
	// callers are the addresses of the instances by name.
	callers map[string]string
	good    []string
}

// errNoInstance means that no instance is healthy.
var errNoInstance = errors.New("no instance is healthy")

// check asks every instance for its health.
func (b *balancer) check() {
	b.mu.Lock()
	callers := map[string]string{}
	for name, address := range b.callers {
		callers[name] = address
	}
	b.mu.Unlock()
	var good []string
	for _, address := range callers {
		response, _, err := sendTo(context.Background(), address, http.MethodGet, "/healthz", "", http.Header{})
		if err == nil && response.StatusCode == http.StatusOK {
			good = append(good, address)
		}
	}
	b.mu.Lock()
	b.good = good
	b.mu.Unlock()
}

func (b *balancer) set(name, address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.callers[name] = address
}

func (b *balancer) pick() (string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.good) == 0 {
		return "", errNoInstance
	}
	b.next++
	return b.good[b.next%len(b.good)], nil
}

// stream sends a streamed request through the balancer and checks its end.
func (b *balancer) stream(number int) error {
	address, err := b.pick()
	if err != nil {
		return err
	}
	body := fmt.Sprintf(`{"model":"notes","prompt":"transect %d","max_tokens":80,"stream":true}`, number)
	response, answer, err := sendTo(context.Background(), address, http.MethodPost, "/v1/completions", body, b.s.keyed())
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %s", response.StatusCode, answer)
	}
	if _, done, err := readStream(answer); err != nil || !done {
		return fmt.Errorf("the stream is not whole: %w", err)
	}
	return nil
}

// TestRollingRestartLosesNothing replaces all instances one after the other,
// under load.
func TestRollingRestartLosesNothing(t *testing.T) {
	s := startSystem(t, "split-a", "split-b", "split-c")
	b := &balancer{s: s, callers: map[string]string{}}
	for name, entry := range s.entries {
		b.set(name, entry.callers)
	}
	b.check()
	stop := make(chan struct{})
	var workers sync.WaitGroup
	workers.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
				b.check()
			}
		}
	})
	var sent atomic.Int64
	failures := make(chan error, 1000)
	for range 6 {
		workers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if err := b.stream(int(sent.Add(1))); err != nil {
					failures <- err
				}
			}
		})
	}
	for _, domain := range []string{"split-a", "split-b", "split-c"} {
		old := s.entries[domain+"-1"]
		old.signal(syscall.SIGTERM)
		select {
		case err := <-old.done:
			require.NoError(t, err)
		case <-time.After(startTimeout):
			t.Fatal("the instance did not end")
		}
		started := s.startEntry(domain+"-1", domain)
		b.set(domain+"-1", started.callers)
		s.waitReady()
	}
	close(stop)
	workers.Wait()
	close(failures)
	for err := range failures {
		t.Error(err)
	}
	require.Greater(t, sent.Load(), int64(50))
	t.Logf("%d requests while all instances were replaced", sent.Load())
}
