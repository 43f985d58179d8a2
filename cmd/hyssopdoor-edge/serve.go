package main

import (
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/journal"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/site"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/edge"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/linelogger"
	"github.com/hyssopdoor/hyssopdoor/platform"
)

const serveUsage = `Runs one instance until SIGTERM or SIGINT, then drains: it says that it is not
ready, answers what it has and what still comes, and ends within the time that the
settings give. SIGHUP reads the settings file again. Log lines go to the standard
output.

The settings file is the one that the platform names, or the one given.

Example:
  hyssopdoor-edge serve --settings /etc/hyssopdoor/node.conf`

// serveCommand runs one instance.
type serveCommand struct {
	Settings string `long:"settings" value-name:"FILE" description:"settings file, in place of the one that the platform names"`
}

const (
	// memoryPart is the part of the machine's memory, in tenths, from which the
	// garbage collector works harder: the rest is for what it does not count.
	memoryPart = 6
	// garbagePercent is how much the heap may grow between collections: the heap is
	// small, and memory is dearer than the time to collect it.
	garbagePercent = 50
)

// Execute runs the command.
func (s *serveCommand) Execute([]string) error {
	file := s.Settings
	if file == "" {
		file = platform.SettingsFile()
	}
	place, err := platform.ReadSettings(file)
	if err != nil {
		return err
	}
	debug.SetGCPercent(garbagePercent)
	debug.SetMemoryLimit(place.MemoryMB << 20 * memoryPart / 10)
	log := linelogger.New(os.Stdout)
	defer log.Close()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	running, err := edge.Start(place, platform.New(place), log)
	if err != nil {
		return err
	}
	for received := range signals {
		if received != syscall.SIGHUP {
			break
		}
		reload(running, file, log)
	}
	running.Drain()
	return nil
}

// reload reads the settings again; findings leave the old ones in force.
func reload(running *edge.Edge, file string, log *linelogger.LineLogger) {
	var changed site.Site
	changed, err := platform.ReadSettings(file)
	if err != nil {
		log.Write(journal.New(journal.SettingsRejected, "").With("error", err))
		return
	}
	running.Reload(changed)
}
