package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/tmaxmax/go-sse"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/completer"
	"github.com/hyssopdoor/hyssopdoor/internal/standin/engine"
)

// Parts of the requests that try --once sends.
const (
	oncePrompt    = "Is the scarp at km 14 active?"
	onceMaxTokens = 32
	onceTimeout   = 10 * time.Second
	// withdrawnWithin is how soon a withdrawn key must be refused.
	withdrawnWithin = 3 * time.Second
)

// check is one request of try --once and what must come of it.
type check struct {
	name string
	run  func(ctx context.Context, t *trial) (string, error)
}

var checks = []check{
	{"a streamed request gets its whole answer", checkStream},
	{"an order is recorded", func(ctx context.Context, t *trial) (string, error) {
		return t.order(ctx, http.StatusCreated, "")
	}},
	{"the same order again gets the first answer", func(ctx context.Context, t *trial) (string, error) {
		return t.order(ctx, http.StatusCreated, "true")
	}},
	{"the service has the order once", checkRecords},
	{"an open route needs no key", checkOpen},
	{"a withdrawn key is refused", checkWithdrawn},
}

// once runs the checks and prints what came back.
func (t *trial) once(ctx context.Context, w io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, onceTimeout)
	defer cancel()
	failed := 0
	for _, check := range checks {
		got, err := check.run(ctx, t)
		verdict := "ok"
		if err != nil {
			verdict = "FAILED: " + err.Error()
			failed++
		}
		fmt.Fprintf(w, "%-45s %s\n    %s\n", check.name, verdict, got)
	}
	if failed > 0 {
		return errors.Errorf("try: %d of %d checks failed", failed, len(checks))
	}
	return nil
}

func (t *trial) send(ctx context.Context, method, path, body string, header http.Header) (*http.Response, string, error) {
	return sendTo(ctx, t.running.Addresses().Callers, method, path, body, header)
}

// sendTo sends a request to the address and reads the whole answer.
func sendTo(ctx context.Context, address, method, path, body string, header http.Header) (*http.Response, string, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return nil, "", err
	}
	request.Header = header
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	return response, string(answer), err
}

func (t *trial) keyed() http.Header {
	return http.Header{"Authorization": {"Bearer " + t.key.Secret}, "Content-Type": {"application/json"}}
}

func onceBody() string {
	return fmt.Sprintf(`{"model":"scarp","prompt":%q,"max_tokens":%d,"stream":true}`, oncePrompt, onceMaxTokens)
}

func checkStream(ctx context.Context, t *trial) (string, error) {
	response, answer, err := t.send(ctx, http.MethodPost, "/v1/completions", onceBody(), t.keyed())
	if err != nil {
		return "", err
	}
	if response.StatusCode != http.StatusOK {
		return answer, errors.Errorf("status %d", response.StatusCode)
	}
	text, done, err := readStream(answer)
	if err != nil {
		return answer, err
	}
	if want := engine.Expected(oncePrompt, onceMaxTokens); text != want || !done {
		return text, errors.New("the stream is not the whole answer")
	}
	return text, nil
}

// readStream returns the text of a stream and whether its end was marked.
func readStream(stream string) (text string, done bool, err error) {
	for event, err := range sse.Read(bytes.NewReader([]byte(stream)), nil) {
		if err != nil {
			return text, false, err
		}
		if event.Data == completer.DoneData {
			return text, true, nil
		}
		chunk, err := completer.DecodeChunk(completer.KindText, event.Data)
		if err != nil {
			return text, false, err
		}
		text += chunk.Text
	}
	return text, false, nil
}

func (t *trial) order(ctx context.Context, status int, replayed string) (string, error) {
	header := t.keyed()
	header.Set("Idempotency-Key", "term-order-1")
	response, answer, err := t.send(ctx, http.MethodPost, "/services/ordering/orders", `{"title":"Geography 2","copies":40}`, header)
	if err != nil {
		return "", err
	}
	answer = strings.TrimSpace(answer)
	if response.StatusCode != status || response.Header.Get("Idempotency-Replayed") != replayed {
		return answer, errors.Errorf("status %d, replayed %q", response.StatusCode, response.Header.Get("Idempotency-Replayed"))
	}
	return answer, nil
}

func checkRecords(ctx context.Context, t *trial) (string, error) {
	service := t.standIns[len(t.standIns)-1]
	_, answer, err := sendTo(ctx, service.Address(), http.MethodGet, "/records", "", http.Header{})
	if err != nil {
		return "", err
	}
	text := strings.TrimSpace(answer)
	if !strings.Contains(text, `"total":1,"doubles":0`) || !strings.Contains(text, `"sawAuthorization":0`) {
		return text, errors.New("the service has not recorded exactly one order, without a key")
	}
	return text, nil
}

func checkOpen(ctx context.Context, t *trial) (string, error) {
	response, answer, err := t.send(ctx, http.MethodGet, "/services/ordering/stock/geography-2", "", http.Header{})
	if err != nil {
		return "", err
	}
	if response.StatusCode != http.StatusOK {
		return answer, errors.Errorf("status %d", response.StatusCode)
	}
	return strings.TrimSpace(answer), nil
}

func checkWithdrawn(ctx context.Context, t *trial) (string, error) {
	if _, err := t.operators.WithdrawKey(ctx, t.key.ID); err != nil {
		return "", err
	}
	end := time.Now().Add(withdrawnWithin)
	for {
		response, answer, err := t.send(ctx, http.MethodPost, "/v1/completions", onceBody(), t.keyed())
		if err != nil {
			return "", err
		}
		if response.StatusCode == http.StatusUnauthorized {
			return answer, nil
		}
		if time.Now().After(end) {
			return answer, errors.Errorf("status %d", response.StatusCode)
		}
		time.Sleep(tryPoll)
	}
}
