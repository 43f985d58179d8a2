// Command standin runs one case of the review: it starts instances of the project as processes of their
// own, plays the platform, the servers and the clients around them on loopback, writes what was sent,
// answered and run to record.txt, and exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run.
//
// # Usage
//
//	standin CASE FOLDER
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const loopback = "127.0.0.1"

// Names of the platform's protocol.
const (
	headerPrefix = "X-Hyssopdoor-"
	apiRoot      = "/hyssopdoor"
	settingsName = "HYSSOPDOOR" + "_NODE_FILE"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

var cases = map[string]func() int{
	"isolation": runIsolation,
	"memory":    runMemory,
	"moved":     runMoved,
	"polls":     runPolls,
	"publickey": runPublicKey,
	"restart":   runRestart,
	"split":     runSplit,
}

// record is the file with what was sent, answered and run.
var record struct {
	sync.Mutex
	file  *os.File
	start time.Time
}

// note writes a line to the record.
func note(format string, values ...any) {
	record.Lock()
	defer record.Unlock()
	fmt.Fprintf(record.file, "%8.3f s  %s\n", time.Since(record.start).Seconds(), fmt.Sprintf(format, values...))
}

// trouble reports whether the case is run with its disruption.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// unable ends the case because it can't run.
func unable(format string, values ...any) {
	note("can't run: "+format, values...)
	fmt.Fprintf(os.Stderr, "can't run: "+format+"\n", values...)
	stopAll()
	os.Exit(failed)
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(failed)
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	record.file, record.start = file, time.Now()
	time.AfterFunc(110*time.Second, func() { unable("the case takes too long") })
	note("case %s, trouble %t", os.Args[1], trouble())
	code := cases[os.Args[1]]()
	stopAll()
	verdict := map[int]string{held: "the rule held", broken: "THE RULE WAS BROKEN", failed: "the case could not run"}[code]
	note("%s", verdict)
	fmt.Println(verdict)
	os.Exit(code)
}
