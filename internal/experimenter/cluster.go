package experimenter

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/go-faster/errors"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/balancer"
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
	model             = "notes"
	operatorToken     = "experiment-operators-token"
	readyTimeout      = 15 * time.Second
	readyPollInterval = 20 * time.Millisecond
)

// cluster is the system under test: an instance and simulated engines in each
// domain, and the simulated platform.
type cluster struct {
	platform      *launcher.Simulator
	engines       []*launcher.Simulator
	engineServers []*engine.Server
	instances     []*instance.Instance
	keysByTeam    map[string]string // keysByTeam has the secrets.
}

func startCluster(ctx context.Context, options Options, policy balancer.Policy) (*cluster, error) {
	c := &cluster{keysByTeam: map[string]string{}}
	if err := c.start(ctx, options, policy); err != nil {
		c.close()
		return nil, errors.Wrap(err, "experimenter.startCluster")
	}
	return c, nil
}

func (c *cluster) start(ctx context.Context, options Options, policy balancer.Policy) error {
	platform, err := launcher.StartPlatform("127.0.0.1:0", objectserver.Defaults())
	if err != nil {
		return err
	}
	c.platform = platform
	for _, domain := range options.Domains {
		if err := c.startDomain(ctx, options, policy, domain); err != nil {
			return err
		}
	}
	return c.configure(ctx, options)
}

func (c *cluster) startDomain(ctx context.Context, options Options, policy balancer.Policy, domain string) error {
	for i := range options.EnginesPerDomain {
		engineOptions := engine.Defaults(fmt.Sprintf("%s-engine-%d", domain, i+1), model)
		engineOptions.PrefillPerToken = options.PrefillPerToken
		engineOptions.DecodePerToken = options.DecodePerToken
		engineOptions.CacheChunks = options.CacheChunks
		server := engine.New(engineOptions)
		running, err := launcher.StartEngineServer(ctx, c.platform.URL(), "127.0.0.1:0", domain, engineOptions, server)
		if err != nil {
			return err
		}
		c.engines = append(c.engines, running)
		c.engineServers = append(c.engineServers, server)
	}
	instanceSettings := settings.Defaults()
	instanceSettings.Name = domain + "-1"
	instanceSettings.Domain = domain
	instanceSettings.Listen = settings.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: "127.0.0.1:0"}
	instanceSettings.Platform.Address = c.platform.URL()
	instanceSettings.Fleet.Credential = secret.New("experiment-fleet-credential")
	instanceSettings.OperatorToken = secret.New(operatorToken)
	instanceSettings.Policy = policy
	for _, started := range c.instances {
		instanceSettings.Fleet.Seeds = append(instanceSettings.Fleet.Seeds, started.Addresses().Peers)
	}
	running, err := instance.Start(instanceSettings, io.Discard)
	if err != nil {
		return err
	}
	c.instances = append(c.instances, running)
	return nil
}

// configure applies the configuration, issues a key for each team and waits until
// all instances are ready.
func (c *cluster) configure(ctx context.Context, options Options) error {
	configuration := config.Defaults()
	configuration.Domains = options.Domains
	class := config.ClassDefaults("draft")
	class.FirstTokenTarget = options.FirstTokenTarget
	configuration.Classes["draft"] = class
	route := config.RouteDefaults("notes")
	route.Model = model
	route.Class = "draft"
	configuration.Routes["notes"] = route
	for _, team := range options.Workload.Teams {
		configuration.Teams[team.Name] = config.Team{Name: team.Name, Rate: options.TeamRate, Burst: options.TeamBurst}
	}
	client := c.operatorClient(0)
	if _, err := client.Apply(ctx, operator.ConfigChange{File: "experiment", Config: encoder.Encode(configuration)}); err != nil {
		return err
	}
	for _, team := range options.Workload.Teams {
		key, err := client.IssueKey(ctx, team.Name)
		if err != nil {
			return err
		}
		c.keysByTeam[team.Name] = key.Secret
	}
	return c.waitReady(ctx, len(options.Workload.Teams))
}

func (c *cluster) operatorClient(i int) *operator.Client {
	return operator.NewClient(c.instances[i].Addresses().Operators, secret.New(operatorToken))
}

// waitReady waits until every instance is ready, lists all engines and has the
// configuration and the keys of all teams, each of which is a revision.
func (c *cluster) waitReady(ctx context.Context, teams int) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		ready := true
		for i := range c.instances {
			status, err := c.operatorClient(i).Status(ctx)
			ready = ready && err == nil && status.Ready && len(status.Servers) == len(c.engines) && status.Revision > int64(teams)
		}
		if ready {
			return nil
		}
		time.Sleep(readyPollInterval)
	}
	return errors.Errorf("the cluster did not become ready within %s", readyTimeout)
}

func (c *cluster) close() {
	for _, running := range c.instances {
		running.Kill()
	}
	for _, running := range c.engines {
		_ = running.Close()
	}
	if c.platform != nil {
		_ = c.platform.Close()
	}
}
