// Command lapislab runs stand-ins for the platform, back ends and callers, an emulated platform,
// and tools that analyse logs.
package main

import (
	"os"

	"github.com/lapisvane/lapisvane/internal/lab"
)

func main() { os.Exit(lab.Main(os.Args[1:])) }
