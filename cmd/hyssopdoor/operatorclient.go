package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/secret"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/exitcode"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/operator"
)

// operatorOptions are the options of the commands that call the operator API of an
// instance.
type operatorOptions struct {
	Operator string `long:"operator" env:"HYSSOPDOOR_OPERATOR" default:"127.0.0.1:8081" value-name:"HOST:PORT" description:"operator API address of any instance"`
	Token    string `long:"token" env:"HYSSOPDOOR_TOKEN" value-name:"TOKEN" description:"operator token; preferably set in the environment"`
	JSON     bool   `long:"json" description:"print JSON for scripts"`
}

func (o *operatorOptions) client() (*operator.Client, error) {
	if o.Token == "" {
		return nil, exitcode.UsageError{Message: "the operator token is missing; set HYSSOPDOOR_TOKEN or pass --token"}
	}
	return operator.NewClient(o.Operator, secret.New(o.Token)), nil
}

// callOperator calls the operator API and prints the result, as JSON or with print.
func callOperator[T any](o *operatorOptions, call func(context.Context, *operator.Client) (T, error), print func(io.Writer, T)) error {
	client, err := o.client()
	if err != nil {
		return err
	}
	result, err := call(context.Background(), client)
	if err != nil {
		return err
	}
	if o.JSON {
		return printJSON(os.Stdout, result)
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	print(table, result)
	return table.Flush()
}

func printJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func printMessage(w io.Writer, response operator.OperationResponse) {
	fmt.Fprintln(w, response.Message)
	if response.Revision > 0 {
		fmt.Fprintf(w, "revision\t%d\n", response.Revision)
	}
}
