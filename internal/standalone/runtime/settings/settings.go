// Package settings reads the settings of one instance from an INI file.
//
// # Usage
//
//	cfg, err := settings.Read("hyssopdoor.ini")
//
// The error contains all findings with their positions in the file.
package settings

import (
	"net"
	"net/url"
	"os"

	"github.com/go-faster/errors"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/balancer"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/secret"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/inireader"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
	"github.com/hyssopdoor/hyssopdoor/pkg/collector"
)

// Settings are the settings of one instance.
type Settings struct {
	Name   string
	Domain string

	Listen   Listen
	Platform Platform
	Fleet    Fleet
	Limits   Limits
	Timeouts Timeouts

	// Policy is the policy that selects backend servers. It can't be set in a settings
	// file, because the baseline policies are for experiments only.
	Policy balancer.Policy

	// OperatorToken is the token that operators authenticate with.
	OperatorToken secret.Secret
}

// Listen has the addresses that the instance listens on, as host:port.
type Listen struct {
	Callers   string
	Operators string
	Peers     string
}

// Platform has the settings for calls to the platform.
type Platform struct {
	// Address is the URL of the object API.
	Address string
	// Timeout bounds one call.
	Timeout clock.Millis
}

// Fleet has the settings for messages between instances (section [fleet]).
type Fleet struct {
	// Seeds are the addresses of peers to contact at startup, as host:port.
	Seeds []string
	// Credential is shared by all instances of the cluster.
	Credential secret.Secret
}

// Limits bound the resources that one instance uses.
type Limits struct {
	// MaxBodyBytes bounds the body of a caller's request.
	MaxBodyBytes int64
	// MaxResponseBytes bounds the body of a backend server's response.
	MaxResponseBytes int64
	// MaxInFlight bounds the number of in-flight requests.
	MaxInFlight int64
}

// Timeouts are the timeouts of one instance.
type Timeouts struct {
	// Connect bounds the time to connect to a backend server.
	Connect clock.Millis
	// Response bounds the time to the first token of a stream, or to a service's response.
	Response clock.Millis
	// Idle bounds the time between two events of a stream.
	Idle clock.Millis
	// Record bounds the time to record a call in the platform before its dispatch.
	Record clock.Millis
	// Announce is the time for which a stopping instance still accepts requests, so that
	// the load balancer notices that it is stopping.
	Announce clock.Millis
	// Drain bounds the whole shutdown: the announce time and the wait for in-flight
	// requests.
	Drain clock.Millis
}

// minSecretLength is the minimum length of a credential, in bytes.
const minSecretLength = 16

// Defaults returns the values of the settings that are optional in a file.
func Defaults() Settings {
	return Settings{
		Platform: Platform{Timeout: 500 * clock.Millisecond},
		Limits:   Limits{MaxBodyBytes: 8 << 20, MaxResponseBytes: 8 << 20, MaxInFlight: 1024},
		Timeouts: Timeouts{
			Connect:  clock.Second,
			Response: 30 * clock.Second,
			Idle:     15 * clock.Second,
			Record:   2 * clock.Second,
			Announce: clock.Second,
			Drain:    30 * clock.Second,
		},
	}
}

// Read reads the settings from the file.
func Read(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings.Read")
	}
	return Parse(file, data)
}

// Parse parses the settings in data. The file's name appears in findings.
func Parse(file string, data []byte) (Settings, error) {
	findings := collector.New()
	document := inireader.New(file, data, findings)
	s := Defaults()
	s.readInstance(document.Section("instance"))
	s.readListen(document.Section("listen"))
	s.readPlatform(document.Section("platform"))
	s.readFleet(document.Section("fleet"))
	s.readOperators(document.Section("operators"))
	s.readLimits(document.OptionalSection("limits"))
	s.readTimeouts(document.OptionalSection("timeouts"))
	document.ReportUnknown()
	return s, findings.Err()
}

func (s *Settings) readInstance(section *inireader.Section) {
	s.Name = section.Required("name", "give the instance a name that no other has")
	s.Domain = section.Required("domain", "name the failure domain that the instance is in")
}

func (s *Settings) readListen(section *inireader.Section) {
	s.Listen.Callers = readAddress(section, "callers")
	s.Listen.Operators = readAddress(section, "operators")
	s.Listen.Peers = readAddress(section, "peers")
}

func (s *Settings) readPlatform(section *inireader.Section) {
	s.Platform.Address = section.Required("address", "give the URL of the object API, such as http://10.0.0.2:9000")
	parsed, err := url.Parse(s.Platform.Address)
	if s.Platform.Address != "" && (err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https")) {
		section.Report("address", "is not an http or https URL", "give a URL such as http://10.0.0.2:9000")
	}
	s.Platform.Timeout = readDuration(section, "timeout", s.Platform.Timeout)
}

func (s *Settings) readFleet(section *inireader.Section) {
	s.Fleet.Seeds = section.List("seeds")
	for _, seed := range s.Fleet.Seeds {
		if !validAddress(seed) {
			section.Report("seeds", "has "+seed+", which is not host:port with an IP number", "give addresses such as 10.0.0.3:8082")
		}
	}
	s.Fleet.Credential = readSecret(section, "credential")
}

func (s *Settings) readOperators(section *inireader.Section) {
	s.OperatorToken = readSecret(section, "token")
}

func (s *Settings) readLimits(section *inireader.Section) {
	s.Limits.MaxBodyBytes = section.PositiveInt("bodyBytes", s.Limits.MaxBodyBytes)
	s.Limits.MaxResponseBytes = section.PositiveInt("answerBytes", s.Limits.MaxResponseBytes)
	s.Limits.MaxInFlight = section.PositiveInt("maxInFlight", s.Limits.MaxInFlight)
}

func (s *Settings) readTimeouts(section *inireader.Section) {
	s.Timeouts.Connect = readDuration(section, "connect", s.Timeouts.Connect)
	s.Timeouts.Response = readDuration(section, "answer", s.Timeouts.Response)
	s.Timeouts.Idle = readDuration(section, "idle", s.Timeouts.Idle)
	s.Timeouts.Record = readDuration(section, "record", s.Timeouts.Record)
	s.Timeouts.Announce = readDuration(section, "announce", s.Timeouts.Announce)
	s.Timeouts.Drain = readDuration(section, "drain", s.Timeouts.Drain)
}

func readAddress(section *inireader.Section, key string) string {
	address := section.Required(key, "give host:port, such as 10.0.0.1:8080")
	if address != "" && !validAddress(address) {
		section.Report(key, "is not host:port with an IP number", "give an address such as 10.0.0.1:8080")
	}
	return address
}

func validAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	return err == nil && net.ParseIP(host) != nil && port != ""
}

func readSecret(section *inireader.Section, key string) secret.Secret {
	value := section.Required(key, "give a random text of at least 16 characters")
	if value != "" && len(value) < minSecretLength {
		section.Report(key, "is shorter than 16 characters", "give a random text of at least 16 characters")
	}
	return secret.New(value)
}

func readDuration(section *inireader.Section, key string, fallback clock.Millis) clock.Millis {
	duration := section.Duration(key, fallback)
	if duration <= 0 {
		section.Report(key, "is not a positive time", "give a time such as 500ms")
	}
	return duration
}
