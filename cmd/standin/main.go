// Command standin runs a simulator of one external system: the platform, a model
// engine or a service.
//
// # Usage
//
//	standin platform --listen 127.0.0.1:9000
//	standin engine --listen 127.0.0.1:9101 --platform http://127.0.0.1:9000 --domain split-a --name engine-1 --model scarp
//	standin service --listen 127.0.0.1:9201 --platform http://127.0.0.1:9000 --domain split-a --name ordering-1 --service ordering
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/hyssopdoor/hyssopdoor/internal/runtime/exitcode"
	"github.com/hyssopdoor/hyssopdoor/internal/standin/engine"
	"github.com/hyssopdoor/hyssopdoor/internal/standin/launcher"
	"github.com/hyssopdoor/hyssopdoor/internal/standin/objectserver"
)

// leaveDelay is the time for which a simulator still serves after it has been marked
// as leaving.
const leaveDelay = 3 * time.Second

func main() {
	parser := flags.NewNamedParser("standin", flags.HelpFlag|flags.PassDoubleDash)
	for _, command := range []struct {
		name, short string
		data        any
	}{
		{"platform", "Run a simulated platform", &platformCommand{}},
		{"engine", "Run a simulated model engine", &engineCommand{}},
		{"service", "Run a simulated service", &serviceCommand{}},
	} {
		if _, err := parser.AddCommand(command.name, command.short, command.short+" until SIGTERM or SIGINT.", command.data); err != nil {
			panic("standin: " + err.Error())
		}
	}
	_, err := parser.Parse()
	os.Exit(exitcode.Report("standin", err))
}

// listenOptions are the options of every simulator.
type listenOptions struct {
	Listen string `long:"listen" default:"127.0.0.1:0" value-name:"HOST:PORT" description:"address to listen on"`
}

// registrationOptions are the options of the simulators that register on the
// instance list.
type registrationOptions struct {
	Platform string `long:"platform" required:"yes" value-name:"URL" description:"base URL of the platform"`
	Domain   string `long:"domain" required:"yes" value-name:"DOMAIN" description:"failure domain"`
	Name     string `long:"name" required:"yes" value-name:"NAME" description:"instance name"`
}

// platformCommand runs a simulated platform.
type platformCommand struct {
	listenOptions
	ListLag time.Duration `long:"list-lag" default:"200ms" description:"delay after which the instance list shows a change"`
}

// Execute runs the command.
func (p *platformCommand) Execute([]string) error {
	options := objectserver.Defaults()
	options.ListLag = p.ListLag
	simulator, err := launcher.StartPlatform(p.Listen, options)
	if err != nil {
		return err
	}
	waitForSignal(simulator)
	return simulator.Close()
}

// engineCommand runs a simulated model engine.
type engineCommand struct {
	listenOptions
	registrationOptions
	Models  []string      `long:"model" required:"yes" value-name:"MODEL" description:"model to serve; may be given more than once"`
	Decode  time.Duration `long:"decode" default:"2ms" description:"time per generated token"`
	Prefill time.Duration `long:"prefill" default:"20us" description:"time per uncached prompt token"`
}

// Execute runs the command.
func (e *engineCommand) Execute([]string) error {
	options := engine.Defaults(e.Name, e.Models...)
	options.DecodePerToken = e.Decode
	options.PrefillPerToken = e.Prefill
	simulator, err := launcher.StartEngine(context.Background(), e.Platform, e.Listen, e.Domain, options)
	if err != nil {
		return err
	}
	return leaveOnSignal(simulator)
}

// serviceCommand runs a simulated service.
type serviceCommand struct {
	listenOptions
	registrationOptions
	Service string `long:"service" required:"yes" value-name:"SERVICE" description:"name of the service"`
}

// Execute runs the command.
func (s *serviceCommand) Execute([]string) error {
	simulator, err := launcher.StartService(context.Background(), s.Platform, s.Listen, s.Domain, s.Name, s.Service)
	if err != nil {
		return err
	}
	return leaveOnSignal(simulator)
}

// waitForSignal prints the address and waits for SIGTERM or SIGINT.
func waitForSignal(simulator *launcher.Simulator) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	fmt.Println("listening", simulator.Address())
	<-ctx.Done()
}

// leaveOnSignal waits for a signal, marks the simulator as leaving and closes it after
// leaveDelay.
func leaveOnSignal(simulator *launcher.Simulator) error {
	waitForSignal(simulator)
	if err := simulator.MarkLeaving(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
	}
	time.Sleep(leaveDelay)
	return simulator.Close()
}
