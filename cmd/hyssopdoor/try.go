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

const tryUsage = `Runs one instance with stand-ins for the platform, two model engines and a
plain service, all in this process and on loopback, and prints how to reach
them. With --once it sends a few requests instead, prints what came back, and
ends with 0 only if each answer was right.

Example:
  hyssopdoor try --once`

// Times of try.
const (
	tryReady = 10 * time.Second
	tryPoll  = 20 * time.Millisecond
)

//go:embed try.ini
var tryConfig string

// tryCommand runs everything in one process.
type tryCommand struct {
	Once bool `long:"once" description:"send a few requests, check the answers, and end"`
	Log  bool `long:"log" description:"print the instance's log lines"`
}

// Execute runs the command.
func (t *tryCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	trial, err := startTrial(ctx, t.Log)
	if err != nil {
		return err
	}
	defer trial.close()
	if t.Once {
		return trial.once(ctx, os.Stdout)
	}
	trial.describe(os.Stdout)
	<-ctx.Done()
	return trial.running.Drain(context.Background())
}

// trial is everything that try runs.
type trial struct {
	standIns  []*launcher.Running
	running   *instance.Instance
	operators *operator.Client
	token     string
	key       operator.KeyView
}

func startTrial(ctx context.Context, logs bool) (*trial, error) {
	t := &trial{token: "try-operators-token"}
	if err := t.start(ctx, logs); err != nil {
		t.close()
		return nil, errors.Wrap(err, "try")
	}
	return t, nil
}

func (t *trial) start(ctx context.Context, logs bool) error {
	platform, err := launcher.Platform("127.0.0.1:0", objectserver.Defaults())
	if err != nil {
		return err
	}
	t.standIns = append(t.standIns, platform)
	if err := t.startServers(ctx, platform.URL()); err != nil {
		return err
	}
	var stream io.Writer = io.Discard
	if logs {
		stream = os.Stderr
	}
	if t.running, err = instance.Start(t.settings(platform.URL()), stream); err != nil {
		return err
	}
	t.operators = operator.NewClient(t.running.Addresses().Operators, secret.New(t.token))
	if _, err := t.operators.Apply(ctx, operator.ConfigChange{File: "try.ini", Config: tryConfig}); err != nil {
		return err
	}
	if t.key, err = t.operators.IssueKey(ctx, "crew"); err != nil {
		return err
	}
	return t.waitReady(ctx)
}

func (t *trial) startServers(ctx context.Context, platformURL string) error {
	for _, name := range []string{"engine-1", "engine-2"} {
		server, err := launcher.StartEngine(ctx, platformURL, "127.0.0.1:0", "try", engine.Defaults(name, "scarp", "notes"))
		if err != nil {
			return err
		}
		t.standIns = append(t.standIns, server)
	}
	server, err := launcher.StartService(ctx, platformURL, "127.0.0.1:0", "try", "ordering-1", "ordering")
	if err != nil {
		return err
	}
	t.standIns = append(t.standIns, server)
	return nil
}

func (t *trial) settings(platformURL string) settings.Settings {
	set := settings.Defaults()
	set.Name = "try-1"
	set.Domain = "try"
	set.Listen = settings.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: "127.0.0.1:0"}
	set.Platform.Address = platformURL
	set.Fleet.Credential = secret.New("try-fleet-credential")
	set.OperatorToken = secret.New(t.token)
	return set
}

// waitReady waits until the instance knows the servers and holds the rates.
func (t *trial) waitReady(ctx context.Context) error {
	end := time.Now().Add(tryReady)
	for time.Now().Before(end) {
		status, err := t.operators.Status(ctx)
		if err != nil {
			return err
		}
		held := true
		for _, team := range status.Teams {
			held = held && team.Held
		}
		if held && len(status.Servers) == len(t.standIns)-1 {
			return nil
		}
		time.Sleep(tryPoll)
	}
	return errors.New("the instance did not become ready")
}

func (t *trial) close() {
	if t.running != nil {
		t.running.Kill()
	}
	for _, standIn := range t.standIns {
		_ = standIn.Close()
	}
}

func (t *trial) describe(w io.Writer) {
	addresses := t.running.Addresses()
	fmt.Fprintf(w, `callers     http://%s
operators   %s
platform    %s
key         %s

Try:
  curl -N http://%s/v1/completions -H 'Authorization: Bearer %s' \
    -d '{"model":"scarp","prompt":"Is the scarp at km 14 active?","max_tokens":32,"stream":true}'
  HYSSOPDOOR_TOKEN=%s hyssopdoor status --operator %s

End with Ctrl-C.
`, addresses.Callers, addresses.Operators, t.standIns[0].URL(), t.key.Secret, addresses.Callers, t.key.Secret, t.token, addresses.Operators)
}
