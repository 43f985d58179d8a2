package main

import (
	"context"
	"fmt"
	"io"

	"github.com/hyssopdoor/hyssopdoor/internal/runtime/exiter"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/operator"
)

const callsUsage = `Calls that may not be repeated and of which nobody knows whether they ran.`

const callsListUsage = `Lists the calls whose outcome is unknown. They are not run again by themselves:
ask the service, then say with calls resolve what became of each.

Example:
  hyssopdoor calls list`

const callsResolveUsage = `Says of the call with the record OBJECT whether it ran. After --not-run, the
caller's next request with the same Idempotency-Key runs.

Example:
  hyssopdoor calls resolve calls/press/5f0c --ran`

// callsListCommand lists calls.
type callsListCommand struct{ remote }

// Execute runs the command.
func (c *callsListCommand) Execute([]string) error {
	return ask(&c.remote, func(ctx context.Context, client *operator.Client) ([]operator.CallView, error) {
		return client.Calls(ctx)
	}, func(w io.Writer, calls []operator.CallView) {
		fmt.Fprintln(w, "OBJECT\tTEAM\tROUTE\tSTATE\tATTEMPT\tINSTANCE")
		for _, call := range calls {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", call.Object, call.Team, call.Route, call.State, call.Attempt, call.Instance)
		}
	})
}

// callsResolveCommand resolves a call.
type callsResolveCommand struct {
	remote
	Ran    bool `long:"ran" description:"the call ran"`
	NotRun bool `long:"not-run" description:"the call did not run"`
	Args   struct {
		Object string `positional-arg-name:"OBJECT" required:"yes"`
	} `positional-args:"yes" required:"yes"`
}

// Execute runs the command.
func (c *callsResolveCommand) Execute([]string) error {
	if c.Ran == c.NotRun {
		return exiter.UsageError{Message: "say one of --ran and --not-run"}
	}
	return ask(&c.remote, func(ctx context.Context, client *operator.Client) (operator.OperationResponse, error) {
		return client.ResolveCall(ctx, operator.CallResolution{Object: c.Args.Object, Ran: c.Ran})
	}, printMessage)
}
