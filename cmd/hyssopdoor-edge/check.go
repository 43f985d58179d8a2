package main

import (
	"fmt"

	"github.com/hyssopdoor/hyssopdoor/platform"
)

const checkUsage = `Validates a settings file as serve does, and prints all findings with their positions.

Example:
  hyssopdoor-edge check /etc/hyssopdoor/node.conf`

// checkCommand validates a settings file.
type checkCommand struct {
	Args struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

// Execute runs the command.
func (c *checkCommand) Execute([]string) error {
	settings, err := platform.ReadSettings(c.Args.File)
	if err != nil {
		return err
	}
	fmt.Printf("%s: instance %s in %s, callers at %s\n", c.Args.File, settings.Name, settings.Domain, settings.CallerAddress)
	return nil
}
