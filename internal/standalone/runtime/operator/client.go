package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/secret"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/router"
)

// clientTimeout bounds one call of a Client.
const clientTimeout = 10 * time.Second

// Client calls the operator API of one instance.
type Client struct {
	address string
	token   secret.Secret
	http    *http.Client
}

// NewClient returns a Client for the address, given as host:port. Each call has a connection of
// its own: on a reused one, a response that arrives late would be taken for the next call's.
func NewClient(address string, token secret.Secret) *Client {
	transport := &http.Transport{Proxy: http.ProxyFromEnvironment, DisableKeepAlives: true}
	return &Client{address: address, token: token, http: &http.Client{Timeout: clientTimeout, Transport: transport}}
}

// ResponseError is the error for a response whose status is not 200 OK.
type ResponseError struct {
	Status int
	OperationResponse
}

// Error returns the message and the findings, one per line.
func (r *ResponseError) Error() string {
	return strings.Join(append([]string{r.OperationResponse.Message}, r.Findings...), "\n")
}

// Config returns the configuration in force.
func (c *Client) Config(ctx context.Context) (ConfigView, error) {
	var view ConfigView
	return view, c.call(ctx, http.MethodGet, "/operator/config", nil, &view)
}

// Apply submits a configuration.
func (c *Client) Apply(ctx context.Context, change ConfigChange) (OperationResponse, error) {
	var response OperationResponse
	return response, c.call(ctx, http.MethodPut, "/operator/config", change, &response)
}

// IssueKey issues a key for the team.
func (c *Client) IssueKey(ctx context.Context, team string) (KeyView, error) {
	var view KeyView
	return view, c.call(ctx, http.MethodPost, "/operator/keys", IssueKeyRequest{Team: team}, &view)
}

// WithdrawKey withdraws the key with the identifier.
func (c *Client) WithdrawKey(ctx context.Context, id string) (OperationResponse, error) {
	var response OperationResponse
	return response, c.call(ctx, http.MethodDelete, "/operator/keys/"+url.PathEscape(id), nil, &response)
}

// Keys returns the keys without their secrets.
func (c *Client) Keys(ctx context.Context) ([]KeyView, error) {
	var views []KeyView
	return views, c.call(ctx, http.MethodGet, "/operator/keys", nil, &views)
}

// Status returns the status of the instance and its view of the other instances.
func (c *Client) Status(ctx context.Context) (router.Status, error) {
	var status router.Status
	return status, c.call(ctx, http.MethodGet, "/operator/status", nil, &status)
}

// Explain returns the log entries of the request.
func (c *Client) Explain(ctx context.Context, request string) (Explanation, error) {
	var explanation Explanation
	return explanation, c.call(ctx, http.MethodGet, "/operator/explain/"+url.PathEscape(request), nil, &explanation)
}

// Calls returns the recorded calls whose outcome is unknown.
func (c *Client) Calls(ctx context.Context) ([]CallView, error) {
	var views []CallView
	return views, c.call(ctx, http.MethodGet, "/operator/calls", nil, &views)
}

// ResolveCall records whether a call with an unknown outcome ran.
func (c *Client) ResolveCall(ctx context.Context, resolution CallResolution) (OperationResponse, error) {
	var response OperationResponse
	return response, c.call(ctx, http.MethodPost, "/operator/calls/resolve", resolution, &response)
}

// call sends the body as JSON, null if it is nil, and decodes the response into out.
func (c *Client) call(ctx context.Context, method, path string, body, out any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "operator.Client")
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, bytes.NewReader(encoded))
	if err != nil {
		return errors.Wrap(err, "operator.Client")
	}
	request.Header.Set("Authorization", "Bearer "+c.token.Reveal())
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Wrap(err, "operator.Client: no instance answers at "+c.address)
	}
	defer response.Body.Close()
	return readResponse(response, out)
}

func readResponse(response *http.Response, out any) error {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return errors.Wrap(err, "operator.Client")
	}
	if response.StatusCode != http.StatusOK {
		responseErr := &ResponseError{Status: response.StatusCode}
		if json.Unmarshal(data, &responseErr.OperationResponse) != nil || responseErr.OperationResponse.Message == "" {
			responseErr.OperationResponse.Message = "the instance answered " + response.Status
		}
		return responseErr
	}
	if err := json.Unmarshal(data, out); err != nil {
		return errors.Wrap(err, "operator.Client")
	}
	return nil
}
