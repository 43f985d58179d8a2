// Package client makes calls to the platform over HTTP.
//
// # Usage
//
//	api := client.New("http://10.0.0.2:9000", timeout)
//	answer := api.Call(ctx, objectstore.Get{Name: "config/manifest"})
package client

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
)

const (
	// watchWait is how long the platform holds a watch back, at most.
	watchWait = 5 * time.Second
	// maxAnswerBytes bounds an answer of the platform.
	maxAnswerBytes = 16 << 20
)

// Client makes calls to the platform. It is safe for concurrent use.
type Client struct {
	address string
	timeout time.Duration
	http    *http.Client
}

// New returns a Client for the URL; a call that is no watch is bounded by
// timeout.
func New(address string, timeout clock.Millis) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute}
	return &Client{address: address, timeout: timeout.Duration(), http: &http.Client{Transport: transport}}
}

// Close ends the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Call makes the call. A failure is an outcome of the answer.
func (c *Client) Call(ctx context.Context, op objectstore.Op) objectstore.Response {
	switch op := op.(type) {
	case objectstore.Get:
		return c.exchange(ctx, c.timeout, http.MethodGet, objectPath(op.Name), nil)
	case objectstore.Put:
		return c.put(ctx, op)
	case objectstore.Watch:
		query := url.Values{"since": {strconv.FormatInt(op.Since, 10)}, "name": {op.Name}}
		return c.exchange(ctx, watchWait+c.timeout, http.MethodGet, "/watch?"+query.Encode(), nil)
	case objectstore.ListInstances:
		return c.exchange(ctx, c.timeout, http.MethodGet, "/instances?since="+strconv.FormatInt(op.Since, 10), nil)
	case objectstore.ListObjects:
		query := url.Values{"prefix": {op.Prefix}, "after": {op.After}}
		return c.exchange(ctx, c.timeout, http.MethodGet, "/objects?"+query.Encode(), nil)
	default:
		return objectstore.Response{Outcome: objectstore.Refused}
	}
}

// Register puts the instance on the instance list, or changes its entry.
func (c *Client) Register(ctx context.Context, instance objectstore.Instance) error {
	body, err := json.Marshal(instance)
	if err != nil {
		return errors.Wrap(err, "client.Register")
	}
	answer := c.exchange(ctx, c.timeout, http.MethodPost, "/instances", body)
	if answer.Outcome != objectstore.Done {
		return errors.Errorf("client.Register: the platform answered %s", answer.Outcome)
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

// exchange sends one request. Without an answer, the outcome is Refused only
// when no connection was made; else the request may have taken effect.
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
		return lost(connected)
	}
	defer response.Body.Close()
	value, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return lost(true)
	}
	return decode(response.StatusCode, value)
}

func lost(connected bool) objectstore.Response {
	if connected {
		return objectstore.Response{Outcome: objectstore.Unknown}
	}
	return objectstore.Response{Outcome: objectstore.Refused}
}

// decode reads an answer of the platform.
func decode(status int, body []byte) objectstore.Response {
	var answer objectstore.Response
	switch status {
	case http.StatusOK:
		answer.Outcome = objectstore.Done
	case http.StatusNotFound:
		return objectstore.Response{Outcome: objectstore.NotFound}
	case http.StatusConflict:
		answer.Outcome = objectstore.Conflict
	case http.StatusTooManyRequests, http.StatusRequestEntityTooLarge, http.StatusBadRequest:
		return objectstore.Response{Outcome: objectstore.Refused, RefusedByStore: true}
	default:
		return objectstore.Response{Outcome: objectstore.Unknown}
	}
	var wire objectstore.ResponseBody
	if err := json.Unmarshal(body, &wire); err != nil {
		return objectstore.Response{Outcome: objectstore.Unknown}
	}
	answer.Version = wire.Version
	answer.Value = wire.Value
	answer.Instances = wire.Instances
	answer.Objects = wire.Objects
	return answer
}
