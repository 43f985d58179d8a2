package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/instance"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/settings"
)

const serveUsage = `Runs one instance until SIGTERM or SIGINT, then drains: it waits for in-flight
requests to finish, up to the drain timeout. The log goes to standard error.

Example:
  hyssopdoor serve --settings /etc/hyssopdoor.ini`

// serveCommand runs one instance.
type serveCommand struct {
	Settings string `long:"settings" required:"true" value-name:"FILE" description:"INI file with the instance's settings"`
}

// Execute runs the command.
func (s *serveCommand) Execute([]string) error {
	loaded, err := settings.Read(s.Settings)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	started, err := instance.Start(loaded, os.Stderr)
	if err != nil {
		return err
	}
	<-ctx.Done()
	stop()
	if err := started.Drain(context.Background()); err != nil {
		return errors.Wrap(err, "serve: draining the in-flight requests")
	}
	return nil
}
