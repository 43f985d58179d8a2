package drainlistener_test

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/runtime/drainlistener"
)

// TestConnectionsThatWaitAtTheEndAreAccepted drains a listener whose connections are accepted more
// slowly than the time for new ones allows.
func TestConnectionsThatWaitAtTheEndAreAccepted(t *testing.T) {
	t.Parallel()
	const conns = 28
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := drainlistener.New(tcp.(*net.TCPListener))
	for range conns {
		conn, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		defer conn.Close()
	}
	go listener.Drain()
	accepted := 0
	for {
		conn, err := listener.Accept()
		if err != nil {
			require.ErrorIs(t, err, net.ErrClosed)
			break
		}
		defer conn.Close()
		accepted++
		time.Sleep(10 * time.Millisecond)
	}
	require.Equal(t, conns, accepted)
}
