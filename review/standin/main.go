// Command standin plays one case of the review: it starts daemons as separate processes, with stand-ins of
// the platform's store, of the instances and of the clients, and judges what these have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// limit is the time after which a case is given up.
const limit = 115 * time.Second

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE PROGRAM RECORD")
		os.Exit(exitCannotRun)
	}
	cases := map[string]func(*lab){
		"early-answer": earlyAnswer, "drain": drain, "quota": quota, "replacement": replacement, "late-heartbeat": lateHeartbeat,
	}
	play, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(exitCannotRun)
	}
	l := newLab(os.Args[2], os.Args[3])
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(limit):
			l.record("given up")
		}
		exit(exitCannotRun)
	}()
	play(l)
}
