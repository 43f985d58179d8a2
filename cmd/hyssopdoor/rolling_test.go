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

// loadBalancer sends requests to the healthy instances in turn, as the platform's load
// balancer does.
type loadBalancer struct {
	cluster *cluster
	mu      sync.Mutex
	next    int
	// addresses are the caller addresses of the instances by name.
	addresses map[string]string
	healthy   []string // healthy are the addresses that passed the last health check.
}

// errNoHealthyInstance means that no instance is healthy.
var errNoHealthyInstance = errors.New("no instance is healthy")

// checkHealth requests the health of every instance and updates healthy.
func (b *loadBalancer) checkHealth() {
	b.mu.Lock()
	addresses := map[string]string{}
	for name, address := range b.addresses {
		addresses[name] = address
	}
	b.mu.Unlock()
	var healthy []string
	for _, address := range addresses {
		response, _, err := sendTo(context.Background(), address, http.MethodGet, "/healthz", "", http.Header{})
		if err == nil && response.StatusCode == http.StatusOK {
			healthy = append(healthy, address)
		}
	}
	b.mu.Lock()
	b.healthy = healthy
	b.mu.Unlock()
}

func (b *loadBalancer) setAddress(name, address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addresses[name] = address
}

func (b *loadBalancer) pick() (string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.healthy) == 0 {
		return "", errNoHealthyInstance
	}
	b.next++
	return b.healthy[b.next%len(b.healthy)], nil
}

// sendStream sends a streamed request through the load balancer and verifies that the
// stream completes.
func (b *loadBalancer) sendStream(number int) error {
	address, err := b.pick()
	if err != nil {
		return err
	}
	body := fmt.Sprintf(`{"model":"notes","prompt":"transect %d","max_tokens":80,"stream":true}`, number)
	response, responseBody, err := sendTo(context.Background(), address, http.MethodPost, "/v1/completions", body, b.cluster.authHeader())
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %s", response.StatusCode, responseBody)
	}
	if _, complete, err := readStream(responseBody); err != nil || !complete {
		return fmt.Errorf("the stream is incomplete: %w", err)
	}
	return nil
}

// TestRollingRestartLosesNoRequests restarts all instances one after the other under
// load: no request may fail.
func TestRollingRestartLosesNoRequests(t *testing.T) {
	c := startCluster(t, "split-a", "split-b", "split-c")
	b := &loadBalancer{cluster: c, addresses: map[string]string{}}
	for name, instance := range c.instances {
		b.setAddress(name, instance.callerAddress)
	}
	b.checkHealth()
	stop := make(chan struct{})
	var workers sync.WaitGroup
	workers.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
				b.checkHealth()
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
				if err := b.sendStream(int(sent.Add(1))); err != nil {
					failures <- err
				}
			}
		})
	}
	for _, domain := range []string{"split-a", "split-b", "split-c"} {
		stopped := c.instances[domain+"-1"]
		stopped.signal(syscall.SIGTERM)
		select {
		case err := <-stopped.exited:
			require.NoError(t, err)
		case <-time.After(startTimeout):
			t.Fatal("the instance did not exit")
		}
		started := c.startInstance(domain+"-1", domain)
		b.setAddress(domain+"-1", started.callerAddress)
		c.waitReady()
	}
	close(stop)
	workers.Wait()
	close(failures)
	for err := range failures {
		t.Error(err)
	}
	require.Greater(t, sent.Load(), int64(50))
	t.Logf("%d requests while all instances were restarted", sent.Load())
}
