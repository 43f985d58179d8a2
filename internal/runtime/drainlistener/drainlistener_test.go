package drainlistener_test

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/runtime/drainlistener"
)

// TestConnectionsThatWaitAtTheEndAreAccepted drains a listener whose connections still wait when the
// time for new ones is over.
func TestConnectionsThatWaitAtTheEndAreAccepted(t *testing.T) {
	t.Parallel()
	const conns = 50
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := drainlistener.New(tcp.(*net.TCPListener))
	for range conns {
		conn, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		defer conn.Close()
	}
	go listener.Drain()
	time.Sleep(300 * time.Millisecond)
	accepted := 0
	for {
		conn, err := listener.Accept()
		if err != nil {
			require.ErrorIs(t, err, net.ErrClosed)
			break
		}
		defer conn.Close()
		accepted++
	}
	require.Equal(t, conns, accepted)
}
