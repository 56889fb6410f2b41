// Command lapisvaned is the daemon that runs on every machine beside back ends
// and callers.
package main

import (
	"os"

	"github.com/lapisvane/lapisvane/internal/daemon"
)

func main() { os.Exit(daemon.Main(os.Args[1:])) }
