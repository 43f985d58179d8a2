package experimenter

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/go-faster/errors"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/chooser"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/secret"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/config"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/encoder"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/instance"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/operator"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/settings"
	"github.com/hyssopdoor/hyssopdoor/internal/standin/engine"
	"github.com/hyssopdoor/hyssopdoor/internal/standin/launcher"
	"github.com/hyssopdoor/hyssopdoor/internal/standin/objectserver"
)

const (
	model        = "notes"
	token        = "experiment-operators-token"
	readyTimeout = 15 * time.Second
	readyPoll    = 20 * time.Millisecond
)

// fleet is what one run measures: an instance and engines in each domain.
type fleet struct {
	platform  *launcher.Running
	engines   []*launcher.Running
	servers   []*engine.Server
	instances []*instance.Instance
	keys      map[string]string // keys are secrets by team.
}

func startFleet(ctx context.Context, options Options, policy chooser.Policy) (*fleet, error) {
	f := &fleet{keys: map[string]string{}}
	if err := f.start(ctx, options, policy); err != nil {
		f.close()
		return nil, errors.Wrap(err, "experimenter.startFleet")
	}
	return f, nil
}

func (f *fleet) start(ctx context.Context, options Options, policy chooser.Policy) error {
	platform, err := launcher.Platform("127.0.0.1:0", objectserver.Defaults())
	if err != nil {
		return err
	}
	f.platform = platform
	for _, domain := range options.Domains {
		if err := f.startDomain(ctx, options, policy, domain); err != nil {
			return err
		}
	}
	return f.configure(ctx, options)
}

func (f *fleet) startDomain(ctx context.Context, options Options, policy chooser.Policy, domain string) error {
	for i := range options.Engines {
		made := engine.Defaults(fmt.Sprintf("%s-engine-%d", domain, i+1), model)
		made.PrefillPerToken = options.Prefill
		made.DecodePerToken = options.Decode
		made.CacheChunks = options.CacheChunks
		server := engine.New(made)
		running, err := launcher.EngineServer(ctx, f.platform.URL(), "127.0.0.1:0", domain, made, server)
		if err != nil {
			return err
		}
		f.engines = append(f.engines, running)
		f.servers = append(f.servers, server)
	}
	set := settings.Defaults()
	set.Name = domain + "-1"
	set.Domain = domain
	set.Listen = settings.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: "127.0.0.1:0"}
	set.Platform.Address = f.platform.URL()
	set.Fleet.Credential = secret.New("experiment-fleet-credential")
	set.OperatorToken = secret.New(token)
	set.Policy = policy
	for _, started := range f.instances {
		set.Fleet.Seeds = append(set.Fleet.Seeds, started.Addresses().Peers)
	}
	running, err := instance.Start(set, io.Discard)
	if err != nil {
		return err
	}
	f.instances = append(f.instances, running)
	return nil
}

// configure applies the configuration and waits until all instances serve.
func (f *fleet) configure(ctx context.Context, options Options) error {
	configuration := config.Defaults()
	configuration.Domains = options.Domains
	class := config.ClassDefaults("draft")
	class.FirstTokenTarget = options.Target
	configuration.Classes["draft"] = class
	route := config.RouteDefaults("notes")
	route.Model = model
	route.Class = "draft"
	configuration.Routes["notes"] = route
	for _, team := range options.Workload.Teams {
		configuration.Teams[team.Name] = config.Team{Name: team.Name, Rate: options.TeamRate, Burst: options.TeamBurst}
	}
	operators := f.operator(0)
	if _, err := operators.Apply(ctx, operator.ConfigChange{File: "experiment", Config: encoder.Encode(configuration)}); err != nil {
		return err
	}
	for _, team := range options.Workload.Teams {
		key, err := operators.IssueKey(ctx, team.Name)
		if err != nil {
			return err
		}
		f.keys[team.Name] = key.Secret
	}
	return f.waitReady(ctx, len(options.Workload.Teams))
}

func (f *fleet) operator(number int) *operator.Client {
	return operator.NewClient(f.instances[number].Addresses().Operators, secret.New(token))
}

func (f *fleet) waitReady(ctx context.Context, teams int) error {
	end := time.Now().Add(readyTimeout)
	for time.Now().Before(end) {
		ready := true
		for i := range f.instances {
			status, err := f.operator(i).Status(ctx)
			ready = ready && err == nil && status.Ready && len(status.Servers) == len(f.engines) && status.Revision > int64(teams)
		}
		if ready {
			return nil
		}
		time.Sleep(readyPoll)
	}
	return errors.New("the fleet did not become ready")
}

func (f *fleet) close() {
	for _, running := range f.instances {
		running.Kill()
	}
	for _, running := range f.engines {
		_ = running.Close()
	}
	if f.platform != nil {
		_ = f.platform.Close()
	}
}
