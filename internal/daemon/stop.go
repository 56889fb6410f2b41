package daemon

import "time"

// stopProgress decides on the end of a planned stop. It goes through three phases. New calls are still
// accepted until refusingCalls is set. Then, once no call is being served and no connection waits to be
// accepted, the listeners for callers are closed; refusals that are being written still reach their
// callers. The stop ends when the daemon has been drained for answerDrainTime.
//
// The listeners are closed before the end because refused callers retry immediately. If they were
// still accepted, there might never be a moment without a request, and each stop would last until its
// limit and end in the middle of requests.
type stopProgress struct {
	refusingCalls, listenersClosed bool
	// drainedSince is the time since which the daemon is drained, or zero if it is not.
	drainedSince time.Time
}

// stopState is the state of a stopping daemon's calls at one poll.
type stopState struct {
	// serving is the number of calls that the end of the process would cut.
	serving int64
	// waiting is the number of callers' connections that are not accepted yet.
	waiting int
	// drained is requestPath.drained: no unfinished request and no undelivered answer.
	drained bool
	now     time.Time
}

// stopAction is the next action of a stopping daemon.
type stopAction int

const (
	stopWait stopAction = iota
	// stopAccepting closes the listeners for callers.
	stopAccepting
	// stopEnd ends the stop, and with it the process.
	stopEnd
)

// next returns the next action for the given state.
func (p *stopProgress) next(state stopState) stopAction {
	if !p.refusingCalls || state.serving > 0 {
		p.drainedSince = time.Time{}
		return stopWait
	}
	if !p.listenersClosed && state.waiting > 0 {
		return stopWait
	}
	if !p.listenersClosed {
		p.listenersClosed = true
		return stopAccepting
	}
	switch {
	case !state.drained:
		p.drainedSince = time.Time{}
	case p.drainedSince.IsZero():
		p.drainedSince = state.now
	case state.now.Sub(p.drainedSince) >= answerDrainTime:
		return stopEnd
	}
	return stopWait
}
