// Package instancesettings defines the settings of one instance: its name, addresses and
// resources, and the operational bounds that its operators set.
//
// # Usage
//
//	settings := instancesettings.Defaults()
//	settings.Name = "edge-1"
//	if err := settings.Validate(locate); err != nil { ... }
package instancesettings

import (
	"strings"

	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
	"github.com/hyssopdoor/hyssopdoor/pkg/collector"
)

// Settings are the settings of one instance.
type Settings struct {
	Name string
	// Domain is the instance's failure domain.
	Domain string
	IP     string

	// CallerAddress is the host:port that accepts callers' requests; ReadinessAddress
	// is the host:port of the load balancer's readiness checks.
	CallerAddress    string
	ReadinessAddress string
	// MetricsAddress is the host:port that serves the metrics; empty for none.
	MetricsAddress string
	// PeerAddress is the host:port that receives the datagrams of other instances.
	PeerAddress string
	// StoreAddress is the host:port of the platform's store.
	StoreAddress string
	// FirstStart reports whether the whole cluster starts for the first time.
	FirstStart bool

	// Capacity is the processor time that the process may use, in thousandths of a core;
	// 0 if unknown. Instances with more of it do more of the work for others.
	Capacity int64
	// MemoryMB is the memory that the process may use, in megabytes.
	MemoryMB int64
	// Admission reports whether requests with prompts wait for free slots of servers, by
	// urgency, instead of in the servers' queues.
	Admission bool
	Bounds    Bounds
}

// Bounds are the operational limits that the operators require of the cluster.
type Bounds struct {
	// KeyWithdrawal is the longest time from the withdrawal of a key to the last
	// request that runs with it. StrictKeys reports whether that also applies to
	// instances that can't reach the store.
	KeyWithdrawal clock.Millis
	StrictKeys    bool
	// ConfigApply is the longest time from the acceptance of a configuration until all
	// instances use it.
	ConfigApply clock.Millis
	// ServerDrain is the longest time for which a draining server may still get new
	// requests.
	ServerDrain clock.Millis
	// StopTimeout is the time from the request to stop until the process is killed.
	StopTimeout clock.Millis
	// HeartbeatInterval is the time between two writes of a server's entry in the
	// store.
	HeartbeatInterval clock.Millis

	// RetryRatio and RetryExtra limit the retries at a service within any RetryWindow:
	// the ratio times the requests for the service, plus the extra.
	RetryRatio  float64
	RetryExtra  int64
	RetryWindow clock.Millis

	// LimitWindow is the time window in which a team's usage is compared with its
	// limit; LimitExcess is the fraction by which the cluster may exceed the limit in it.
	LimitWindow clock.Millis
	LimitExcess float64

	// MinOrderHandover is the least time between the orders of two lease holders.
	MinOrderHandover clock.Millis
	// MaxWeightsAge is the longest time for which requests may still start on
	// superseded weights.
	MaxWeightsAge clock.Millis

	// ExposureShare and ExposureSlack limit the requests that a software version gets before
	// it is known to be good: the share of all requests to the service, plus the slack.
	// RollbackTime is the longest time for which a bad one gets requests after its 50th bad
	// answer. Without all three, roll-outs of software are not watched.
	ExposureShare float64
	ExposureSlack int64
	RollbackTime  clock.Millis
}

// LimitsExposure reports whether roll-outs of software are watched.
func (b Bounds) LimitsExposure() bool {
	return b.ExposureShare > 0 && b.ExposureSlack > 0 && b.RollbackTime > 0
}

// Defaults returns Settings with default bounds.
func Defaults() Settings {
	return Settings{
		MemoryMB: 128,
		Bounds: Bounds{
			KeyWithdrawal:     5 * clock.Second,
			StrictKeys:        true,
			ConfigApply:       2 * clock.Second,
			ServerDrain:       2 * clock.Second,
			StopTimeout:       8 * clock.Second,
			HeartbeatInterval: 1200 * clock.Millisecond,
			RetryRatio:        0.1,
			RetryWindow:       10 * clock.Second,
			LimitWindow:       8 * clock.Second,
			MinOrderHandover:  3 * clock.Second,
			MaxWeightsAge:     6 * clock.Second,
		},
	}
}

// Locator returns the position of a field in the settings file, for findings.
type Locator func(field string) collector.Position

// Validate returns all findings about the settings, or nil.
func (s Settings) Validate(locate Locator) error {
	findings := collector.New()
	values := map[string]string{"name": s.Name, "domain": s.Domain, "ip": s.IP}
	for _, field := range []string{"name", "domain", "ip"} {
		if values[field] == "" {
			findings.Add(locate(field), "is missing", "give the instance a "+field)
		}
	}
	addresses := map[string]string{"callers": s.CallerAddress, "readiness": s.ReadinessAddress, "peers": s.PeerAddress, "store": s.StoreAddress}
	for _, field := range []string{"callers", "readiness", "peers", "store"} {
		if !strings.Contains(addresses[field], ":") {
			findings.Add(locate(field), "is no address: \""+addresses[field]+"\"", "give it as host:port")
		}
	}
	if s.Capacity < 0 {
		findings.Add(locate("capacity"), "is negative", "give the share of a core that the process may use")
	}
	if s.MemoryMB <= 0 {
		findings.Add(locate("memory"), "is not positive", "give the megabytes that the process may use")
	}
	s.Bounds.validate(locate, findings)
	return findings.Err()
}

func (b Bounds) validate(locate Locator, findings *collector.Collector) {
	durations := map[string]clock.Millis{
		"keyWithdrawal": b.KeyWithdrawal, "configApply": b.ConfigApply, "serverDrain": b.ServerDrain,
		"stop": b.StopTimeout, "heartbeat": b.HeartbeatInterval, "retryWindow": b.RetryWindow,
		"limitWindow": b.LimitWindow, "orderTurn": b.MinOrderHandover, "weightsApply": b.MaxWeightsAge,
	}
	for _, field := range []string{"keyWithdrawal", "configApply", "serverDrain", "stop", "heartbeat", "retryWindow", "limitWindow", "orderTurn", "weightsApply"} {
		if durations[field] <= 0 {
			findings.Add(locate(field), "is not a positive time", "give a time above 0")
		}
	}
	if b.LimitExcess < 0 {
		findings.Add(locate("limitExcess"), "is negative", "give a fraction of 0 or more")
	}
	if b.ExposureShare < 0 || b.ExposureShare > 1 || b.ExposureSlack < 0 || b.RollbackTime < 0 {
		findings.Add(locate("exposureShare"), "is out of range, or the slack or the time for taking back is negative", "give a share from 0 to 1, and a slack and a time of 0 or more")
	}
	if b.RetryRatio < 0 || b.RetryExtra < 0 {
		findings.Add(locate("retryRatio"), "is negative", "give a ratio and an extra of 0 or more")
	}
}
