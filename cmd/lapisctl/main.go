// Command lapisctl is the operators' command line.
package main

import (
	"os"

	"github.com/lapisvane/lapisvane/internal/operators/ctl"
)

func main() { os.Exit(ctl.Main(os.Args[1:])) }
