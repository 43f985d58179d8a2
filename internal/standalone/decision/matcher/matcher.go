// Package matcher finds the route of a request.
//
// # Usage
//
//	route, ok := matcher.Model(configuration, "scarp", "")
//	route, ok := matcher.Service(configuration, "orders", "/orders/7", "")
package matcher

import (
	"strings"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/config"
)

// RouteForModel returns the route to the model. When several lead there, the class
// tells which; without a class it is the first by name.
func RouteForModel(configuration config.Config, model, class string) (config.Route, bool) {
	return best(configuration, class, func(route config.Route) int {
		if route.Kind == config.KindModel && route.Model == model {
			return 1
		}
		return 0
	})
}

// RouteForService returns the route to the service with the longest matching path.
func RouteForService(configuration config.Config, service, path, class string) (config.Route, bool) {
	return best(configuration, class, func(route config.Route) int {
		if route.Kind == config.KindService && route.Service == service && below(path, route.Path) {
			return len(route.Path)
		}
		return 0
	})
}

// best returns the route with the highest positive score; of equal ones the
// first by name.
func best(configuration config.Config, class string, score func(config.Route) int) (config.Route, bool) {
	var chosen config.Route
	highest := 0
	for _, route := range configuration.Routes {
		if class != "" && route.Class != class {
			continue
		}
		points := score(route)
		if points > highest || (points == highest && points > 0 && route.Name < chosen.Name) {
			chosen = route
			highest = points
		}
	}
	return chosen, highest > 0
}

// below reports whether path is prefix or lies below it.
func below(path, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/' || rest[0] == '?')
}
