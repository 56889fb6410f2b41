package configsource

import "time"

const (
	// plannedReadsPart is the part of the source's read limit that all daemons together plan
	// to use while it fails. Chosen, not measured: the other half is for daemons that start.
	plannedReadsPart = 0.5
	// intervalsPerBound is how many times the least interval fits into the bound for a
	// configuration. Chosen, not measured: a daemon whose polls fail must get several of them
	// into the bound.
	intervalsPerBound = 5
)

// MinInterval returns the least time between a failed poll of one of so many daemons and its
// next one, for a source that allows readsPerSecond (0: no limit) from all of them, where a
// configuration must be in force within bound.
func MinInterval(daemons int, readsPerSecond float64, bound time.Duration) time.Duration {
	interval := bound / intervalsPerBound
	if readsPerSecond > 0 {
		interval = max(interval, time.Duration(float64(daemons)/(readsPerSecond*plannedReadsPart)*float64(time.Second)))
	}
	return interval
}
