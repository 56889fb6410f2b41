package gateway

import (
	"bytes"
	"io"

	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// mayReplace reports whether an answer is a failure that another instance may do
// better on: the call may be repeated, the answer is small enough to be kept
// meanwhile, and the other instances of the service do not fail as well, which
// would make a repeat mere load.
func (a *attempter) mayReplace(answer *callapi.Answer) bool {
	head := answer.Head
	small := head.GetContentLength() >= 0 && head.GetContentLength() <= wholeAnswerBytes
	return head.GetStatus() >= callapi.FirstServerError && a.open.GetRepeatable() && a.failed == nil && small &&
		a.gateway.balancer.MostlySound(a.open.GetService())
}

// setAside reads a failed answer whole and keeps it, so that its instance is free
// again. It returns the error that stands for the failed attempt.
func (a *attempter) setAside(failed outcome) error {
	defer failed.target.End()
	body, err := readWhole(failed.answer)
	_ = failed.answer.Body.Close()
	if err != nil {
		a.gateway.observe(failed.target, err)
		return err
	}
	failed.answer.Body = io.NopCloser(bytes.NewReader(body))
	a.failed = &failed
	return result.Errorf(result.CallUnknownOutcome, "the instance answered %d", failed.answer.Head.GetStatus())
}

// orFailed returns the failed answer that was set aside, which says more than
// that a later attempt got none; without one it returns err. That the last attempt
// did not run is no answer where an earlier one may have: the caller would take the
// call as one that has not run.
func (a *attempter) orFailed(err error) (outcome, error) {
	switch {
	case a.failed == nil && a.mayHaveRun != nil && callapi.OutcomeOf(err) == callapi.OutcomeNotRun:
		return outcome{}, a.mayHaveRun
	case a.failed == nil:
		return outcome{}, err
	}
	kept := *a.failed
	kept.target.Begin()
	return kept, nil
}
