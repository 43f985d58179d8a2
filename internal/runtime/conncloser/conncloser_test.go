package conncloser_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/runtime/conncloser"
)

// TestClose closes connections whose other end has not read, and reads there.
func TestClose(t *testing.T) {
	for name, test := range map[string]struct {
		bytes int
		err   error
	}{
		"nothing written": {},
		"all sent":        {bytes: 1000},
		"a part unsent":   {bytes: 16 << 20, err: syscall.ECONNRESET},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer listener.Close()
			conn, err := net.Dial("tcp", listener.Addr().String())
			require.NoError(t, err)
			other, err := listener.Accept()
			require.NoError(t, err)
			defer other.Close()
			require.NoError(t, conn.SetWriteDeadline(time.Now().Add(200*time.Millisecond)))
			_, _ = conn.Write(make([]byte, test.bytes))
			require.NoError(t, conncloser.Close(conn))
			require.NoError(t, other.SetReadDeadline(time.Now().Add(5*time.Second)))
			read, err := io.Copy(io.Discard, other)
			require.ErrorIs(t, err, test.err)
			require.Equal(t, test.err == nil, int(read) == test.bytes)
		})
	}
}
