// Command standins2 runs the cases of the second review against processes of the system, with
// stand-ins for the store, the engines and the clients.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(f *fleet, trouble bool) int{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: review-two CASE FOLDER")
		os.Exit(2)
	}
	f, err := newFleet(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	code := cases[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
	f.note("exit %d", code)
	f.close()
	os.Exit(code)
}
