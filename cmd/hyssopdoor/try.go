package main

import (
	"context"
	_ "embed"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/secret"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/instance"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/operator"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/settings"
	"github.com/hyssopdoor/hyssopdoor/internal/standin/engine"
	"github.com/hyssopdoor/hyssopdoor/internal/standin/launcher"
	"github.com/hyssopdoor/hyssopdoor/internal/standin/objectserver"
)

const tryUsage = `Runs one instance with a simulated platform, two simulated model engines and a
simulated service, all in this process on loopback addresses, and prints their
addresses. With --once it sends a few requests instead, prints the responses, and
exits with 0 only if all of them are correct.

Example:
  hyssopdoor try --once`

const (
	readyTimeout = 10 * time.Second // readyTimeout limits the start of the demo.
	pollInterval = 20 * time.Millisecond
)

//go:embed try.ini
var tryConfig string

// tryCommand runs a demo in one process.
type tryCommand struct {
	Once bool `long:"once" description:"send a few requests, check the responses and exit"`
	Log  bool `long:"log" description:"print the instance's log"`
}

// Execute runs the command.
func (c *tryCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	demo, err := startDemo(ctx, c.Log)
	if err != nil {
		return err
	}
	defer demo.close()
	if c.Once {
		return demo.runSelfTests(ctx, os.Stdout)
	}
	demo.printAddresses(os.Stdout)
	<-ctx.Done()
	return demo.instance.Drain(context.Background())
}

// demo is an instance with a simulated platform and simulated servers.
type demo struct {
	// simulators are the platform, the two engines and the service, in this order.
	simulators     []*launcher.Simulator
	instance       *instance.Instance
	operatorClient *operator.Client
	operatorToken  string
	key            operator.KeyView
}

func startDemo(ctx context.Context, logs bool) (*demo, error) {
	d := &demo{operatorToken: "try-operators-token"}
	if err := d.start(ctx, logs); err != nil {
		d.close()
		return nil, errors.Wrap(err, "try")
	}
	return d, nil
}

func (d *demo) start(ctx context.Context, logs bool) error {
	platform, err := launcher.StartPlatform("127.0.0.1:0", objectserver.Defaults())
	if err != nil {
		return err
	}
	d.simulators = append(d.simulators, platform)
	if err := d.startServers(ctx, platform.URL()); err != nil {
		return err
	}
	var logWriter io.Writer = io.Discard
	if logs {
		logWriter = os.Stderr
	}
	if d.instance, err = instance.Start(d.instanceSettings(platform.URL()), logWriter); err != nil {
		return err
	}
	d.operatorClient = operator.NewClient(d.instance.Addresses().Operators, secret.New(d.operatorToken))
	if _, err := d.operatorClient.Apply(ctx, operator.ConfigChange{File: "try.ini", Config: tryConfig}); err != nil {
		return err
	}
	if d.key, err = d.operatorClient.IssueKey(ctx, "crew"); err != nil {
		return err
	}
	return d.waitReady(ctx)
}

func (d *demo) startServers(ctx context.Context, platformURL string) error {
	for _, name := range []string{"engine-1", "engine-2"} {
		server, err := launcher.StartEngine(ctx, platformURL, "127.0.0.1:0", "try", engine.Defaults(name, "scarp", "notes"))
		if err != nil {
			return err
		}
		d.simulators = append(d.simulators, server)
	}
	server, err := launcher.StartService(ctx, platformURL, "127.0.0.1:0", "try", "ordering-1", "ordering")
	if err != nil {
		return err
	}
	d.simulators = append(d.simulators, server)
	return nil
}

func (d *demo) instanceSettings(platformURL string) settings.Settings {
	options := settings.Defaults()
	options.Name = "try-1"
	options.Domain = "try"
	options.Listen = settings.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: "127.0.0.1:0"}
	options.Platform.Address = platformURL
	options.Fleet.Credential = secret.New("try-fleet-credential")
	options.OperatorToken = secret.New(d.operatorToken)
	return options
}

// waitReady waits until the instance lists every server and holds the quota of every
// team.
func (d *demo) waitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		status, err := d.operatorClient.Status(ctx)
		if err != nil {
			return err
		}
		allHeld := true
		for _, team := range status.Teams {
			allHeld = allHeld && team.Held
		}
		if allHeld && len(status.Servers) == len(d.simulators)-1 {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return errors.New("the instance did not become ready")
}

func (d *demo) close() {
	if d.instance != nil {
		d.instance.Kill()
	}
	for _, simulator := range d.simulators {
		_ = simulator.Close()
	}
}

func (d *demo) printAddresses(w io.Writer) {
	addresses := d.instance.Addresses()
	fmt.Fprintf(w, `callers     http://%s
operators   %s
platform    %s
key         %s

Try:
  curl -N http://%s/v1/completions -H 'Authorization: Bearer %s' \
    -d '{"model":"scarp","prompt":"Is the scarp at km 14 active?","max_tokens":32,"stream":true}'
  HYSSOPDOOR_TOKEN=%s hyssopdoor status --operator %s

Press Ctrl-C to stop.
`, addresses.Callers, addresses.Operators, d.simulators[0].URL(), d.key.Secret, addresses.Callers, d.key.Secret, d.operatorToken, addresses.Operators)
}
