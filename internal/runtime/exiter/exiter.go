// Package exiter turns the error of a command into what is printed and the exit
// code, alike for all programs.
//
// # Usage
//
//	os.Exit(exiter.Report("hyssopdoor", err))
package exiter

import (
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"

	"github.com/hyssopdoor/hyssopdoor/pkg/collector"
)

// Exit codes.
const (
	Done   = 0
	Failed = 1
	// Usage stands for wrong usage, and for findings in a file.
	Usage = 2
)

// UsageError is a mistake on the command line that the parser does not find.
type UsageError struct{ Message string }

// Error returns the message.
func (u UsageError) Error() string { return u.Message }

// Report prints the program's error and returns the exit code that stands for it.
// A wish for help is no error.
func Report(program string, err error) int {
	if err == nil {
		return Done
	}
	var flagError *flags.Error
	var findings *collector.Collector
	var usage UsageError
	switch {
	case errors.As(err, &flagError) && flagError.Type == flags.ErrHelp:
		fmt.Println(flagError.Message)
		return Done
	case errors.As(err, &flagError), errors.As(err, &findings), errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, err)
		return Usage
	default:
		fmt.Fprintln(os.Stderr, program+":", err)
		return Failed
	}
}
