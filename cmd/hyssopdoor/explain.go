package main

import (
	"context"
	"fmt"
	"io"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/operator"
)

const explainUsage = `Shows how a request was handled: team, class, tokens, candidate servers, selected
server, retries and outcome. Any instance of the failure domain that served the
request can be queried. The request identifier is in the X-Request-Id header of
each response. The instances keep the records of a limited number of requests,
without prompt text and keys.

Example:
  hyssopdoor explain r0a6c52e1bb4a7b2f3d0e9a11`

// explainCommand shows how a request was handled.
type explainCommand struct {
	operatorOptions
	Args struct {
		Request string `positional-arg-name:"REQUEST-ID" required:"yes"`
	} `positional-args:"yes" required:"yes"`
}

// Execute runs the command.
func (e *explainCommand) Execute([]string) error {
	return callOperator(&e.operatorOptions, func(ctx context.Context, client *operator.Client) (operator.Explanation, error) {
		return client.Explain(ctx, e.Args.Request)
	}, func(w io.Writer, explanation operator.Explanation) {
		for _, entry := range explanation.Entries {
			fmt.Fprintln(w, entry)
		}
	})
}
