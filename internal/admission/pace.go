package admission

import "time"

// Pace bounds how many calls a queue admits in a time, beside how many run at once:
// a back end that has just started breaks down under more.
type Pace struct {
	// PerSecond is the mean number of calls admitted in a second; 0 sets no bound.
	PerSecond float64
	// Burst is the number of calls that may be admitted at once after a pause.
	Burst float64
	// Until is when the pace ends; zero for a pace without an end.
	Until time.Time
}
