// Command hyssopdoor-edge runs one instance on the users' platform.
//
// # Usage
//
//	hyssopdoor-edge serve                    run one instance, with the platform's settings file
//	hyssopdoor-edge check FILE               check a settings file
//
// It is a separate program because its machines are small: it leaves out everything that
// only the standalone commands of the project need.
//
// Exit codes: 0 success, 1 failure, 2 wrong usage or findings in a file.
package main

import (
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/hyssopdoor/hyssopdoor/internal/runtime/exitcode"
)

func main() {
	os.Exit(run(os.Args[1:]))
}

// run executes the command line and returns the exit code.
func run(args []string) int {
	parser := flags.NewNamedParser("hyssopdoor-edge", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "routes requests on the users' platform"
	addCommand(parser, "serve", "Run one instance", serveUsage, &serveCommand{})
	addCommand(parser, "check", "Check a settings file without running", checkUsage, &checkCommand{})
	_, err := parser.ParseArgs(args)
	return exitcode.Report("hyssopdoor-edge", err)
}

func addCommand(parser *flags.Parser, name, short, usage string, command any) {
	if _, err := parser.AddCommand(name, short, usage, command); err != nil {
		panic("hyssopdoor-edge: " + name + ": " + err.Error())
	}
}
