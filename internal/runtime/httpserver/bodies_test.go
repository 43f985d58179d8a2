package httpserver_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/runtime/httpserver"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// holdingHandler answers all requests when it is released.
type holdingHandler struct {
	received atomic.Int64
	release  chan struct{}
}

// CallerTimeout returns no timeout.
func (h *holdingHandler) CallerTimeout(*httpserver.InboundRequest) clock.Millis { return 0 }

// Handle answers after the release.
func (h *holdingHandler) Handle(_ *httpserver.InboundRequest, response *httpserver.ResponseWriter) {
	h.received.Add(1)
	<-h.release
	response.WriteResponse(http.StatusOK, nil, nil)
}

// TestLongChunkedBodiesExceedNoMemory guards against bodies of unknown length that grow beyond what was
// reserved for them, until the platform ends the process. Short ones are still read.
func TestLongChunkedBodiesExceedNoMemory(t *testing.T) {
	const memory, length, senders = 4 << 20, 500 << 10, 20
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	handler := &holdingHandler{release: make(chan struct{})}
	server := httpserver.New(handler, memory)
	go func() { _ = server.Serve(listener) }()
	body := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", length, strings.Repeat("a", length))
	var answered, rejected atomic.Int64
	for range senders {
		go func() {
			conn, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				return
			}
			defer conn.Close()
			_, _ = io.WriteString(conn, body)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			switch {
			case err == nil && response.StatusCode == http.StatusOK:
				answered.Add(1)
			case err == nil && response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") != "":
				rejected.Add(1)
			}
		}()
	}
	require.Eventually(t, func() bool { return rejected.Load()+handler.received.Load() == senders }, 5*time.Second, time.Millisecond)
	read := handler.received.Load()
	require.Positive(t, read)
	require.LessOrEqual(t, read*length, int64(memory))
	close(handler.release)
	require.Eventually(t, func() bool { return answered.Load() == read && server.BodyBytes() == 0 }, 5*time.Second, time.Millisecond)
	require.True(t, strings.HasPrefix(exchangeRaw(t, listener.Addr().String(), body), "HTTP/1.1 200 "), "there is memory again")
}
