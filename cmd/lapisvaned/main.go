// Command lapisvaned is the daemon that runs on every machine with back ends
// or callers.
package main

import (
	"os"

	"github.com/lapisvane/lapisvane/internal/daemon"
	_ "github.com/lapisvane/lapisvane/internal/daemon/ignorehangup"
	"github.com/lapisvane/lapisvane/platform"
)

func main() {
	adapters := map[string]daemon.Adapter{platform.Form: platform.New}
	os.Exit(daemon.Main(os.Args[1:], adapters))
}
