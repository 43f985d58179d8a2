package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/go-faster/errors"
	"github.com/pmezard/go-difflib/difflib"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/encoder"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/parser"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/operator"
)

const configUsage = `The configuration: classes of work, teams and routes. See: config apply --help.`

const configApplyUsage = `Applies the configuration in FILE to all instances. Keys are not changed. With
--base, the command fails with a conflict if the configuration has changed since
that revision.

Example:
  hyssopdoor config show > fleet.ini
  hyssopdoor config apply fleet.ini --base 7`

const configShowUsage = `Prints the configuration in force as INI; its revision goes to standard
error.

Example:
  hyssopdoor config show > fleet.ini`

const configDiffUsage = `Prints a unified diff from the configuration in force to FILE; nothing if they
are equal.

Example:
  hyssopdoor config diff fleet.ini`

// contextLines is the number of unchanged lines shown around each difference.
const contextLines = 3

// fileArgument is the positional argument FILE.
type fileArgument struct {
	File string `positional-arg-name:"FILE" required:"yes"`
}

// configApplyCommand applies a configuration.
type configApplyCommand struct {
	operatorOptions
	Base int64        `long:"base" value-name:"REVISION" description:"configuration revision that the file is based on"`
	Args fileArgument `positional-args:"yes" required:"yes"`
}

// Execute runs the command.
func (c *configApplyCommand) Execute([]string) error {
	data, err := os.ReadFile(c.Args.File)
	if err != nil {
		return errors.Wrap(err, "config apply")
	}
	if _, err := parser.Parse(c.Args.File, data); err != nil {
		return err
	}
	change := operator.ConfigChange{File: c.Args.File, Config: string(data), Base: c.Base}
	return callOperator(&c.operatorOptions, func(ctx context.Context, client *operator.Client) (operator.OperationResponse, error) {
		return client.Apply(ctx, change)
	}, printMessage)
}

// configShowCommand prints the configuration in force.
type configShowCommand struct{ operatorOptions }

// Execute runs the command.
func (c *configShowCommand) Execute([]string) error {
	return callOperator(&c.operatorOptions, func(ctx context.Context, client *operator.Client) (operator.ConfigView, error) {
		return client.Config(ctx)
	}, func(w io.Writer, view operator.ConfigView) {
		fmt.Fprint(w, view.Config)
		fmt.Fprintf(os.Stderr, "configuration revision %d\n", view.ConfigRevision)
	})
}

// configDiffCommand compares a file with the configuration in force.
type configDiffCommand struct {
	operatorOptions
	Args fileArgument `positional-args:"yes" required:"yes"`
}

// Difference is the JSON output of config diff.
type Difference struct {
	Equal bool   `json:"equal"`
	Diff  string `json:"diff"`
}

// Execute runs the command.
func (c *configDiffCommand) Execute([]string) error {
	data, err := os.ReadFile(c.Args.File)
	if err != nil {
		return errors.Wrap(err, "config diff")
	}
	configuration, err := parser.Parse(c.Args.File, data)
	if err != nil {
		return err
	}
	return callOperator(&c.operatorOptions, func(ctx context.Context, client *operator.Client) (Difference, error) {
		view, err := client.Config(ctx)
		if err != nil {
			return Difference{}, err
		}
		return diffConfigs(view.Config, encoder.Encode(configuration), c.Args.File)
	}, func(w io.Writer, difference Difference) { fmt.Fprint(w, difference.Diff) })
}

func diffConfigs(active, candidate, file string) (Difference, error) {
	text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A:        difflib.SplitLines(active),
		B:        difflib.SplitLines(candidate),
		FromFile: "in force",
		ToFile:   file,
		Context:  contextLines,
	})
	return Difference{Equal: active == candidate, Diff: text}, err
}
