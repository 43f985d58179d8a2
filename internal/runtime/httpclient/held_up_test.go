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

// serveTunnels grants the tunnels that are requested on connections to the listener.
func serveTunnels(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+httpclient.TunnelVerdict+": "+tunnelverdict.Reached.String()+"\r\n\r\n")
			}
		}()
	}
}

// TestHeldUpProcessReachesServers guards against an instance that has too little processor time and counts
// sound servers and instances as unreachable, because it takes longer than the limit itself.
func TestHeldUpProcessReachesServers(t *testing.T) {
	tests := map[string]func(address string) *httpclient.Tunnel{
		"connect": func(string) *httpclient.Tunnel { return nil },
		"tunnel":  func(address string) *httpclient.Tunnel { return &httpclient.Tunnel{Address: address} },
	}
	for name, tunnel := range tests {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer listener.Close()
			go serveTunnels(listener)
			defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
			var ended atomic.Bool
			defer ended.Store(true)
			for range 40 {
				go func() {
					for !ended.Load() {
					}
				}()
			}
			address := listener.Addr().String()
			var connects sync.WaitGroup
			var failed atomic.Int32
			for range 10 {
				connects.Go(func() {
					if verdict, _ := httpclient.Probe(context.Background(), address, tunnel(address)); verdict != tunnelverdict.Reached {
						failed.Add(1)
					}
				})
			}
			connects.Wait()
			require.Zero(t, failed.Load())
		})
	}
}
