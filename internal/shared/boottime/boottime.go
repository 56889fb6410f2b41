// Package boottime returns a time that goes on while the machine is suspended.
//
// The steady clock, by which time.Now measures and timers fire, stands while the machine is
// suspended; CLOCK_BOOTTIME does not. What a daemon knows of others (that nothing newer was
// accepted, that it holds a lease, that a member is there) grows old meanwhile, and is measured
// by this clock. What concerns its own machine only (the wait for an answer, the heartbeats of an
// instance beside the daemon) stands still as well, and is measured by the steady one.
//
// The package owns one clock for the process, and relies on CLOCK_MONOTONIC and CLOCK_BOOTTIME of
// the kernel. It has no goroutines and is safe for concurrent use.
//
// What must hold: the time never goes back; times of this package are compared with one another
// only.
package boottime

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// refreshEvery bounds how often the clocks are compared, which takes two system calls: 20 a
	// second at the most, and a time that is wrong for a tenth of a second after the machine
	// resumes.
	refreshEvery = 100 * time.Millisecond
	// noticed is the least difference that counts. The two clocks are read one after the other, and
	// the thread may be preempted in between. It is above a time slice of the scheduler, below any
	// suspension that matters.
	noticed = 50 * time.Millisecond
	// readings is how often a difference is measured before it counts; the least holds. It is above
	// 1, so that one preempted reading is no suspension.
	readings = 3
)

// Gap returns how far CLOCK_BOOTTIME is ahead of the steady clock; only its growth counts.
type Gap func() time.Duration

// clock follows the time for which the machine was suspended.
type clock struct {
	// mutex protects everything below.
	mutex sync.Mutex
	gap   Gap
	// least is the gap when the clock was made, and suspended what it has grown by.
	least, suspended time.Duration
	refreshedAt      time.Time
}

// process is the clock of this process.
var process atomic.Pointer[clock]

func init() { process.Store(newClock(kernelGap)) }

func newClock(gap Gap) *clock { return &clock{gap: gap, least: gap()} }

// kernelGap compares the kernel's clocks. Where one cannot be read the gap is 0: the time is
// then that of the steady clock, as without this package.
func kernelGap() time.Duration {
	var steady, boot unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - steady.Nano())
}

// refreshed returns the time for which the machine was suspended, as it was known at most
// refreshEvery ago.
func (c *clock) refreshed() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	if since := now.Sub(c.refreshedAt); since >= 0 && since < refreshEvery {
		return c.suspended
	}
	c.refreshedAt = now
	grown := c.gap() - c.least
	for reading := 1; reading < readings && grown >= c.suspended+noticed; reading++ {
		grown = min(grown, c.gap()-c.least)
	}
	if grown >= c.suspended+noticed {
		c.suspended = grown
	}
	return c.suspended
}

// Suspended returns the time for which the machine was suspended since the process started.
func Suspended() time.Duration { return process.Load().refreshed() }

// Now returns a time whose differences to other times of this package include the time for which
// the machine was suspended, from refreshEvery after it resumed at the latest.
func Now() time.Time { return time.Now().Add(Suspended()) }

// Since returns the time since an earlier time of this package.
func Since(earlier time.Time) time.Duration { return Now().Sub(earlier) }

// Until returns the time until a later time of this package.
func Until(later time.Time) time.Duration { return later.Sub(Now()) }

// Use replaces the comparison of the kernel's clocks, until restore is called; it is for
// tests, which suspend no machine.
func Use(gap Gap) (restore func()) {
	before := process.Swap(newClock(gap))
	return func() { process.Store(before) }
}
