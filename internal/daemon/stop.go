package daemon

import "time"

// stopProgress is the rule by which a planned stop ends.
//
// Inputs: whether new calls are refused already, the calls that are still served, whether answers
// are still on their way, the time. In this order: until new calls are refused the stop goes on.
// Once no call is served any more, and no connection waits to be accepted, the listeners for callers
// are closed, while refusals that are being written still reach their callers. The stop ends when nothing was on its way for answersDrain.
//
// Reason: callers that are refused come again at once. While they are accepted there may be no
// moment without a request, so that each stop would last until its limit and end amid requests.
type stopProgress struct {
	callersRefused, notAccepting bool
	// settledSince is since when nothing was on its way, zero while something is.
	settledSince time.Time
}

// stopFacts is what a stopping daemon sees of its calls.
type stopFacts struct {
	// serving counts the calls that the end of the process would cut.
	serving int64
	// waiting counts the callers' connections that are not accepted yet.
	waiting int
	// settled is true while no request is open and no answer on its way.
	settled bool
	now     time.Time
}

// stopAction is what a stopping daemon does next.
type stopAction int

const (
	stopWait stopAction = iota
	// stopAccepting closes the listeners for callers.
	stopAccepting
	// stopEnd ends the process.
	stopEnd
)

// next returns what the daemon does next.
func (p *stopProgress) next(facts stopFacts) stopAction {
	if !p.callersRefused || facts.serving > 0 {
		p.settledSince = time.Time{}
		return stopWait
	}
	if !p.notAccepting && facts.waiting > 0 {
		return stopWait
	}
	if !p.notAccepting {
		p.notAccepting = true
		return stopAccepting
	}
	switch {
	case !facts.settled:
		p.settledSince = time.Time{}
	case p.settledSince.IsZero():
		p.settledSince = facts.now
	case facts.now.Sub(p.settledSince) >= answersDrain:
		return stopEnd
	}
	return stopWait
}
