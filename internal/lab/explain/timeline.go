package explain

import "time"

// Second is the failed requests of one second.
type Second struct {
	// From is the time since the journal's first line.
	From time.Duration
	// Failed counts requests by the cause that their lines prove.
	Failed map[Cause]int
}

// Timeline counts the failed requests by the second of their last line, from the
// first line of the journal to the last. Seconds without a failure are there too.
func (j *Journal) Timeline() []Second {
	if len(j.lines) == 0 {
		return nil
	}
	first, last := j.lines[0].At, j.lines[len(j.lines)-1].At
	seconds := make([]Second, int(last.Sub(first)/time.Second)+1)
	for index := range seconds {
		seconds[index] = Second{From: time.Duration(index) * time.Second, Failed: map[Cause]int{}}
	}
	for _, request := range j.Failed() {
		story := j.Story(request)
		ended := story[len(story)-1].At
		seconds[int(ended.Sub(first)/time.Second)].Failed[j.Explain(request).Cause]++
	}
	return seconds
}
