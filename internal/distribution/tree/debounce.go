package tree

import "time"

// debounce merges changes that follow each other quickly: it is due a quiet
// time after the last change, but no later than a maximum after the first.
type debounce struct {
	quiet, max time.Duration
	first      time.Time
	timer      *time.Timer
}

func newDebounce(quiet, max time.Duration) *debounce {
	return &debounce{quiet: quiet, max: max}
}

// changed notes a change at now.
func (d *debounce) changed(now time.Time) {
	if d.first.IsZero() {
		d.first = now
	}
	wait := min(d.quiet, d.first.Add(d.max).Sub(now))
	if d.timer != nil {
		d.timer.Stop()
	}
	d.timer = time.NewTimer(max(wait, 0))
}

// due returns a channel that delivers when the changes should be handled; it
// is nil when there are none.
func (d *debounce) due() <-chan time.Time {
	if d.timer == nil {
		return nil
	}
	return d.timer.C
}

// reset forgets the changes handled.
func (d *debounce) reset() {
	d.first = time.Time{}
	d.timer = nil
}
