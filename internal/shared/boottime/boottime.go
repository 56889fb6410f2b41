// Package boottime provides a clock that includes the time for which the machine is suspended.
//
// The monotonic clock, which time.Now and timers use, stops while the machine is suspended;
// CLOCK_BOOTTIME does not. State received from other daemons (confirmed revisions, leases, members)
// ages during a suspension, so its age is measured by this clock. Processes on the same machine (the
// wait for an answer, the heartbeats of a local instance) are suspended as well, so their timeouts are
// measured by the monotonic clock.
//
// The package owns one clock per process and relies on CLOCK_MONOTONIC and CLOCK_BOOTTIME of the
// kernel. It starts no goroutines and is safe for concurrent use.
//
// Invariants: the time never goes back; times of this package are compared only with one another.
package boottime

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// refreshInterval is the minimum interval between comparisons of the clocks, which take two system
	// calls each. It allows at most 20 system calls per second, and the time is wrong for at most
	// 100 ms after the machine resumes.
	refreshInterval = 100 * time.Millisecond
	// minSuspension is the minimum growth of the gap that counts as a suspension. The two clocks are
	// read one after the other, and the thread may be preempted in between. It is above a scheduler time
	// slice and below any suspension that matters.
	minSuspension = 50 * time.Millisecond
	// gapReadings is the number of readings that confirm a suspension; the smallest one is used. It is
	// above 1, so that a single preempted reading does not count as a suspension.
	gapReadings = 3
)

// Gap returns the difference between CLOCK_BOOTTIME and the monotonic clock. Only its growth is used.
type Gap func() time.Duration

// clock tracks the total time for which the machine was suspended.
type clock struct {
	// mutex protects the fields below.
	mutex sync.Mutex
	gap   Gap
	// initialGap is the gap at the creation of the clock, and suspended its growth since then.
	initialGap, suspended time.Duration
	refreshedAt           time.Time
}

// process is the clock used by the functions of this package.
var process atomic.Pointer[clock]

func init() { process.Store(newClock(kernelGap)) }

func newClock(gap Gap) *clock { return &clock{gap: gap, initialGap: gap()} }

// kernelGap returns the gap between the kernel's clocks. If a clock cannot be read the gap is 0, so that
// the time is that of the monotonic clock.
func kernelGap() time.Duration {
	var monotonic, boot unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}

// refreshed returns the total time for which the machine was suspended. The value may be up to
// refreshInterval old.
func (c *clock) refreshed() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	if since := now.Sub(c.refreshedAt); since >= 0 && since < refreshInterval {
		return c.suspended
	}
	return c.compare(now)
}

// compared returns the total time for which the machine was suspended, after a comparison of the clocks.
func (c *clock) compared() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.compare(time.Now())
}

// compare compares the kernel's clocks and returns the total time for which the machine was suspended. The caller
// holds mutex.
func (c *clock) compare(now time.Time) time.Duration {
	c.refreshedAt = now
	grown := c.gap() - c.initialGap
	for reading := 1; reading < gapReadings && grown >= c.suspended+minSuspension; reading++ {
		grown = min(grown, c.gap()-c.initialGap)
	}
	if grown >= c.suspended+minSuspension {
		c.suspended = grown
	}
	return c.suspended
}

// Suspended returns the total time for which the machine was suspended since the process started.
func Suspended() time.Duration { return process.Load().refreshed() }

// Now returns the current time of this package's clock. Differences between its times include
// suspensions, which are detected at most refreshInterval after the machine resumes.
func Now() time.Time { return time.Now().Add(Suspended()) }

// Exact returns the current time like Now, and includes a suspension that has just ended. It compares the
// kernel's clocks, which takes two system calls, and is for times that other daemons rely on.
func Exact() time.Time { return time.Now().Add(process.Load().compared()) }

// Since returns the time elapsed since an earlier result of Now.
func Since(earlier time.Time) time.Duration { return Now().Sub(earlier) }

// Until returns the time until a later time of this package's clock.
func Until(later time.Time) time.Duration { return later.Sub(Now()) }

// Use replaces the comparison of the kernel's clocks by gap until restore is called. It lets tests
// simulate a suspension of the machine.
func Use(gap Gap) (restore func()) {
	before := process.Swap(newClock(gap))
	return func() { process.Store(before) }
}
