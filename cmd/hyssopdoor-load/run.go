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

	"github.com/hyssopdoor/hyssopdoor/internal/decision/balancer"
	"github.com/hyssopdoor/hyssopdoor/internal/experimenter"
)

const runUsage = `Runs the workload of EXPERIMENT against a cluster with simulated engines on
loopback, in this process, once for each policy and seed, and prints the medians
over the seeds. Latencies are times to the first token, measured from the scheduled
send time of a request.

Example:
  hyssopdoor-load run docs/experiments/press.ini`

// runCommand is the command "run".
type runCommand struct {
	JSON bool `long:"json" description:"print all runs as JSON"`
	Args struct {
		File string `positional-arg-name:"EXPERIMENT" required:"yes"`
	} `positional-args:"yes" required:"yes"`
}

// Execute runs the experiment and prints its results.
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

// printTable prints a row for each policy with the median of each value over the
// seeds.
func printTable(w io.Writer, policies []balancer.Policy, results []experimenter.Result) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "policy\tanswered\trefused\twrongly\tfailed\tp50 ms\tp95 ms\tp99 ms\thit rate\twasted\tworst/best\t")
	for _, policy := range policies {
		var policyResults []experimenter.Result
		for _, result := range results {
			if result.Policy == policy {
				policyResults = append(policyResults, result)
			}
		}
		fmt.Fprintf(table, "%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.3f\t%.3f\t%.2f\t\n", policy,
			median(policyResults, func(r experimenter.Result) float64 { return float64(r.Answered) }),
			median(policyResults, func(r experimenter.Result) float64 { return float64(r.Refused) }),
			median(policyResults, func(r experimenter.Result) float64 { return float64(r.WronglyRefused) }),
			median(policyResults, func(r experimenter.Result) float64 { return float64(r.Failed) }),
			median(policyResults, func(r experimenter.Result) float64 { return r.P50Millis }),
			median(policyResults, func(r experimenter.Result) float64 { return r.P95Millis }),
			median(policyResults, func(r experimenter.Result) float64 { return r.P99Millis }),
			median(policyResults, func(r experimenter.Result) float64 { return r.HitRate }),
			median(policyResults, func(r experimenter.Result) float64 { return r.Wasted }),
			median(policyResults, func(r experimenter.Result) float64 { return r.WorstToBest }))
	}
	return table.Flush()
}

// median returns the median of a value of the results, the upper one of two, or 0
// without results.
func median(results []experimenter.Result, value func(experimenter.Result) float64) float64 {
	if len(results) == 0 {
		return 0
	}
	var values []float64
	for _, result := range results {
		values = append(values, value(result))
	}
	slices.Sort(values)
	return values[len(values)/2]
}
