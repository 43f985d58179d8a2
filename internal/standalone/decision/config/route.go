package config

import (
	"strings"

	"github.com/hyssopdoor/hyssopdoor/pkg/collector"
)

// Kind is the kind of backend to which a route leads.
type Kind string

// Values of Kind.
const (
	KindModel   Kind = "model"
	KindService Kind = "service"
)

// Access restricts who may use a route.
type Access string

// Values of Access.
const (
	// AccessKeyed requires a valid key; requests count against the limit of its team.
	AccessKeyed Access = "keyed"
	// AccessOpen requires no key; requests count against the limit of the route's team.
	AccessOpen Access = "open"
)

// Route directs requests to a model or to a service.
type Route struct {
	Name   string `json:"name"`
	Kind   Kind   `json:"kind"`
	Access Access `json:"access"`
	Class  string `json:"class"`
	// Team is the team whose limit the requests of an open route count against.
	Team string `json:"team,omitempty"`
	// Model is the model of a model route.
	Model string `json:"model,omitempty"`
	// Service is the service of a service route.
	Service string `json:"service,omitempty"`
	// Path is the path prefix below the service, such as "/orders".
	Path string `json:"path,omitempty"`
	// Repeatable reports whether a request may run more than once.
	Repeatable bool `json:"repeatable"`
	// Cost is the number of tokens that one call of a service route counts for.
	Cost int64 `json:"cost,omitempty"`
}

// RouteDefaults returns a keyed, repeatable Route to a model.
func RouteDefaults(name string) Route {
	return Route{Name: name, Kind: KindModel, Access: AccessKeyed, Repeatable: true, Path: "/", Cost: 1}
}

func (r Route) validate(c Config, locate Locator, findings *collector.Collector) {
	section := "route " + r.Name
	validateName(r.Name, locate(section, ""), findings)
	if _, ok := c.Classes[r.Class]; !ok {
		findings.Add(locate(section, "class"), "names the unknown class "+quote(r.Class), "name a class that has a section [class NAME]")
	}
	r.validateAccess(c, section, locate, findings)
	switch r.Kind {
	case KindModel:
		r.validateModel(section, locate, findings)
	case KindService:
		r.validateService(section, locate, findings)
	default:
		findings.Add(locate(section, "kind"), "is "+quote(string(r.Kind)), "write model or service")
	}
}

func (r Route) validateAccess(c Config, section string, locate Locator, findings *collector.Collector) {
	switch r.Access {
	case AccessKeyed:
		if r.Team != "" {
			findings.Add(locate(section, "team"), "stands at a keyed route", "remove it: the key tells the team")
		}
	case AccessOpen:
		if _, ok := c.Teams[r.Team]; !ok {
			findings.Add(locate(section, "team"), "names the unknown team "+quote(r.Team), "name the team whose limit the open route draws on")
		}
	default:
		findings.Add(locate(section, "access"), "is "+quote(string(r.Access)), "write keyed or open")
	}
}

func (r Route) validateModel(section string, locate Locator, findings *collector.Collector) {
	if r.Model == "" {
		findings.Add(locate(section, "model"), "is missing", "name the model that the route leads to")
	}
	if r.Service != "" {
		findings.Add(locate(section, "service"), "stands at a model route", "remove it, or write kind = service")
	}
	if !r.Repeatable {
		findings.Add(locate(section, "repeatable"), "is no at a model route", "remove it: a model's answer records nothing")
	}
}

func (r Route) validateService(section string, locate Locator, findings *collector.Collector) {
	if r.Service == "" {
		findings.Add(locate(section, "service"), "is missing", "name the service that the route leads to")
	}
	if r.Model != "" {
		findings.Add(locate(section, "model"), "stands at a service route", "remove it, or write kind = model")
	}
	if !strings.HasPrefix(r.Path, "/") {
		findings.Add(locate(section, "path"), "does not begin with a slash", "give a path prefix such as /orders")
	}
	if r.Cost < 0 || r.Cost > maxTokens {
		findings.Add(locate(section, "cost"), "is not between 0 and 1000000000000", "give the tokens that one call counts for")
	}
}

func quote(text string) string {
	return `"` + text + `"`
}
