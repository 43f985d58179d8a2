// Command hyssopdoor-load measures the system under load.
//
// # Usage
//
//	hyssopdoor-load run EXPERIMENT.ini
//	hyssopdoor-load run --json EXPERIMENT.ini
package main

import (
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"

	"github.com/hyssopdoor/hyssopdoor/pkg/collector"
)

// Exit codes.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	parser := flags.NewNamedParser("hyssopdoor-load", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddCommand("run", "Run an experiment", runUsage, &runCommand{}); err != nil {
		panic("hyssopdoor-load: " + err.Error())
	}
	_, err := parser.Parse()
	os.Exit(report(err))
}

// report prints the error and returns the exit code that stands for it.
func report(err error) int {
	var flagError *flags.Error
	var findings *collector.Collector
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &flagError) && flagError.Type == flags.ErrHelp:
		fmt.Println(flagError.Message)
		return exitDone
	case errors.As(err, &flagError), errors.As(err, &findings):
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	default:
		fmt.Fprintln(os.Stderr, "hyssopdoor-load:", err)
		return exitFailed
	}
}
