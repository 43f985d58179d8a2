package httpclient_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/tunnelverdict"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/httpclient"
)

// TestHeldUpProcessReachesServers guards against an instance that has too little processor time and counts
// sound servers and instances as unreachable, because it takes longer than the limit itself.
func TestHeldUpProcessReachesServers(t *testing.T) {
	address, _ := listen(t, func(conn net.Conn) {
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTunnel-Verdict: reached\r\n\r\n")
		}
	})
	for name, tunnel := range map[string]*httpclient.Tunnel{"connect": nil, "tunnel": {Address: address}} {
		t.Run(name, func(t *testing.T) {
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
					if verdict, _ := httpclient.Probe(context.Background(), address, tunnel); verdict != tunnelverdict.Reached {
						failed.Add(1)
					}
				})
			}
			connects.Wait()
			require.Zero(t, failed.Load())
		})
	}
}
