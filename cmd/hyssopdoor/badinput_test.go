package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1/peerv1connect"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/exitcode"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/operator"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/peer"
)

func startTestDemo(t *testing.T) *demo {
	t.Helper()
	demo, err := startDemo(context.Background(), false)
	require.NoError(t, err)
	t.Cleanup(demo.close)
	return demo
}

// TestBadRequestsGetClearErrors verifies that each invalid request is rejected with
// a status, an error code and notRun, and never reaches the service.
func TestBadRequestsGetClearErrors(t *testing.T) {
	demo := startTestDemo(t)
	key := demo.key.Secret
	validBody := `{"model":"scarp","prompt":"x"}`
	tests := map[string]struct {
		method, path, body string
		header             http.Header
		status             int
		code               action.Code
	}{
		"no key":                   {"POST", "/v1/completions", validBody, http.Header{"Authorization": nil}, 401, action.CodeInvalidKey},
		"unknown key":              {"POST", "/v1/completions", validBody, http.Header{"Authorization": {"Bearer nobody"}}, 401, action.CodeInvalidKey},
		"repeated key":             {"POST", "/v1/completions", validBody, http.Header{"Authorization": {"Bearer a", "Bearer b"}}, 400, action.CodeInvalidRequest},
		"no bearer":                {"POST", "/v1/completions", validBody, http.Header{"Authorization": {"Basic eA=="}}, 400, action.CodeInvalidRequest},
		"key in query":             {"GET", "/services/ordering/stock?key=" + key, "", nil, 400, action.CodeInvalidRequest},
		"key escaped in query":     {"GET", "/services/ordering/stock?key=%68" + key[1:], "", nil, 400, action.CodeInvalidRequest},
		"key in body":              {"POST", "/v1/completions", `{"model":"scarp","prompt":"` + key + `"}`, nil, 400, action.CodeInvalidRequest},
		"key escaped in body":      {"POST", "/v1/completions", `{"model":"scarp","prompt":"\u0068` + key[1:] + `"}`, nil, 400, action.CodeInvalidRequest},
		"malformed JSON":           {"POST", "/v1/completions", `{"model":`, nil, 400, action.CodeInvalidRequest},
		"not an object":            {"POST", "/v1/completions", `[1]`, nil, 400, action.CodeInvalidRequest},
		"no model":                 {"POST", "/v1/completions", `{"prompt":"x"}`, nil, 400, action.CodeInvalidRequest},
		"no prompt":                {"POST", "/v1/completions", `{"model":"scarp"}`, nil, 400, action.CodeInvalidRequest},
		"no messages":              {"POST", "/v1/chat/completions", `{"model":"scarp","messages":[]}`, nil, 400, action.CodeInvalidRequest},
		"negative tokens":          {"POST", "/v1/completions", `{"model":"scarp","prompt":"x","max_tokens":-1}`, nil, 400, action.CodeInvalidRequest},
		"several choices":          {"POST", "/v1/completions", `{"model":"scarp","prompt":"x","n":3}`, nil, 400, action.CodeInvalidRequest},
		"unknown model":            {"POST", "/v1/completions", `{"model":"nobody","prompt":"x"}`, nil, 404, action.CodeNoRoute},
		"unknown class":            {"POST", "/v1/completions", validBody, http.Header{"X-Hyssopdoor-Class": {"nobody"}}, 400, action.CodeUnknownClass},
		"over the burst":           {"POST", "/v1/completions", `{"model":"scarp","prompt":"x","max_tokens":90000}`, nil, 413, action.CodeOverBurst},
		"oversize body":            {"POST", "/v1/completions", `{"model":"scarp","prompt":"` + strings.Repeat("x", 9<<20) + `"}`, nil, 413, action.CodeInvalidRequest},
		"no idempotency key":       {"POST", "/services/ordering/orders", "x", nil, 400, action.CodeIdempotencyKeyMissing},
		"long idempotency key":     {"POST", "/services/ordering/orders", "x", http.Header{"Idempotency-Key": {strings.Repeat("k", 256)}}, 400, action.CodeInvalidRequest},
		"repeated idempotency key": {"POST", "/services/ordering/orders", "x", http.Header{"Idempotency-Key": {"a", "b"}}, 400, action.CodeInvalidRequest},
		"path with dots":           {"POST", "/services/ordering/stock/../orders", "x", nil, 400, action.CodeInvalidRequest},
		"path with slashes":        {"POST", "/services/ordering//orders", "x", nil, 400, action.CodeInvalidRequest},
		"path with escapes":        {"POST", "/services/ordering/%6frders", "x", nil, 400, action.CodeInvalidRequest},
		"unknown service":          {"GET", "/services/nobody/x", "", nil, 404, action.CodeNoRoute},
		"unknown path":             {"GET", "/nothing", "", nil, 404, action.CodeNoRoute},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			header := demo.authHeader()
			for field, values := range test.header {
				header[field] = values
			}
			response, responseBody, err := demo.send(context.Background(), test.method, test.path, test.body, header)
			require.NoError(t, err)
			require.Equal(t, test.status, response.StatusCode, responseBody)
			var body struct {
				Error struct {
					Code    action.Code
					Message string
					NotRun  bool
				}
			}
			require.NoError(t, json.Unmarshal([]byte(responseBody), &body), responseBody)
			require.Equal(t, test.code, body.Error.Code)
			require.NotEmpty(t, body.Error.Message)
			require.True(t, body.Error.NotRun)
			require.NotContains(t, responseBody, key)
		})
	}
	_, records, err := sendTo(context.Background(), demo.simulators[3].Address(), http.MethodGet, "/records", "", nil)
	require.NoError(t, err)
	require.Contains(t, records, `"total":0`, "no invalid request may reach the service")
}

// TestRequestSmugglingIsRejected sends raw requests that two HTTP parsers could frame
// differently.
func TestRequestSmugglingIsRejected(t *testing.T) {
	demo := startTestDemo(t)
	tests := map[string]string{
		"both lengths":      "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /services/ordering/orders HTTP/1.1\r\nHost: x\r\n\r\n",
		"two lengths":       "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
		"odd encoding":      "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
		"newline in header": "X-A: b\r\n Authorization: Bearer x\nX: y\r\nContent-Length: -1\r\n\r\n",
	}
	for name, header := range tests {
		t.Run(name, func(t *testing.T) {
			connection, err := net.Dial("tcp", demo.instance.Addresses().Callers)
			require.NoError(t, err)
			defer connection.Close()
			fmt.Fprintf(connection, "POST /services/ordering/orders HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer %s\r\n%s", demo.key.Secret, header)
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			require.NoError(t, err)
			defer response.Body.Close()
			_, err = io.Copy(io.Discard, response.Body)
			require.NoError(t, err)
			require.GreaterOrEqual(t, response.StatusCode, 400)
		})
	}
	_, records, err := sendTo(context.Background(), demo.simulators[3].Address(), http.MethodGet, "/records", "", nil)
	require.NoError(t, err)
	require.Contains(t, records, `"total":0`)
}

// TestCredentialsAreRequired verifies that the operator and peer addresses reject
// requests without a valid credential, on every path.
func TestCredentialsAreRequired(t *testing.T) {
	demo := startTestDemo(t)
	addresses := demo.instance.Addresses()
	for _, path := range []string{"/operator/config", "/operator/keys", "/operator/status", "/operator/calls", "/operator/explain/r1", "/debug/vars", "/nothing"} {
		for name, header := range map[string]http.Header{"none": {}, "wrong": {"Authorization": {"Bearer wrong"}}, "caller's key": demo.authHeader()} {
			response, _, err := sendTo(context.Background(), addresses.Operators, http.MethodGet, path, "", header)
			require.NoError(t, err)
			require.Equal(t, http.StatusUnauthorized, response.StatusCode, "%s with credential: %s", path, name)
		}
	}
	for _, credential := range []string{"", "Bearer not-the-fleet-credential", "Bearer " + demo.operatorToken} {
		client := peerv1connect.NewPeerServiceClient(&http.Client{Transport: &http.Transport{Protocols: peer.SenderProtocols()}}, "http://"+addresses.Peers)
		stream := client.Deliver(context.Background())
		stream.RequestHeader().Set("Authorization", credential)
		_ = stream.Send(&peerv1.DeliverRequest{From: "stranger", Messages: []*peerv1.Message{{}}})
		_, err := stream.CloseAndReceive()
		require.ErrorContains(t, err, "unauthenticated")
	}
	_, responseBody, err := sendTo(context.Background(), addresses.Peers, http.MethodPost, "/hyssopdoor.peer.v1.PeerService/Deliver", "\x00\xff garbage", http.Header{"Content-Type": {"application/proto"}})
	require.NoError(t, err)
	require.NotContains(t, responseBody, "panic")
}

// TestRejectedOperationsKeepConfiguration verifies that a rejected operation leaves
// the configuration unchanged.
func TestRejectedOperationsKeepConfiguration(t *testing.T) {
	demo := startTestDemo(t)
	ctx := context.Background()
	before, err := demo.operatorClient.Config(ctx)
	require.NoError(t, err)
	tests := map[string]struct {
		change operator.ConfigChange
		status int
		text   string
	}{
		"findings":        {operator.ConfigChange{File: "f.ini", Config: "[fleet]\ndomains = a\n[team t]\nrate = -1\n"}, 422, "f.ini:4: team t.rate"},
		"stale base":      {operator.ConfigChange{File: "f.ini", Config: tryConfig, Base: 99}, 409, "another operator"},
		"over a megabyte": {operator.ConfigChange{File: "f.ini", Config: tryConfig + manyRoutes(20000)}, 422, "shard fleet has"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := demo.operatorClient.Apply(ctx, test.change)
			var responseErr *operator.ResponseError
			require.ErrorAs(t, err, &responseErr)
			require.Equal(t, test.status, responseErr.Status, responseErr.Error())
			require.ErrorContains(t, err, test.text)
		})
	}
	_, err = demo.operatorClient.IssueKey(ctx, "nobody")
	require.ErrorContains(t, err, "team nobody is not configured")
	_, err = demo.operatorClient.WithdrawKey(ctx, "nobody")
	require.ErrorContains(t, err, "no key has the identifier nobody")
	after, err := demo.operatorClient.Config(ctx)
	require.NoError(t, err)
	require.Equal(t, before, after)
}

func manyRoutes(count int) string {
	text := &strings.Builder{}
	for i := range count {
		fmt.Fprintf(text, "[route r%d]\nmodel = m%d\nclass = draft\n", i, i)
	}
	return text.String()
}

func TestExitCodes(t *testing.T) {
	tests := map[string]struct {
		args []string
		code int
	}{
		"help":                 {[]string{"--help"}, exitcode.Success},
		"help of a command":    {[]string{"config", "apply", "--help"}, exitcode.Success},
		"no command":           {nil, exitcode.Usage},
		"unknown command":      {[]string{"srve"}, exitcode.Usage},
		"missing option":       {[]string{"serve"}, exitcode.Usage},
		"missing file":         {[]string{"serve", "--settings", "/nonexistent.ini"}, exitcode.Failure},
		"findings":             {[]string{"check", "testdata/bad.ini"}, exitcode.Usage},
		"good configuration":   {[]string{"check", "try.ini"}, exitcode.Success},
		"no token":             {[]string{"status"}, exitcode.Usage},
		"unreachable instance": {[]string{"status", "--token", "x", "--operator", "127.0.0.1:1"}, exitcode.Failure},
		"contradicting flags":  {[]string{"calls", "resolve", "x", "--ran", "--not-run", "--token", "x"}, exitcode.Usage},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.code, run(test.args))
		})
	}
}
