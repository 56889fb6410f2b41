package daemon

import (
	"math"
	"runtime/debug"

	"golang.org/x/sys/unix"

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

// maxSettingValue bounds the numbers of the settings that become integers. It is above any real amount of
// bytes or descriptors, and sums and multiples of it stay in range.
const maxSettingValue = 1 << 50

// wholeNumber returns a number of the settings as an integer, at most maxSettingValue. The result of a
// plain conversion of a number out of range differs between processors, and may be negative.
func wholeNumber(value float64) int64 { return int64(min(value, maxSettingValue)) }

// memoryBytes returns the machine's memory in bytes, or 0 if it is unknown.
func memoryBytes(values *settings.Daemon) int64 {
	return wholeNumber(values.MemoryMegabytes * bytesPerMegabyte)
}

// Limits of the number of callers' connections.
const (
	// memoryPerConnection is the machine's memory in bytes for each connection. One with an open request
	// needs about 20 KB besides its input; the rest is for garbage and everything else.
	memoryPerConnection = 64 << 10
	// otherDescriptorsPart is the part of the descriptors, as a divisor, that is left to connections to
	// other daemons, to instances and to the platform, and to the other listeners.
	otherDescriptorsPart = 4
)

// maxCallerConnections returns the maximum number of callers' connections. descriptors is the limit of the
// operating system, or 0 if it is unknown. The result is 0 if nothing limits them.
func maxCallerConnections(values *settings.Daemon, descriptors int64) int {
	if values.MaxDescriptors > 0 {
		descriptors = wholeNumber(values.MaxDescriptors)
	}
	limit := descriptors - descriptors/otherDescriptorsPart
	if byMemory := memoryBytes(values) / memoryPerConnection; byMemory > 0 && (limit == 0 || byMemory < limit) {
		limit = byMemory
	}
	return int(limit)
}

// descriptorLimit returns the number of file descriptors that the operating system lets the process open,
// or 0 if that is unknown.
func descriptorLimit() int64 {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int64(limit.Cur)
}

// inputBytes returns the size in bytes of the budget for input that callers have not completed.
func inputBytes(values *settings.Daemon) int64 {
	if memory := memoryBytes(values); memory > 0 {
		return memory / inputMemoryPart
	}
	return gateway.DefaultInputBytes
}

// limitRuntimeMemory makes the Go runtime collect garbage more often when the process comes near the
// machine's memory. Without it, garbage may take as much again as what is in use.
func limitRuntimeMemory(values *settings.Daemon) {
	if memory := memoryBytes(values); memory > 0 {
		debug.SetMemoryLimit(memory - memory/nonRuntimeMemoryPart)
	}
}
