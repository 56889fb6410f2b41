// Command lapisvaned is the daemon that runs on every machine with back ends
// or callers.
package main

import (
	"os"

	"github.com/lapisvane/lapisvane/internal/daemon"
	"github.com/lapisvane/lapisvane/platform"
)

func main() {
	adapters := map[string]daemon.Adapter{platform.Form: platform.New}
	os.Exit(daemon.Main(os.Args[1:], adapters))
}
