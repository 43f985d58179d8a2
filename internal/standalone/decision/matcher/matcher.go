// Package matcher selects the route of a request.
//
// # Usage
//
//	route, ok := matcher.RouteForModel(configuration, "scarp", "")
//	route, ok = matcher.RouteForService(configuration, "orders", "/orders/7", "")
package matcher

import (
	"strings"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/config"
)

// RouteForModel returns the route to the model. When several routes match, the class
// selects one; without a class it is the first by name.
func RouteForModel(configuration config.Config, model, class string) (config.Route, bool) {
	return bestRoute(configuration, class, func(route config.Route) int {
		if route.Kind == config.KindModel && route.Model == model {
			return 1
		}
		return 0
	})
}

// RouteForService returns the route to the service with the longest matching path.
func RouteForService(configuration config.Config, service, path, class string) (config.Route, bool) {
	return bestRoute(configuration, class, func(route config.Route) int {
		if route.Kind == config.KindService && route.Service == service && hasPathPrefix(path, route.Path) {
			return len(route.Path)
		}
		return 0
	})
}

// bestRoute returns the route with the highest positive score; ties go to the first
// by name.
func bestRoute(configuration config.Config, class string, score func(config.Route) int) (config.Route, bool) {
	var selected config.Route
	bestScore := 0
	for _, route := range configuration.Routes {
		if class != "" && route.Class != class {
			continue
		}
		routeScore := score(route)
		if routeScore > bestScore || (routeScore == bestScore && routeScore > 0 && route.Name < selected.Name) {
			selected = route
			bestScore = routeScore
		}
	}
	return selected, bestScore > 0
}

// hasPathPrefix reports whether path equals prefix or lies below it.
func hasPathPrefix(path, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/' || rest[0] == '?')
}
