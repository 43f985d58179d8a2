// Command standin runs one small stand-in for an outside system: the platform,
// a model engine, or a plain service.
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

	"github.com/hyssopdoor/hyssopdoor/internal/runtime/exiter"
	"github.com/hyssopdoor/hyssopdoor/internal/standin/engine"
	"github.com/hyssopdoor/hyssopdoor/internal/standin/launcher"
	"github.com/hyssopdoor/hyssopdoor/internal/standin/objectserver"
)

// leaveTime is how long a stand-in goes on after it has been marked as leaving.
const leaveTime = 3 * time.Second

func main() {
	parser := flags.NewNamedParser("standin", flags.HelpFlag|flags.PassDoubleDash)
	for _, command := range []struct {
		name, short string
		data        any
	}{
		{"platform", "Run the platform", &platformCommand{}},
		{"engine", "Run a model engine", &engineCommand{}},
		{"service", "Run a plain service", &serviceCommand{}},
	} {
		if _, err := parser.AddCommand(command.name, command.short, command.short+" until SIGTERM or SIGINT.", command.data); err != nil {
			panic("standin: " + err.Error())
		}
	}
	_, err := parser.Parse()
	os.Exit(exiter.Report("standin", err))
}

// listening is the option of all stand-ins.
type listening struct {
	Listen string `long:"listen" default:"127.0.0.1:0" value-name:"HOST:PORT" description:"address to listen at"`
}

// membership has the options of the stand-ins on the instance list.
type membership struct {
	Platform string `long:"platform" required:"yes" value-name:"URL" description:"the platform"`
	Domain   string `long:"domain" required:"yes" value-name:"DOMAIN" description:"failure domain"`
	Name     string `long:"name" required:"yes" value-name:"NAME" description:"instance name"`
}

// platformCommand runs the platform.
type platformCommand struct {
	listening
	ListLag time.Duration `long:"list-lag" default:"200ms" description:"how late the instance list is"`
}

// Execute runs the command.
func (p *platformCommand) Execute([]string) error {
	options := objectserver.Defaults()
	options.ListLag = p.ListLag
	running, err := launcher.Platform(p.Listen, options)
	if err != nil {
		return err
	}
	wait(running)
	return running.Close()
}

// engineCommand runs an engine.
type engineCommand struct {
	listening
	membership
	Models  []string      `long:"model" required:"yes" value-name:"MODEL" description:"model to serve; may stand more than once"`
	Decode  time.Duration `long:"decode" default:"2ms" description:"time for each generated token"`
	Prefill time.Duration `long:"prefill" default:"20us" description:"time for each prompt token that is not cached"`
}

// Execute runs the command.
func (e *engineCommand) Execute([]string) error {
	options := engine.Defaults(e.Name, e.Models...)
	options.DecodePerToken = e.Decode
	options.PrefillPerToken = e.Prefill
	running, err := launcher.Engine(context.Background(), e.Platform, e.Listen, e.Domain, options)
	if err != nil {
		return err
	}
	return leave(running)
}

// serviceCommand runs a service.
type serviceCommand struct {
	listening
	membership
	Service string `long:"service" required:"yes" value-name:"SERVICE" description:"name of the service"`
}

// Execute runs the command.
func (s *serviceCommand) Execute([]string) error {
	running, err := launcher.Service(context.Background(), s.Platform, s.Listen, s.Domain, s.Name, s.Service)
	if err != nil {
		return err
	}
	return leave(running)
}

// wait prints the address and waits for a signal.
func wait(running *launcher.Running) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	fmt.Println("listening", running.Address())
	<-ctx.Done()
}

// leave waits for a signal, marks the stand-in as leaving, and ends it a little
// later.
func leave(running *launcher.Running) error {
	wait(running)
	if err := running.Leave(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
	}
	time.Sleep(leaveTime)
	return running.Close()
}
