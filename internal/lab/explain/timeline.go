package explain

import "time"

// Second counts the failed requests of one second.
type Second struct {
	// From is the start of the second, relative to the journal's first line.
	From time.Duration
	// Failed is the number of failed requests by cause.
	Failed map[Cause]int
}

// Timeline counts the failed requests by the second of their last line, from the
// first line of the journal to the last. It includes seconds without failures.
func (j *Journal) Timeline() []Second {
	if len(j.lines) == 0 {
		return nil
	}
	first, last := j.lines[0].Time, j.lines[len(j.lines)-1].Time
	seconds := make([]Second, int(last.Sub(first)/time.Second)+1)
	for index := range seconds {
		seconds[index] = Second{From: time.Duration(index) * time.Second, Failed: map[Cause]int{}}
	}
	for _, request := range j.Failed() {
		lines := j.Lines(request)
		ended := lines[len(lines)-1].Time
		seconds[int(ended.Sub(first)/time.Second)].Failed[j.Explain(request).Cause]++
	}
	return seconds
}
