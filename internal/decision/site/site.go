// Package site has what one instance is told about its place: names, addresses,
// resources, and the bounds that its operators hold it to.
//
// # Usage
//
//	place := site.Defaults()
//	place.Name = "edge-1"
//	if err := place.Validate(locate); err != nil { ... }
package site

import (
	"strings"

	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
	"github.com/hyssopdoor/hyssopdoor/pkg/collector"
)

// Site is the settings of one instance.
type Site struct {
	Name   string
	Domain string // Domain is the instance's failure domain.
	IP     string

	// Callers, Readiness are the addresses, as host:port, where callers send
	// requests and where the balancer asks whether it may send any.
	Callers   string
	Readiness string
	// Metrics is where counters are served, as host:port; empty for nowhere.
	Metrics string
	// Peers is where datagrams of other instances come in, as host:port.
	Peers string
	// Store is the address of the platform's store, as host:port.
	Store string
	// FirstStart tells that the whole fleet starts for the first time.
	FirstStart bool

	MemoryMB int64
	Bounds   Bounds
}

// Bounds are what the operators hold the fleet to.
type Bounds struct {
	// KeyWithdrawal is the longest time from the withdrawal of a key to the last
	// request that runs with it; StrictKeys tells that it holds for instances that
	// can't reach the store as well.
	KeyWithdrawal clock.Millis
	StrictKeys    bool
	// ConfigApply is the longest time from an accepted configuration until it is in
	// force at every instance.
	ConfigApply clock.Millis
	// ServerDrain is the longest time that a leaving server may get new requests.
	ServerDrain clock.Millis
	// Stop is the time from the request to stop until the process is killed.
	Stop clock.Millis
	// Heartbeat is the time between two entries of a server in the store.
	Heartbeat clock.Millis

	// RetryRatio and RetryExtra bound the repeats to a service within any
	// RetryWindow: ratio times the requests for it, plus the extra.
	RetryRatio  float64
	RetryExtra  int64
	RetryWindow clock.Millis

	// LimitWindow is the span over which a team's limit is judged, and LimitExcess the
	// part by which the fleet may exceed it there.
	LimitWindow clock.Millis
	LimitExcess float64

	// OrderTurn is the least time between the orders of two holders.
	OrderTurn clock.Millis
	// WeightsApply is the longest time that a request may still begin on old weights.
	WeightsApply clock.Millis
}

// Defaults returns a Site with the bounds that hold where none are given.
func Defaults() Site {
	return Site{
		MemoryMB: 128,
		Bounds: Bounds{
			KeyWithdrawal: 5 * clock.Second,
			StrictKeys:    true,
			ConfigApply:   2 * clock.Second,
			ServerDrain:   2 * clock.Second,
			Stop:          8 * clock.Second,
			Heartbeat:     1200 * clock.Millisecond,
			RetryRatio:    0.1,
			RetryWindow:   10 * clock.Second,
			LimitWindow:   8 * clock.Second,
			OrderTurn:     3 * clock.Second,
			WeightsApply:  6 * clock.Second,
		},
	}
}

// Locator returns the place of a field in the settings file, for findings.
type Locator func(field string) collector.Place

// Validate returns all findings about s, or nil.
func (s Site) Validate(locate Locator) error {
	findings := collector.New()
	texts := map[string]string{"name": s.Name, "domain": s.Domain, "ip": s.IP}
	for _, field := range []string{"name", "domain", "ip"} {
		if texts[field] == "" {
			findings.Add(locate(field), "is missing", "give the instance a "+field)
		}
	}
	addresses := map[string]string{"callers": s.Callers, "readiness": s.Readiness, "peers": s.Peers, "store": s.Store}
	for _, field := range []string{"callers", "readiness", "peers", "store"} {
		if !strings.Contains(addresses[field], ":") {
			findings.Add(locate(field), "is no address: \""+addresses[field]+"\"", "give it as host:port")
		}
	}
	if s.MemoryMB <= 0 {
		findings.Add(locate("memory"), "is not positive", "give the megabytes that the process may use")
	}
	s.Bounds.validate(locate, findings)
	return findings.Err()
}

func (b Bounds) validate(locate Locator, findings *collector.Collector) {
	spans := map[string]clock.Millis{
		"keyWithdrawal": b.KeyWithdrawal, "configApply": b.ConfigApply, "serverDrain": b.ServerDrain,
		"stop": b.Stop, "heartbeat": b.Heartbeat, "retryWindow": b.RetryWindow,
		"limitWindow": b.LimitWindow, "orderTurn": b.OrderTurn, "weightsApply": b.WeightsApply,
	}
	for _, field := range []string{"keyWithdrawal", "configApply", "serverDrain", "stop", "heartbeat", "retryWindow", "limitWindow", "orderTurn", "weightsApply"} {
		if spans[field] <= 0 {
			findings.Add(locate(field), "is not a positive time", "give a time above 0")
		}
	}
	if b.LimitExcess < 0 {
		findings.Add(locate("limitExcess"), "is negative", "give a part of 0 or more")
	}
	if b.RetryRatio < 0 || b.RetryExtra < 0 {
		findings.Add(locate("retryRatio"), "is negative", "give a ratio and an extra of 0 or more")
	}
}
