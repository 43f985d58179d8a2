package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/secret"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/exiter"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/operator"
)

// remote has the options of the commands that ask an instance.
type remote struct {
	Operator string `long:"operator" env:"HYSSOPDOOR_OPERATOR" default:"127.0.0.1:8081" value-name:"HOST:PORT" description:"operators' address of any instance"`
	Token    string `long:"token" env:"HYSSOPDOOR_TOKEN" value-name:"TOKEN" description:"the operators' token; better given in the environment"`
	JSON     bool   `long:"json" description:"print JSON for scripts"`
}

func (r *remote) client() (*operator.Client, error) {
	if r.Token == "" {
		return nil, exiter.UsageError{Message: "the operators' token is missing; set HYSSOPDOOR_TOKEN, or give --token"}
	}
	return operator.NewClient(r.Operator, secret.New(r.Token)), nil
}

// ask calls the instance and prints the answer, as JSON or by print.
func ask[T any](r *remote, call func(context.Context, *operator.Client) (T, error), print func(io.Writer, T)) error {
	client, err := r.client()
	if err != nil {
		return err
	}
	answer, err := call(context.Background(), client)
	if err != nil {
		return err
	}
	if r.JSON {
		return printJSON(os.Stdout, answer)
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	print(table, answer)
	return table.Flush()
}

func printJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func printMessage(w io.Writer, message operator.OperationResponse) {
	fmt.Fprintln(w, message.Message)
	if message.Revision > 0 {
		fmt.Fprintf(w, "revision\t%d\n", message.Revision)
	}
}
