package testkit

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/secret"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/config"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
)

// SampleConfig returns a configuration of the failure domains with the model route
// "verdict", the service routes "orders", whose calls must not be retried, and
// "stock", whose calls may be, and the team "press" with the rate and burst in
// tokens.
func SampleConfig(rate, burst int64, domains ...string) config.Config {
	configuration := config.Defaults()
	configuration.Domains = domains
	configuration.Classes["quick"] = config.ClassDefaults("quick")
	configuration.Teams["press"] = config.Team{Name: "press", Rate: rate, Burst: burst}
	verdict := config.RouteDefaults("verdict")
	verdict.Class = "quick"
	verdict.Model = "verdict"
	configuration.Routes["verdict"] = verdict
	orders := config.RouteDefaults("orders")
	orders.Kind = config.KindService
	orders.Class = "quick"
	orders.Service = "ordering"
	orders.Path = "/orders"
	orders.Repeatable = false
	configuration.Routes["orders"] = orders
	stock := orders
	stock.Name = "stock"
	stock.Path = "/stock"
	stock.Repeatable = true
	configuration.Routes["stock"] = stock
	return configuration
}

// ServiceRequest returns a request of the team "press" on the route "orders" with
// the idempotency key.
func ServiceRequest(key string) event.RequestArrived {
	return event.RequestArrived{
		Key:            secret.New("key-press"),
		Service:        "ordering",
		Method:         "POST",
		Path:           "/orders",
		IdempotencyKey: key,
		Fingerprint:    "order " + key,
	}
}

// ModelRequest returns a request of the team "press" on the model route "verdict".
func ModelRequest(promptTokens, maxTokens int64) event.RequestArrived {
	return event.RequestArrived{
		Key:          secret.New("key-press"),
		Model:        "verdict",
		PromptTokens: promptTokens,
		MaxTokens:    maxTokens,
		Chain:        []uint64{1, 2},
		Fingerprint:  "verdict",
	}
}
