package main

import (
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/instancesettings"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/edge"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/linelogger"
	"github.com/hyssopdoor/hyssopdoor/platform"
)

const serveUsage = `Runs one instance until SIGTERM or SIGINT. Then it drains: it reports that
it is not ready, completes the requests in flight and those that still arrive,
and exits within the time that the settings allow. SIGHUP reloads the settings
file. Log lines are written to the standard output.

The settings file is the one given with --settings, or else the platform's.

Example:
  hyssopdoor-edge serve --settings /etc/hyssopdoor/node.conf`

// serveCommand runs one instance.
type serveCommand struct {
	Settings string `long:"settings" value-name:"FILE" description:"settings file, instead of the platform's"`
}

const (
	// memoryLimitTenths is the memory limit of the Go runtime, in tenths of the memory
	// that the process may use. Near the limit the garbage collector runs more often.
	// The rest is for memory that the runtime does not count.
	memoryLimitTenths = 6
	// gcPercent is the growth of the heap between collections, in percent. The heap is
	// small, and memory is scarcer than the time to collect garbage.
	gcPercent = 50
)

// Execute runs the command.
func (s *serveCommand) Execute([]string) error {
	file := s.Settings
	if file == "" {
		file = platform.SettingsFile()
	}
	settings, err := platform.ReadSettings(file)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(settings.MemoryMB << 20 * memoryLimitTenths / 10)
	log := linelogger.New(os.Stdout)
	defer log.Close()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	instance, err := edge.Start(settings, platform.New(settings), log)
	if err != nil {
		return err
	}
	for sig := range signals {
		if sig != syscall.SIGHUP {
			break
		}
		reload(instance, file, log)
	}
	instance.Drain()
	return nil
}

// reload reads the settings file again. If it has findings, the old settings stay in
// force.
func reload(instance *edge.Edge, file string, log *linelogger.LineLogger) {
	var settings instancesettings.Settings
	settings, err := platform.ReadSettings(file)
	if err != nil {
		log.Write(eventlog.New(eventlog.SettingsRejected, "").With("error", err))
		return
	}
	instance.Reload(settings)
}
