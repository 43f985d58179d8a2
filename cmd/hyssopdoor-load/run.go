package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"text/tabwriter"

	"github.com/go-faster/errors"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/chooser"
	"github.com/hyssopdoor/hyssopdoor/internal/experimenter"
)

const runUsage = `Runs the workload of EXPERIMENT against a fleet with stand-in engines on
loopback, in this process, once for each policy and seed, and prints the medians
over the seeds. Times are to the first token, from the instant at which a request
was due.

Example:
  hyssopdoor-load run docs/experiments/press.ini`

// runCommand runs an experiment.
type runCommand struct {
	JSON bool `long:"json" description:"print all runs as JSON"`
	Args struct {
		File string `positional-arg-name:"EXPERIMENT" required:"yes"`
	} `positional-args:"yes" required:"yes"`
}

// Execute runs the command.
func (r *runCommand) Execute([]string) error {
	data, err := os.ReadFile(r.Args.File)
	if err != nil {
		return errors.Wrap(err, "run")
	}
	options, err := experimenter.Parse(r.Args.File, data)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	results, err := experimenter.Run(ctx, options, func(result experimenter.Result) {
		fmt.Fprintf(os.Stderr, "%s, seed %d: %d of %d answered, p99 %.0f ms\n", result.Policy, result.Seed, result.Answered, result.Requests, result.P99Millis)
	})
	if err != nil {
		return err
	}
	if r.JSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(results)
	}
	return printTable(os.Stdout, options.Policies, results)
}

// printTable prints the median of each figure over the seeds.
func printTable(w io.Writer, policies []chooser.Policy, results []experimenter.Result) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "policy\tanswered\trefused\twrongly\tfailed\tp50 ms\tp95 ms\tp99 ms\thit rate\twasted\tworst/best\t")
	for _, policy := range policies {
		var own []experimenter.Result
		for _, result := range results {
			if result.Policy == policy {
				own = append(own, result)
			}
		}
		fmt.Fprintf(table, "%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.3f\t%.3f\t%.2f\t\n", policy,
			median(own, func(r experimenter.Result) float64 { return float64(r.Answered) }),
			median(own, func(r experimenter.Result) float64 { return float64(r.Refused) }),
			median(own, func(r experimenter.Result) float64 { return float64(r.WronglyRefused) }),
			median(own, func(r experimenter.Result) float64 { return float64(r.Failed) }),
			median(own, func(r experimenter.Result) float64 { return r.P50Millis }),
			median(own, func(r experimenter.Result) float64 { return r.P95Millis }),
			median(own, func(r experimenter.Result) float64 { return r.P99Millis }),
			median(own, func(r experimenter.Result) float64 { return r.HitRate }),
			median(own, func(r experimenter.Result) float64 { return r.Wasted }),
			median(own, func(r experimenter.Result) float64 { return r.WorstToBest }))
	}
	return table.Flush()
}

func median(results []experimenter.Result, figure func(experimenter.Result) float64) float64 {
	if len(results) == 0 {
		return 0
	}
	var figures []float64
	for _, result := range results {
		figures = append(figures, figure(result))
	}
	slices.Sort(figures)
	return figures[len(figures)/2]
}
