package main

import (
	"bytes"
	"fmt"
	"os"

	"github.com/go-faster/errors"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/parser"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/settings"
	"github.com/hyssopdoor/hyssopdoor/pkg/collector"
)

const checkUsage = `Checks files without starting an instance. A file with a section [instance] is
read as settings, any other as a configuration. All findings are printed, each as
file:line: section.key: problem; fix.

Example:
  hyssopdoor check hyssopdoor.ini fleet.ini`

// checkCommand checks settings and configuration files.
type checkCommand struct {
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
}

// Execute runs the command.
func (c *checkCommand) Execute([]string) error {
	findings := collector.New()
	for _, file := range c.Args.Files {
		err := checkFile(file)
		var fileFindings *collector.Collector
		switch {
		case err == nil:
			fmt.Println(file + ": ok")
		case errors.As(err, &fileFindings):
			for _, finding := range fileFindings.Findings() {
				findings.Add(finding.Position, finding.Problem, finding.Fix)
			}
		default:
			return err
		}
	}
	return findings.Err()
}

func checkFile(file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "check")
	}
	if bytes.Contains(data, []byte("[instance]")) {
		_, err = settings.Parse(file, data)
		return err
	}
	_, err = parser.Parse(file, data)
	return err
}
