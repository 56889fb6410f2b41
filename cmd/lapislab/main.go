// Command lapislab is the emulator of the platform, back ends and callers, and
// the tool for load and experiments.
package main

import (
	"os"

	"github.com/lapisvane/lapisvane/internal/lab"
)

func main() { os.Exit(lab.Main(os.Args[1:])) }
