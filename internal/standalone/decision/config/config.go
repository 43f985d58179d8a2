// Package config defines the configuration that operators apply: request classes
// with their targets, teams with their limits, routes, and the keys of the teams.
//
// A Config is immutable once it is in force; the With methods return modified
// copies. Operators never configure weights or addresses of backend servers.
//
// # Usage
//
//	configuration := config.Defaults().WithKey(key)
//	if err := configuration.Validate(locate); err != nil { ... }
package config

import (
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/pkg/collector"
)

// Config is a complete configuration.
type Config struct {
	// Domains are the failure domains between which each team's limit is divided.
	Domains []string         `json:"domains"`
	Classes map[string]Class `json:"classes"`
	Teams   map[string]Team  `json:"teams"`
	Routes  map[string]Route `json:"routes"`
	// Keys are by digest.
	Keys map[string]Key `json:"keys"`
}

// Defaults returns an empty Config.
func Defaults() Config {
	return Config{
		Classes: map[string]Class{},
		Teams:   map[string]Team{},
		Routes:  map[string]Route{},
		Keys:    map[string]Key{},
	}
}

// WithKey returns a copy of c with the key added.
func (c Config) WithKey(key Key) Config {
	c.Keys = maps.Clone(c.Keys)
	c.Keys[key.Digest] = key
	return c
}

// WithoutKey returns a copy of c without the key that has the identifier.
func (c Config) WithoutKey(id string) Config {
	c.Keys = maps.Clone(c.Keys)
	maps.DeleteFunc(c.Keys, func(_ string, key Key) bool { return key.ID == id })
	return c
}

// WithKeysOf returns a copy of c with the keys of other instead of its own.
func (c Config) WithKeysOf(other Config) Config {
	c.Keys = other.Keys
	return c
}

// KeyByID returns the key with the identifier.
func (c Config) KeyByID(id string) (Key, bool) {
	for _, key := range c.Keys {
		if key.ID == id {
			return key, true
		}
	}
	return Key{}, false
}

// SortedKeys returns the keys, sorted by team and identifier.
func (c Config) SortedKeys() []Key {
	return slices.SortedFunc(maps.Values(c.Keys), Key.compare)
}

// Locator returns the position of a setting in a section, for findings. An empty key
// stands for the section itself.
type Locator func(section, key string) collector.Position

// Validate returns all findings about c, or nil.
func (c Config) Validate(locate Locator) error {
	findings := collector.New()
	c.validateDomains(locate, findings)
	for _, name := range slices.Sorted(maps.Keys(c.Classes)) {
		c.Classes[name].validate(locate, findings)
	}
	for _, name := range slices.Sorted(maps.Keys(c.Teams)) {
		c.Teams[name].validate(locate, findings)
	}
	for _, name := range slices.Sorted(maps.Keys(c.Routes)) {
		c.Routes[name].validate(c, locate, findings)
	}
	return findings.Err()
}

func (c Config) validateDomains(locate Locator, findings *collector.Collector) {
	position := locate("fleet", "domains")
	if len(c.Domains) == 0 {
		findings.Add(position, "names no failure domain", "list the failure domains, such as: split-a, split-b")
	}
	seen := map[string]bool{}
	for _, domain := range c.Domains {
		if seen[domain] {
			findings.Add(position, "names "+domain+" twice", "list each failure domain once")
		}
		seen[domain] = true
		validateName(domain, position, findings)
	}
}
