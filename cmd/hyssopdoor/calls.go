package main

import (
	"context"
	"fmt"
	"io"

	"github.com/hyssopdoor/hyssopdoor/internal/runtime/exitcode"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/operator"
)

const callsUsage = `Calls that must not be repeated and whose outcome is unknown.`

const callsListUsage = `Lists the calls whose outcome is unknown. They are not retried automatically:
look the outcome up in the service, then record it with calls resolve.

Example:
  hyssopdoor calls list`

const callsResolveUsage = `Records whether the call with the record OBJECT ran. After --not-run, the
caller's next request with the same Idempotency-Key is executed.

Example:
  hyssopdoor calls resolve calls/press/5f0c --ran`

// callsListCommand lists the calls whose outcome is unknown.
type callsListCommand struct{ operatorOptions }

// Execute runs the command.
func (c *callsListCommand) Execute([]string) error {
	return callOperator(&c.operatorOptions, func(ctx context.Context, client *operator.Client) ([]operator.CallView, error) {
		return client.Calls(ctx)
	}, func(w io.Writer, calls []operator.CallView) {
		fmt.Fprintln(w, "OBJECT\tTEAM\tROUTE\tSTATE\tATTEMPT\tINSTANCE")
		for _, call := range calls {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", call.Object, call.Team, call.Route, call.State, call.Attempt, call.Instance)
		}
	})
}

// callsResolveCommand records the outcome of a call.
type callsResolveCommand struct {
	operatorOptions
	Ran    bool `long:"ran" description:"the call ran"`
	NotRun bool `long:"not-run" description:"the call did not run"`
	Args   struct {
		Object string `positional-arg-name:"OBJECT" required:"yes"`
	} `positional-args:"yes" required:"yes"`
}

// Execute runs the command.
func (c *callsResolveCommand) Execute([]string) error {
	if c.Ran == c.NotRun {
		return exitcode.UsageError{Message: "give exactly one of --ran and --not-run"}
	}
	return callOperator(&c.operatorOptions, func(ctx context.Context, client *operator.Client) (operator.OperationResponse, error) {
		return client.ResolveCall(ctx, operator.CallResolution{Object: c.Args.Object, Ran: c.Ran})
	}, printMessage)
}
