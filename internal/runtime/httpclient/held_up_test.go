package httpclient_test

import (
	"context"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/runtime/httpclient"
)

// TestHeldUpProcessReachesServers guards against an instance that has too little processor time and counts
// sound servers as unreachable, because its connects take longer than the limit.
func TestHeldUpProcessReachesServers(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var ended atomic.Bool
	defer ended.Store(true)
	for range 40 {
		go func() {
			for !ended.Load() {
			}
		}()
	}
	var connects sync.WaitGroup
	var failed atomic.Int32
	for range 10 {
		connects.Go(func() {
			conn, err := httpclient.Connect(context.Background(), listener.Addr().String())
			if err != nil {
				failed.Add(1)
				return
			}
			_ = conn.Close()
		})
	}
	connects.Wait()
	require.Zero(t, failed.Load())
}
