// Package parser parses an operator's configuration from INI.
//
// # Usage
//
//	configuration, err := parser.Parse("fleet.ini", data)
//
// The error contains all findings with their positions.
package parser

import (
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/config"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/inireader"
	"github.com/hyssopdoor/hyssopdoor/pkg/collector"
)

// Parse parses and validates the configuration in data. The result has no keys:
// those are issued one by one.
func Parse(file string, data []byte) (config.Config, error) {
	findings := collector.New()
	document := inireader.New(file, data, findings)
	configuration := config.Defaults()
	configuration.Domains = document.Section("fleet").List("domains")
	for _, section := range document.SectionsOfKind("class") {
		class := parseClass(section)
		configuration.Classes[class.Name] = class
	}
	for _, section := range document.SectionsOfKind("team") {
		team := parseTeam(section)
		configuration.Teams[team.Name] = team
	}
	for _, section := range document.SectionsOfKind("route") {
		route := parseRoute(section)
		configuration.Routes[route.Name] = route
	}
	document.ReportUnknown()
	if err := configuration.Validate(document.Position); err != nil {
		for _, finding := range err.(*collector.Collector).Findings() {
			findings.Add(finding.Position, finding.Problem, finding.Fix)
		}
	}
	return configuration, findings.Err()
}

func parseClass(section *inireader.Section) config.Class {
	class := config.ClassDefaults(section.Name())
	class.FirstTokenTarget = section.Duration("firstToken", class.FirstTokenTarget)
	class.InterTokenTarget = section.Duration("betweenTokens", class.InterTokenTarget)
	return class
}

func parseTeam(section *inireader.Section) config.Team {
	team := config.TeamDefaults(section.Name())
	team.Rate = section.Int("rate", team.Rate)
	team.Burst = section.Int("burst", team.Burst)
	return team
}

func parseRoute(section *inireader.Section) config.Route {
	route := config.RouteDefaults(section.Name())
	route.Kind = config.Kind(section.Text("kind", string(route.Kind)))
	route.Access = config.Access(section.Text("access", string(route.Access)))
	route.Class = section.Text("class", "")
	route.Team = section.Text("team", "")
	route.Model = section.Text("model", "")
	route.Service = section.Text("service", "")
	route.Path = section.Text("path", route.Path)
	route.Repeatable = section.Bool("repeatable", route.Repeatable)
	route.Cost = section.Int("cost", route.Cost)
	return route
}
