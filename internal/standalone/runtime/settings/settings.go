// Package settings has the settings of one instance, read from an INI file.
//
// # Usage
//
//	set, err := settings.Read("hyssopdoor.ini")
//
// The error holds all findings with their places.
package settings

import (
	"net"
	"net/url"
	"os"

	"github.com/go-faster/errors"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/chooser"
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

	// Policy is how backend servers are chosen. A settings file can't name it: the
	// baselines are for experiments.
	Policy chooser.Policy

	// OperatorToken is the credential of operators.
	OperatorToken secret.Secret
}

// Listen has the addresses that the instance listens at, as host:port.
type Listen struct {
	Callers   string
	Operators string
	Peers     string
}

// Platform tells how to reach the platform.
type Platform struct {
	// Address is the URL of the object API.
	Address string
	// Timeout bounds one call.
	Timeout clock.Millis
}

// Fleet tells how the instances reach each other.
type Fleet struct {
	// Seeds are addresses of peers, as host:port, to ask at the start.
	Seeds []string
	// Credential is shared by all instances of the fleet.
	Credential secret.Secret
}

// Limits bound what one instance takes on.
type Limits struct {
	BodyBytes   int64
	AnswerBytes int64
	MaxInFlight int64
}

// Timeouts bound waits.
type Timeouts struct {
	// Connect bounds the connection to a backend server.
	Connect clock.Millis
	// Answer bounds the wait for a first token or an answer.
	Answer clock.Millis
	// Idle bounds the wait between two events of a stream.
	Idle clock.Millis
	// Record bounds the recording of a call before its dispatch.
	Record clock.Millis
	// Announce is how long a stopping instance goes on accepting requests, so that
	// the balancer sees that it stops.
	Announce clock.Millis
	// Drain bounds the wait for requests in flight when the instance stops.
	Drain clock.Millis
}

// minSecretLength is the shortest accepted credential, in bytes.
const minSecretLength = 16

// Defaults returns the settings that a file need not name.
func Defaults() Settings {
	return Settings{
		Platform: Platform{Timeout: 500 * clock.Millisecond},
		Limits:   Limits{BodyBytes: 8 << 20, AnswerBytes: 8 << 20, MaxInFlight: 1024},
		Timeouts: Timeouts{
			Connect:  clock.Second,
			Answer:   30 * clock.Second,
			Idle:     15 * clock.Second,
			Record:   2 * clock.Second,
			Announce: clock.Second,
			Drain:    30 * clock.Second,
		},
	}
}

// Read reads the settings in the file.
func Read(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings.Read")
	}
	return Parse(file, data)
}

// Parse reads the settings in data, which came from the file.
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
	document.Done()
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
	s.Platform.Timeout = readSpan(section, "timeout", s.Platform.Timeout)
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
	s.Limits.BodyBytes = section.Positive("bodyBytes", s.Limits.BodyBytes)
	s.Limits.AnswerBytes = section.Positive("answerBytes", s.Limits.AnswerBytes)
	s.Limits.MaxInFlight = section.Positive("maxInFlight", s.Limits.MaxInFlight)
}

func (s *Settings) readTimeouts(section *inireader.Section) {
	s.Timeouts.Connect = readSpan(section, "connect", s.Timeouts.Connect)
	s.Timeouts.Answer = readSpan(section, "answer", s.Timeouts.Answer)
	s.Timeouts.Idle = readSpan(section, "idle", s.Timeouts.Idle)
	s.Timeouts.Record = readSpan(section, "record", s.Timeouts.Record)
	s.Timeouts.Announce = readSpan(section, "announce", s.Timeouts.Announce)
	s.Timeouts.Drain = readSpan(section, "drain", s.Timeouts.Drain)
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

func readSpan(section *inireader.Section, key string, fallback clock.Millis) clock.Millis {
	value := section.Span(key, fallback)
	if value <= 0 {
		section.Report(key, "is not a positive time", "give a time such as 500ms")
	}
	return value
}
