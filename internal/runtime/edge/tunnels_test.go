package edge

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/runtime/bootclock"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/httpclient"
)

// TestPausedHopForwardsNoRequest guards against an instance that was paused after it had admitted a
// tunnel, and then forwards a request to a server that may have asked for a pause meanwhile. A
// request that has begun is completed.
func TestPausedHopForwardsNoRequest(t *testing.T) {
	var server bytes.Buffer
	late := &requestWriter{target: &server, allowed: before(bootclock.Now())}
	_, err := late.Write([]byte("GET"))
	require.ErrorIs(t, err, httpclient.ErrExpired)
	require.Zero(t, server.Len())

	allowed := true
	begun := &requestWriter{target: &server, allowed: func() bool { return allowed }}
	_, err = begun.Write([]byte("GET"))
	require.NoError(t, err)
	allowed = false
	_, err = begun.Write([]byte(" /"))
	require.NoError(t, err)
	require.Equal(t, "GET /", server.String())
}

// TestTunnelKeepsNoHeadWithoutEnd guards against an instance that keeps, for another one, all that a server
// sends in place of the head of a response.
func TestTunnelKeepsNoHeadWithoutEnd(t *testing.T) {
	interim := "HTTP/1.1 103 Early\r\nLink: " + strings.Repeat("x", 2000) + "\r\n\r\n"
	for name, received := range map[string]string{"a field": "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 4000), "no response": strings.Repeat("x", 4000), "interim responses": interim + interim} {
		t.Run(name, func(t *testing.T) {
			collector := &headCollector{}
			for range 100 {
				require.Nil(t, collector.add([]byte(received)))
				require.LessOrEqual(t, len(collector.bytes), maxTunnelHeadBytes)
			}
		})
	}
}
