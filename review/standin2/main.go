// Command review2 plays the scripted cases of the second review. Each case starts the daemons of a small
// deployment as separate processes, and a store, instances and clients as stand-ins on loopback addresses.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// playLimit is the longest time that a case may take.
const playLimit = 110 * time.Second

// cases are the scripted cases by name. Each gets the root of the repository and the path of record.txt.
var cases = map[string]func(root, recordPath string){}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE ROOT RECORD")
		os.Exit(2)
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case <-ended:
		case <-time.After(playLimit):
		}
		check(fmt.Errorf("the case was ended before its verdict"))
	}()
	cases[os.Args[1]](os.Args[2], os.Args[3])
}
