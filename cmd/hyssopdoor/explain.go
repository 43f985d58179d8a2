package main

import (
	"context"
	"fmt"
	"io"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/operator"
)

const explainUsage = `Tells what became of a request, from any instance of the failure domain that
served it: team, class, tokens, candidates, choice, retries, ending. The request
identifier is in the X-Request-Id header of each answer. The instances remember
a bounded number of requests, no prompt text and no keys.

Example:
  hyssopdoor explain r0a6c52e1bb4a7b2f3d0e9a11`

// explainCommand explains a request.
type explainCommand struct {
	remote
	Args struct {
		Request string `positional-arg-name:"REQUEST-ID" required:"yes"`
	} `positional-args:"yes" required:"yes"`
}

// Execute runs the command.
func (e *explainCommand) Execute([]string) error {
	return ask(&e.remote, func(ctx context.Context, client *operator.Client) (operator.Explanation, error) {
		return client.Explain(ctx, e.Args.Request)
	}, func(w io.Writer, explanation operator.Explanation) {
		for _, entry := range explanation.Entries {
			fmt.Fprintln(w, entry)
		}
	})
}
