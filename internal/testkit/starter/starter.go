// Package starter starts processes for tests that end with the test process, whatever that ends
// by: a passed test, a panic, a timeout or SIGKILL.
//
// # Usage
//
//	command := exec.Command(binary, "serve")
//	err := starter.Start(command)
//
// It works on Linux only.
package starter

import (
	"os/exec"
	"runtime"
	"sync"
	"syscall"
)

// starts carries the calls to the goroutine that starts all processes.
var starts = sync.OnceValue(func() chan<- func() {
	calls := make(chan func())
	go func() {
		// The kernel signals a child when the thread that started it ends. This thread
		// lasts as long as the process.
		runtime.LockOSThread()
		for call := range calls {
			call()
		}
	}()
	return calls
})

// Start starts the command as its method does. The kernel kills the process, also if it is stopped,
// when this process ends.
func Start(command *exec.Cmd) error {
	if command.SysProcAttr == nil {
		command.SysProcAttr = &syscall.SysProcAttr{}
	}
	command.SysProcAttr.Pdeathsig = syscall.SIGKILL
	started := make(chan error)
	starts() <- func() { started <- command.Start() }
	return <-started
}
