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

const checkUsage = `Checks files without running anything. A file with a section [instance] is read
as settings, any other as a configuration. All findings are printed, each as
file:line: section.key: what is wrong; how to mend it.

Example:
  hyssopdoor check hyssopdoor.ini fleet.ini`

// checkCommand checks files.
type checkCommand struct {
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
}

// Execute runs the command.
func (c *checkCommand) Execute([]string) error {
	all := collector.New()
	for _, file := range c.Args.Files {
		err := checkFile(file)
		var findings *collector.Collector
		switch {
		case err == nil:
			fmt.Println(file + ": ok")
		case errors.As(err, &findings):
			for _, finding := range findings.Findings() {
				all.Add(finding.Place, finding.What, finding.Cure)
			}
		default:
			return err
		}
	}
	return all.Err()
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
