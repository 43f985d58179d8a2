// Package exitcode prints the error of a command and determines the exit code, in the same way
// for all programs.
//
// # Usage
//
//	os.Exit(exitcode.Report("hyssopdoor", err))
package exitcode

import (
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"

	"github.com/hyssopdoor/hyssopdoor/pkg/collector"
)

// Exit codes of the programs.
const (
	Success = 0
	Failure = 1
	// Usage is returned for wrong usage and for findings in a file.
	Usage = 2
)

// UsageError is an error in the command line that the parser does not detect.
type UsageError struct{ Message string }

// Error returns the message.
func (u UsageError) Error() string { return u.Message }

// Report prints the error and returns the exit code. A request for help is not an error:
// its text is printed to the standard output.
func Report(program string, err error) int {
	if err == nil {
		return Success
	}
	var flagError *flags.Error
	var findings *collector.Collector
	var usage UsageError
	switch {
	case errors.As(err, &flagError) && flagError.Type == flags.ErrHelp:
		fmt.Println(flagError.Message)
		return Success
	case errors.As(err, &flagError), errors.As(err, &findings), errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, err)
		return Usage
	default:
		fmt.Fprintln(os.Stderr, program+":", err)
		return Failure
	}
}
