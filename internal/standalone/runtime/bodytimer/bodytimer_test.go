package bodytimer_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/bodytimer"
)

// TestBodiesByteByByte verifies that a body that arrives byte by byte within the timeout is read, and
// the request handled for longer than that, and that one without end is rejected.
func TestBodiesByteByByte(t *testing.T) {
	tests := map[string]struct {
		head, body string
		status     int
	}{
		"a slow body":           {"Content-Length: 20\r\n\r\n", strings.Repeat("x", 20), http.StatusOK},
		"no body":               {"Content-Length: 0\r\n\r\n", "", http.StatusOK},
		"a slow chunked body":   {"Transfer-Encoding: chunked\r\n\r\n", "3\r\nabc\r\n0\r\n\r\n", http.StatusOK},
		"a body without end":    {"Content-Length: 900\r\n\r\n", strings.Repeat("x", 899), http.StatusRequestTimeout},
		"chunks without end":    {"Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\nx\r\n", 500), http.StatusRequestTimeout},
		"a body that stops":     {"Content-Length: 900\r\n\r\n", "x", http.StatusRequestTimeout},
		"a trailer without end": {"Transfer-Encoding: chunked\r\n\r\n", "0\r\n" + strings.Repeat("X: y\r\n", 500), http.StatusRequestTimeout},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(bodytimer.New(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if _, err := io.ReadAll(r.Body); err != nil {
					w.WriteHeader(http.StatusRequestTimeout)
					return
				}
				select {
				case <-r.Context().Done():
				case <-time.After(900 * time.Millisecond):
					w.WriteHeader(http.StatusOK)
				}
			}), 600*time.Millisecond))
			defer server.Close()
			conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
			require.NoError(t, err)
			defer conn.Close()
			go func() {
				_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\n"+test.head)
				for i := range len(test.body) {
					if _, err := io.WriteString(conn, test.body[i:i+1]); err != nil {
						return
					}
					time.Sleep(10 * time.Millisecond)
				}
			}()
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(4*time.Second)))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			require.Equal(t, test.status, response.StatusCode)
		})
	}
}
