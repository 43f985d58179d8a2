package edge

import (
	"bytes"
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
