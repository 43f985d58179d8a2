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

// Parameters of the requests that try --once sends, and its time limits.
const (
	selfTestPrompt    = "Is the scarp at km 14 active?"
	selfTestMaxTokens = 32
	selfTestTimeout   = 10 * time.Second
	// withdrawalTimeout is the time within which a withdrawn key must be rejected.
	withdrawalTimeout = 3 * time.Second
)

// selfTest is one check of try --once. Its function returns the response to print.
type selfTest struct {
	name string
	run  func(ctx context.Context, d *demo) (string, error)
}

var selfTests = []selfTest{
	{"a streamed response is complete", verifyStream},
	{"an order is recorded", func(ctx context.Context, d *demo) (string, error) {
		return d.placeOrder(ctx, http.StatusCreated, "")
	}},
	{"a repeated order returns the first response", func(ctx context.Context, d *demo) (string, error) {
		return d.placeOrder(ctx, http.StatusCreated, "true")
	}},
	{"the service has recorded the order once", verifySingleRecord},
	{"an open route needs no key", verifyOpenRoute},
	{"a withdrawn key is rejected", verifyWithdrawnKey},
}

// runSelfTests runs the checks and prints their results and responses.
func (d *demo) runSelfTests(ctx context.Context, w io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, selfTestTimeout)
	defer cancel()
	failed := 0
	for _, test := range selfTests {
		got, err := test.run(ctx, d)
		result := "ok"
		if err != nil {
			result = "FAILED: " + err.Error()
			failed++
		}
		fmt.Fprintf(w, "%-45s %s\n    %s\n", test.name, result, got)
	}
	if failed > 0 {
		return errors.Errorf("try: %d of %d checks failed", failed, len(selfTests))
	}
	return nil
}

func (d *demo) send(ctx context.Context, method, path, body string, header http.Header) (*http.Response, string, error) {
	return sendTo(ctx, d.instance.Addresses().Callers, method, path, body, header)
}

// sendTo sends a request to the address and reads the whole response body.
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
	responseBody, err := io.ReadAll(response.Body)
	return response, string(responseBody), err
}

func (d *demo) authHeader() http.Header {
	return http.Header{"Authorization": {"Bearer " + d.key.Secret}, "Content-Type": {"application/json"}}
}

func selfTestBody() string {
	return fmt.Sprintf(`{"model":"scarp","prompt":%q,"max_tokens":%d,"stream":true}`, selfTestPrompt, selfTestMaxTokens)
}

func verifyStream(ctx context.Context, d *demo) (string, error) {
	response, responseBody, err := d.send(ctx, http.MethodPost, "/v1/completions", selfTestBody(), d.authHeader())
	if err != nil {
		return "", err
	}
	if response.StatusCode != http.StatusOK {
		return responseBody, errors.Errorf("status %d", response.StatusCode)
	}
	text, complete, err := readStream(responseBody)
	if err != nil {
		return responseBody, err
	}
	if want := engine.Expected(selfTestPrompt, selfTestMaxTokens); text != want || !complete {
		return text, errors.New("the stream is incomplete or its text is wrong")
	}
	return text, nil
}

// readStream returns the text of a stream and whether it ended with the end marker.
func readStream(stream string) (text string, complete bool, err error) {
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

// placeOrder sends an order and verifies the status of the response and its header
// Idempotency-Replayed.
func (d *demo) placeOrder(ctx context.Context, status int, replayed string) (string, error) {
	header := d.authHeader()
	header.Set("Idempotency-Key", "term-order-1")
	response, responseBody, err := d.send(ctx, http.MethodPost, "/services/ordering/orders", `{"title":"Geography 2","copies":40}`, header)
	if err != nil {
		return "", err
	}
	responseBody = strings.TrimSpace(responseBody)
	if response.StatusCode != status || response.Header.Get("Idempotency-Replayed") != replayed {
		return responseBody, errors.Errorf("status %d, replayed %q", response.StatusCode, response.Header.Get("Idempotency-Replayed"))
	}
	return responseBody, nil
}

func verifySingleRecord(ctx context.Context, d *demo) (string, error) {
	service := d.simulators[len(d.simulators)-1]
	_, responseBody, err := sendTo(ctx, service.Address(), http.MethodGet, "/records", "", http.Header{})
	if err != nil {
		return "", err
	}
	text := strings.TrimSpace(responseBody)
	if !strings.Contains(text, `"total":1,"doubles":0`) || !strings.Contains(text, `"sawAuthorization":0`) {
		return text, errors.New("the service has not recorded exactly one order without an Authorization header")
	}
	return text, nil
}

func verifyOpenRoute(ctx context.Context, d *demo) (string, error) {
	response, responseBody, err := d.send(ctx, http.MethodGet, "/services/ordering/stock/geography-2", "", http.Header{})
	if err != nil {
		return "", err
	}
	if response.StatusCode != http.StatusOK {
		return responseBody, errors.Errorf("status %d", response.StatusCode)
	}
	return strings.TrimSpace(responseBody), nil
}

func verifyWithdrawnKey(ctx context.Context, d *demo) (string, error) {
	if _, err := d.operatorClient.WithdrawKey(ctx, d.key.ID); err != nil {
		return "", err
	}
	deadline := time.Now().Add(withdrawalTimeout)
	for {
		response, responseBody, err := d.send(ctx, http.MethodPost, "/v1/completions", selfTestBody(), d.authHeader())
		if err != nil {
			return "", err
		}
		if response.StatusCode == http.StatusUnauthorized {
			return responseBody, nil
		}
		if time.Now().After(deadline) {
			return responseBody, errors.Errorf("status %d", response.StatusCode)
		}
		time.Sleep(pollInterval)
	}
}
