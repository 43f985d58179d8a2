package gateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/secret"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
)

// Names of header fields that callers send.
const (
	authorizationField  = "Authorization"
	classField          = "X-Hyssopdoor-Class"
	idempotencyKeyField = "Idempotency-Key"
	lastEventField      = "Last-Event-ID"
)

// maxFieldBytes bounds an idempotency key and a class, in bytes.
const maxFieldBytes = 255

// input is what is common to all requests.
type input struct {
	key            secret.Secret
	class          string
	idempotencyKey string
	lastEvent      string
	body           []byte
}

func invalid(message string) *action.Refusal {
	refusal := action.NewRefusal(http.StatusBadRequest, action.CodeInvalidRequest, message)
	return &refusal
}

// readInput reads the header and the body of a request, or tells what is wrong.
func (g *Gateway) readInput(w http.ResponseWriter, r *http.Request) (input, *action.Refusal) {
	for _, name := range []string{authorizationField, classField, idempotencyKeyField, lastEventField} {
		if len(r.Header.Values(name)) > 1 {
			return input{}, invalid("the header " + name + " stands more than once; send it once")
		}
	}
	read := input{class: r.Header.Get(classField), idempotencyKey: r.Header.Get(idempotencyKeyField), lastEvent: r.Header.Get(lastEventField)}
	if len(read.class) > maxFieldBytes || len(read.lastEvent) > maxFieldBytes || len(read.idempotencyKey) > maxFieldBytes {
		return input{}, invalid("a header is longer than 255 characters; shorten it")
	}
	key, refusal := readKey(r.Header.Get(authorizationField))
	if refusal != nil {
		return input{}, refusal
	}
	read.key = key
	read.body, refusal = g.readBody(w, r)
	if refusal != nil {
		return input{}, refusal
	}
	return read, read.refuseStrayKey(r)
}

func readKey(field string) (secret.Secret, *action.Refusal) {
	if field == "" {
		return secret.Secret{}, nil
	}
	key, ok := strings.CutPrefix(field, "Bearer ")
	if !ok || key == "" || strings.ContainsAny(key, " \t,") {
		return secret.Secret{}, invalid("the Authorization header is not of the form: Bearer KEY")
	}
	return secret.New(key), nil
}

func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *action.Refusal) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, g.limits.BodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		refusal := action.NewRefusal(http.StatusRequestEntityTooLarge, action.CodeInvalidRequest, "the body is longer than this instance takes; shorten it")
		return nil, &refusal
	}
	if err != nil {
		return nil, invalid("the body could not be read whole")
	}
	return body, nil
}

// refuseStrayKey refuses a request whose key also stands where a backend
// server would see it.
func (i input) refuseStrayKey(r *http.Request) *action.Refusal {
	if i.key.Empty() {
		return nil
	}
	key := i.key.Reveal()
	query, err := url.QueryUnescape(r.URL.RawQuery)
	if err != nil {
		return invalid("the query is malformed")
	}
	passed := []string{r.URL.Path, query, r.Header.Get("Content-Type"), r.Header.Get("Accept"), r.Header.Get("Accept-Language")}
	stray := slices.ContainsFunc(passed, func(text string) bool { return strings.Contains(text, key) })
	if stray || bytes.Contains(i.body, []byte(key)) || bytes.Contains(unescaped(i.body), []byte(key)) {
		return invalid("the key stands in the path, the query, the body or another header; send it in the Authorization header only")
	}
	return nil
}

// unescaped returns a JSON body with its characters as they are, when it has
// escaped ones.
func unescaped(body []byte) []byte {
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
