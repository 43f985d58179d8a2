// Package platformclient calls the platform's object API over HTTP.
//
// # Usage
//
//	api := platformclient.New("http://10.0.0.2:9000", timeout)
//	response := api.Call(ctx, objectstore.Get{Name: "config/manifest"})
package platformclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
	"github.com/hyssopdoor/hyssopdoor/pkg/depthcutter"
)

const (
	// watchTimeout is the longest time for which the platform delays its response to a
	// watch.
	watchTimeout = 5 * time.Second
	// maxResponseBytes bounds the size of a response of the platform.
	maxResponseBytes = 16 << 20
)

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	address string
	timeout time.Duration
	http    *http.Client
}

// New returns a Client for the platform at the URL. The timeout bounds each call; a watch
// may take watchTimeout longer. Each call has a connection of its own: on a reused one, a
// response that arrives late would be taken for the next call's, and the HTTP library would
// resend a conditional write that may have taken effect.
func New(address string, timeout clock.Millis) *Client {
	transport := &http.Transport{DisableKeepAlives: true}
	return &Client{address: address, timeout: timeout.Duration(), http: &http.Client{Transport: transport}}
}

// Call makes the call. A failure is returned as the outcome of the response.
func (c *Client) Call(ctx context.Context, op objectstore.Op) objectstore.Response {
	switch op := op.(type) {
	case objectstore.Get:
		return c.exchange(ctx, c.timeout, http.MethodGet, objectPath(op.Name), nil)
	case objectstore.Put:
		return c.put(ctx, op)
	case objectstore.Watch:
		query := url.Values{"since": {strconv.FormatInt(op.Since, 10)}, "name": {op.Name}}
		return c.exchange(ctx, watchTimeout+c.timeout, http.MethodGet, "/watch?"+query.Encode(), nil)
	case objectstore.ListInstances:
		return c.exchange(ctx, c.timeout, http.MethodGet, "/instances?since="+strconv.FormatInt(op.Since, 10), nil)
	case objectstore.ListObjects:
		query := url.Values{"prefix": {op.Prefix}, "after": {op.After}}
		return c.exchange(ctx, c.timeout, http.MethodGet, "/objects?"+query.Encode(), nil)
	default:
		return objectstore.Response{Outcome: objectstore.Refused}
	}
}

// Register adds the instance to the platform's instance list, or updates its entry.
func (c *Client) Register(ctx context.Context, instance objectstore.Instance) error {
	body, err := json.Marshal(instance)
	if err != nil {
		return errors.Wrap(err, "platformclient.Register")
	}
	response := c.exchange(ctx, c.timeout, http.MethodPost, "/instances", body)
	if response.Outcome != objectstore.Done {
		return errors.Errorf("platformclient.Register: the platform responded %s", response.Outcome)
	}
	return nil
}

func (c *Client) put(ctx context.Context, op objectstore.Put) objectstore.Response {
	path := objectPath(op.Name) + "?ifVersion=" + strconv.FormatInt(op.IfVersion, 10)
	return c.exchange(ctx, c.timeout, http.MethodPut, path, op.Value)
}

func objectPath(name string) string {
	return "/objects/" + name
}

// exchange sends one request. If no response arrives, the outcome is Refused only if no
// connection was made; otherwise it is Unknown, as the request may have taken effect.
func (c *Client) exchange(ctx context.Context, timeout time.Duration, method, path string, body []byte) objectstore.Response {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, c.address+path, bytes.NewReader(body))
	if err != nil {
		return objectstore.Response{Outcome: objectstore.Refused}
	}
	response, err := c.http.Do(request)
	if err != nil {
		return noResponse(connected)
	}
	defer response.Body.Close()
	value, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return noResponse(true)
	}
	return decodeResponse(response.StatusCode, value)
}

// noResponse returns the result of a request without a response.
func noResponse(connected bool) objectstore.Response {
	if connected {
		return objectstore.Response{Outcome: objectstore.Unknown}
	}
	return objectstore.Response{Outcome: objectstore.Refused}
}

// decodeResponse decodes a response of the platform.
func decodeResponse(status int, body []byte) objectstore.Response {
	var response objectstore.Response
	switch status {
	case http.StatusOK:
		response.Outcome = objectstore.Done
	case http.StatusNotFound:
		return objectstore.Response{Outcome: objectstore.NotFound}
	case http.StatusConflict:
		response.Outcome = objectstore.Conflict
	case http.StatusTooManyRequests, http.StatusRequestEntityTooLarge, http.StatusBadRequest:
		return objectstore.Response{Outcome: objectstore.Refused, RefusedByStore: true}
	default:
		return objectstore.Response{Outcome: objectstore.Unknown}
	}
	wire, err := decodeBody(body)
	if err != nil {
		return objectstore.Response{Outcome: objectstore.Unknown}
	}
	response.Version = wire.Version
	response.Value = wire.Value
	response.Instances = wire.Instances
	response.Objects = wire.Objects
	return response
}

// decodeBody decodes the body of a response. A listed instance or object that can't be read leaves
// the others as they are: the instance counts as gone, and the object has no value.
func decodeBody(body []byte) (objectstore.ResponseBody, error) {
	var wire objectstore.ResponseBody
	if json.Unmarshal(body, &wire) == nil {
		return wire, nil
	}
	var each struct {
		objectstore.ResponseBody
		Instances []depthcutter.Item[objectstore.Instance] `json:"instances"`
		Objects   []depthcutter.Item[objectstore.Object]   `json:"objects"`
	}
	if err := json.Unmarshal(depthcutter.Cut(body, depthcutter.MaxDepth), &each); err != nil {
		return objectstore.ResponseBody{}, err
	}
	wire = each.ResponseBody
	for _, item := range each.Instances {
		if item.Err != nil {
			item.Value = objectstore.Instance{Name: item.Value.Name, Role: item.Value.Role, State: objectstore.StateGone}
		}
		if item.Value.Name != "" {
			wire.Instances = append(wire.Instances, item.Value)
		}
	}
	for _, item := range each.Objects {
		if item.Err != nil {
			item.Value = objectstore.Object{Name: item.Value.Name}
		}
		if item.Value.Name != "" {
			wire.Objects = append(wire.Objects, item.Value)
		}
	}
	return wire, nil
}
