package gateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/secret"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/bodytimer"
)

// Names of header fields that callers send.
const (
	authorizationHeader  = "Authorization"
	classHeader          = "X-Hyssopdoor-Class"
	idempotencyKeyHeader = "Idempotency-Key"
	lastEventIDHeader    = "Last-Event-ID"
)

// maxHeaderBytes bounds an idempotency key, a class and a last event's identifier, in
// bytes each.
const maxHeaderBytes = 255

// callerRequest has the header fields and the body that all requests have in common.
type callerRequest struct {
	key            secret.Secret
	class          string
	idempotencyKey string
	lastEventID    string
	body           []byte
}

func invalidRequest(message string) *action.Refusal {
	refusal := action.NewRefusal(http.StatusBadRequest, action.CodeInvalidRequest, message)
	return &refusal
}

// readRequest reads the header and the body of a request. It returns a refusal if one
// of them is invalid.
func (g *Gateway) readRequest(w http.ResponseWriter, r *http.Request) (callerRequest, *action.Refusal) {
	for _, name := range []string{authorizationHeader, classHeader, idempotencyKeyHeader, lastEventIDHeader} {
		if len(r.Header.Values(name)) > 1 {
			return callerRequest{}, invalidRequest("the header " + name + " stands more than once; send it once")
		}
	}
	input := callerRequest{class: r.Header.Get(classHeader), idempotencyKey: r.Header.Get(idempotencyKeyHeader), lastEventID: r.Header.Get(lastEventIDHeader)}
	if len(input.class) > maxHeaderBytes || len(input.lastEventID) > maxHeaderBytes || len(input.idempotencyKey) > maxHeaderBytes {
		return callerRequest{}, invalidRequest("a header is longer than 255 characters; shorten it")
	}
	key, refusal := parseKey(r.Header.Get(authorizationHeader))
	if refusal != nil {
		return callerRequest{}, refusal
	}
	input.key = key
	input.body, refusal = g.readBody(w, r)
	if refusal != nil {
		return callerRequest{}, refusal
	}
	return input, input.refuseExposedKey(r)
}

func parseKey(authorization string) (secret.Secret, *action.Refusal) {
	if authorization == "" {
		return secret.Secret{}, nil
	}
	key, ok := strings.CutPrefix(authorization, "Bearer ")
	if !ok || key == "" || strings.ContainsAny(key, " \t,") {
		return secret.Secret{}, invalidRequest("the Authorization header is not of the form: Bearer KEY")
	}
	return secret.New(key), nil
}

func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *action.Refusal) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, g.limits.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		refusal := action.NewRefusal(http.StatusRequestEntityTooLarge, action.CodeInvalidRequest, "the body is longer than this instance takes; shorten it")
		return nil, &refusal
	}
	if errors.Is(err, bodytimer.ErrEnded) {
		refusal := g.machine.StoppingRefusal(newRequestID())
		return nil, &refusal
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		refusal := action.NewRefusal(http.StatusRequestTimeout, action.CodeInvalidRequest, "the body did not arrive in time; send it faster")
		return nil, &refusal
	}
	if err != nil {
		return nil, invalidRequest("the body could not be read whole")
	}
	return body, nil
}

// refuseExposedKey refuses a request that repeats its key in a part that is forwarded
// to backend servers.
func (c callerRequest) refuseExposedKey(r *http.Request) *action.Refusal {
	if c.key.IsEmpty() {
		return nil
	}
	key := c.key.Reveal()
	query, err := url.QueryUnescape(r.URL.RawQuery)
	if err != nil {
		return invalidRequest("the query is malformed")
	}
	forwarded := []string{r.URL.Path, query, r.Header.Get("Content-Type"), r.Header.Get("Accept"), r.Header.Get("Accept-Language")}
	exposed := slices.ContainsFunc(forwarded, func(text string) bool { return strings.Contains(text, key) })
	if exposed || bytes.Contains(c.body, []byte(key)) || bytes.Contains(unescapeJSON(c.body), []byte(key)) {
		return invalidRequest("the key stands in the path, the query, the body or another header; send it in the Authorization header only")
	}
	return nil
}

// unescapeJSON returns a JSON body with its \u escapes decoded, or nil if it has none or
// is no valid JSON.
func unescapeJSON(body []byte) []byte {
	if !bytes.Contains(body, []byte(`\u`)) {
		return nil
	}
	var value any
	if json.Unmarshal(body, &value) != nil {
		return nil
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		return nil
	}
	return encoded
}
