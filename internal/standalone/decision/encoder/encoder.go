// Package encoder encodes a configuration as the INI that package parser parses.
//
// # Usage
//
//	text := encoder.Encode(configuration)
package encoder

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/config"
)

// Encode returns the configuration as INI, without keys. Sections are sorted by
// name, so that equal configurations have equal encodings.
func Encode(configuration config.Config) string {
	text := &strings.Builder{}
	fmt.Fprintf(text, "[fleet]\ndomains = %s\n", strings.Join(configuration.Domains, ", "))
	for _, name := range slices.Sorted(maps.Keys(configuration.Classes)) {
		encodeClass(text, configuration.Classes[name])
	}
	for _, name := range slices.Sorted(maps.Keys(configuration.Teams)) {
		encodeTeam(text, configuration.Teams[name])
	}
	for _, name := range slices.Sorted(maps.Keys(configuration.Routes)) {
		encodeRoute(text, configuration.Routes[name])
	}
	return text.String()
}

func encodeClass(text *strings.Builder, class config.Class) {
	fmt.Fprintf(text, "\n[class %s]\nfirstToken = %s\nbetweenTokens = %s\n", class.Name, class.FirstTokenTarget, class.InterTokenTarget)
}

func encodeTeam(text *strings.Builder, team config.Team) {
	fmt.Fprintf(text, "\n[team %s]\nrate = %d\nburst = %d\n", team.Name, team.Rate, team.Burst)
}

func encodeRoute(text *strings.Builder, route config.Route) {
	fmt.Fprintf(text, "\n[route %s]\nkind = %s\naccess = %s\nclass = %s\n", route.Name, route.Kind, route.Access, route.Class)
	if route.Team != "" {
		fmt.Fprintf(text, "team = %s\n", route.Team)
	}
	if route.Kind == config.KindModel {
		fmt.Fprintf(text, "model = %s\n", route.Model)
		return
	}
	fmt.Fprintf(text, "service = %s\npath = %s\nrepeatable = %s\ncost = %d\n", route.Service, route.Path, yesNo(route.Repeatable), route.Cost)
}

func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}
