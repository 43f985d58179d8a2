// Command hyssopdoor routes language-model traffic with long shared prompts.
//
// # Usage
//
//	hyssopdoor try                           a local demo on loopback addresses
//	hyssopdoor serve --settings FILE         one instance
//	hyssopdoor check FILE...                 check settings or configurations
//	hyssopdoor config apply|show|diff        the configuration
//	hyssopdoor keys issue|withdraw|list      the callers' keys
//	hyssopdoor calls list|resolve            calls whose outcome is unknown
//	hyssopdoor status                        an instance's view of the cluster
//	hyssopdoor explain REQUEST-ID            how a request was handled
//
// Exit codes: 0 success, 1 failure, 2 invalid usage or findings in a file.
package main

import (
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/hyssopdoor/hyssopdoor/internal/runtime/exitcode"
)

func main() {
	os.Exit(run(os.Args[1:]))
}

// run runs the command line and returns the exit code.
func run(args []string) int {
	parser := newParser()
	_, err := parser.ParseArgs(args)
	return exitcode.Report("hyssopdoor", err)
}

func newParser() *flags.Parser {
	parser := flags.NewNamedParser("hyssopdoor", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "routes language-model traffic with long shared prompts"
	addCommand(parser.Command, "serve", "Run one instance", serveUsage, &serveCommand{})
	addCommand(parser.Command, "check", "Check settings or configurations without running", checkUsage, &checkCommand{})
	addCommand(parser.Command, "try", "Run a local demo with simulated servers", tryUsage, &tryCommand{})
	addCommand(parser.Command, "status", "Show an instance's view of the cluster", statusUsage, &statusCommand{})
	addCommand(parser.Command, "explain", "Show how a request was handled", explainUsage, &explainCommand{})
	config := addCommand(parser.Command, "config", "Apply, show or compare the configuration", configUsage, &struct{}{})
	addCommand(config, "apply", "Apply a configuration", configApplyUsage, &configApplyCommand{})
	addCommand(config, "show", "Show the configuration in force", configShowUsage, &configShowCommand{})
	addCommand(config, "diff", "Compare a file with the configuration in force", configDiffUsage, &configDiffCommand{})
	keys := addCommand(parser.Command, "keys", "Issue, withdraw or list keys", keysUsage, &struct{}{})
	addCommand(keys, "issue", "Issue a key for a team", keysIssueUsage, &keysIssueCommand{})
	addCommand(keys, "withdraw", "Withdraw a key", keysWithdrawUsage, &keysWithdrawCommand{})
	addCommand(keys, "list", "List the keys", keysListUsage, &keysListCommand{})
	calls := addCommand(parser.Command, "calls", "List or resolve calls whose outcome is unknown", callsUsage, &struct{}{})
	addCommand(calls, "list", "List calls whose outcome is unknown", callsListUsage, &callsListCommand{})
	addCommand(calls, "resolve", "Record whether a call ran", callsResolveUsage, &callsResolveCommand{})
	return parser
}

// commandAdder is a parser or command that accepts subcommands.
type commandAdder interface {
	AddCommand(name, short, long string, data any) (*flags.Command, error)
}

func addCommand(parent commandAdder, name, short, usage string, data any) *flags.Command {
	command, err := parent.AddCommand(name, short, usage, data)
	if err != nil {
		panic("hyssopdoor: " + name + ": " + err.Error())
	}
	return command
}
