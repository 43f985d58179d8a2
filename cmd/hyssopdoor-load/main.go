// Command hyssopdoor-load runs load experiments against a local cluster with
// simulated engines.
//
// # Usage
//
//	hyssopdoor-load run EXPERIMENT.ini
//	hyssopdoor-load run --json EXPERIMENT.ini
package main

import (
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/hyssopdoor/hyssopdoor/internal/runtime/exitcode"
)

func main() {
	parser := flags.NewNamedParser("hyssopdoor-load", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddCommand("run", "Run an experiment", runUsage, &runCommand{}); err != nil {
		panic("hyssopdoor-load: " + err.Error())
	}
	_, err := parser.Parse()
	os.Exit(exitcode.Report("hyssopdoor-load", err))
}
