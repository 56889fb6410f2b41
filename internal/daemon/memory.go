package daemon

import (
	"runtime/debug"

	"github.com/lapisvane/lapisvane/internal/daemon/settings"
	"github.com/lapisvane/lapisvane/internal/requestpath/gateway"
)

// Parts of the machine's memory, as divisors.
const (
	// inputMemoryPart is the part for input that callers have not completed. Besides its input, a
	// connection with an open request needs about 20 KB for buffers, stacks and the call, which no budget
	// counts: most of the memory is left for that and for the garbage of both.
	inputMemoryPart = 8
	// nonRuntimeMemoryPart is the part that the Go runtime leaves to the kernel's buffers of the daemon's
	// sockets and to the program itself.
	nonRuntimeMemoryPart = 4
)

const bytesPerMegabyte = 1 << 20

// inputBytes returns the size in bytes of the budget for input that callers have not completed.
func inputBytes(values *settings.Daemon) int64 {
	if values.MemoryMegabytes == 0 {
		return gateway.DefaultInputBytes
	}
	return values.MemoryMegabytes * bytesPerMegabyte / inputMemoryPart
}

// limitRuntimeMemory makes the Go runtime collect garbage more often when the process comes near the
// machine's memory. Without it, garbage may take as much again as what is in use.
func limitRuntimeMemory(values *settings.Daemon) {
	if memory := values.MemoryMegabytes * bytesPerMegabyte; memory > 0 {
		debug.SetMemoryLimit(memory - memory/nonRuntimeMemoryPart)
	}
}
