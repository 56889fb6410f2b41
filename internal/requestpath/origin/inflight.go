package origin

import (
	"bytes"
	"context"
	"hash"
	"io"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/model/fingerprint"
	"github.com/lapisvane/lapisvane/internal/model/quarantine"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Times of the finding that an instance ended.
const (
	// settleTime is how long after a call broke off the others of its instance are looked
	// at, and settleLooks how often at the most. One that breaks alone is no end. When a
	// process ended, all its calls were noticed to break within 0.1 ms seven times, and
	// within 1.6 and 5.3 ms, of nine (lines of daemons with a third of a core).
	settleTime  = 2 * time.Millisecond
	settleLooks = 4
	// askTime bounds the question whether an instance accepts a connection. It is on the
	// same machine: one that ended refuses within a millisecond.
	askTime = 100 * time.Millisecond
	// recentFor is how long a call that ended without an answer counts as in flight: a caller
	// may leave before the instance ends under its call.
	recentFor = 500 * time.Millisecond
	// maxGone bounds such calls.
	maxGone = 64
)

// Crashes hears of instances that ended, and answers what is held back because of them.
// Its methods are safe for concurrent use.
type Crashes interface {
	// Crashed takes in that an instance ended with calls in flight; it returns when all of
	// the daemon goes by it.
	Crashed(instance string, id uint64, had []quarantine.InFlight)
	// Suspected reports whether instances ended under calls with the head of the line.
	Suspected(line fingerprint.Line) bool
	// Answered takes in that an instance answered a call with the keys, which was under
	// suspicion.
	Answered(keys []fingerprint.Key)
	// Count returns the number of instances that ended under calls with the keys.
	Count(keys []fingerprint.Key) int
	// Judge tells whether a call of a caller is held back.
	Judge(keys []fingerprint.Key, caller string) quarantine.Verdict
}

// noCrashes is used where nobody is told of ended instances.
type noCrashes struct{}

func (noCrashes) Crashed(string, uint64, []quarantine.InFlight) {}

func (noCrashes) Suspected(fingerprint.Line) bool { return false }

func (noCrashes) Answered([]fingerprint.Key) {}

func (noCrashes) Count([]fingerprint.Key) int { return 0 }

func (noCrashes) Judge([]fingerprint.Key, string) quarantine.Verdict { return quarantine.Verdict{} }

// flight is a call that an instance has, or had a moment ago.
type flight struct {
	open *lapisv1.CallOpen
	// mutex protects the rest, which the reader of the body writes.
	mutex sync.Mutex
	// digest is nil for a call without a body.
	digest hash.Hash
	// read counts the body's bytes so far; whole is true once it was read to its end.
	read  int64
	whole bool
	// leftAt is when the call ended without an answer; inFlight.mutex protects it.
	leftAt time.Time
}

// track has the call's body hashed on its way to the instance.
func track(call *callapi.Call) *flight {
	sent := &flight{open: call.Open, whole: call.Body == nil}
	if call.Body != nil {
		sent.digest = fingerprint.NewBody()
		call.Body = &hashedBody{Reader: call.Body, flight: sent}
	}
	return sent
}

// hashedBody hashes what is read.
type hashedBody struct {
	io.Reader
	flight *flight
}

func (h *hashedBody) Read(buffer []byte) (int, error) {
	count, err := h.Reader.Read(buffer)
	h.flight.mutex.Lock()
	defer h.flight.mutex.Unlock()
	_, _ = h.flight.digest.Write(buffer[:count])
	h.flight.read += int64(count)
	h.flight.whole = h.flight.whole || err == io.EOF || h.flight.read == h.flight.open.GetContentLength()
	return count, err
}

// isWhole reports whether the instance was sent the whole body.
func (f *flight) isWhole() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.whole
}

// keys returns the call's names, as far as its body is known.
func (f *flight) keys() []fingerprint.Key {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	line, length := fingerprint.LineOf(f.open), f.open.GetContentLength()
	if !f.whole {
		return []fingerprint.Key{fingerprint.PartialOf(line, length)}
	}
	if f.digest == nil {
		return fingerprint.Of(line, nil).Whole()
	}
	return fingerprint.OfDigest(line, length, f.digest).Whole()
}

// allKeys returns also the name under which the call would be known had its body not been
// read to its end.
func (f *flight) allKeys() []fingerprint.Key {
	keys := f.keys()
	if f.open.GetContentLength() != 0 {
		keys = append(keys, fingerprint.PartialOf(fingerprint.LineOf(f.open), f.open.GetContentLength()))
	}
	return keys
}

// inFlight are the calls that an instance has.
type inFlight struct {
	// mutex protects everything below.
	mutex sync.Mutex
	has   map[*flight]bool
	// gone are those that ended without an answer a moment ago.
	gone []*flight
	// ended is true once the instance was found to have ended.
	ended bool
	// asking is held while one call finds out whether it did.
	asking sync.Mutex
}

func (a *inFlight) add(sent *flight) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.has == nil {
		a.has = map[*flight]bool{}
	}
	a.has[sent] = true
}

// remove takes a call off that was answered, or did not run.
func (a *inFlight) remove(leaving *flight) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	delete(a.has, leaving)
}

// removeUnanswered takes a call off that ended without an answer.
func (a *inFlight) removeUnanswered(leaving *flight, now time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	delete(a.has, leaving)
	leaving.leftAt = now
	a.gone = append(a.gone, leaving)
	if len(a.gone) > maxGone {
		a.gone = a.gone[1:]
	}
}

// settles waits until the instance has no call any more; it reports false when it still has
// some after settleLooks looks, as one that did not end.
func (a *inFlight) settles() bool {
	for range settleLooks {
		time.Sleep(settleTime)
		if a.empty() || a.crashed() {
			return true
		}
	}
	return false
}

// empty reports whether the instance has no call.
func (a *inFlight) empty() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return len(a.has) == 0
}

// markCrashed notes that the instance ended and returns the calls that it had; first is false when
// that was noted before.
func (a *inFlight) markCrashed(now time.Time) (calls []*flight, first bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.ended {
		return nil, false
	}
	a.ended = true
	for flight := range a.has {
		calls = append(calls, flight)
	}
	for _, flight := range a.gone {
		if now.Sub(flight.leftAt) <= recentFor {
			calls = append(calls, flight)
		}
	}
	a.gone = nil
	return calls, true
}

// markUp notes that the instance accepts connections.
func (a *inFlight) markUp() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.ended = false
}

func (a *inFlight) crashed() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.ended
}

// noteUnanswered takes a call off that got no answer, and returns the error that it ends with.
func (o *Origin) noteUnanswered(ctx context.Context, instance *Instance, sent *flight, err error) error {
	if callapi.OutcomeOf(err) != callapi.OutcomeNotRun {
		return o.brokeOff(ctx, instance, sent, err)
	}
	instance.inFlight.remove(sent)
	if errors.Is(err, syscall.ECONNREFUSED) {
		// It ended after the calls that it had were given up.
		o.noteCrashed(instance)
	}
	return err
}

// brokeOff finds out whether a call broke off because its instance ended; the error that it
// returns then says so, and how many ended under such calls.
func (o *Origin) brokeOff(ctx context.Context, instance *Instance, lost *flight, err error) error {
	instance.inFlight.removeUnanswered(lost, time.Now())
	if !isBreak(err) || !o.hasCrashed(ctx, instance) {
		return err
	}
	crashed := result.Errorf(result.CallInstanceCrashed, "instance %s ended", instance.Name)
	crashed.Cause = err
	crashed.Crashes = max(o.config.Crashes.Count(lost.keys()), 1)
	return crashed
}

// isBreak reports whether a call was handed over and its connection broke.
func isBreak(err error) bool {
	return result.Is(err, result.CallUnknownOutcome) || result.Is(err, result.CallTruncated)
}

// hasCrashed finds out whether an instance of which a call broke off has ended: whether all
// its calls did, and it refuses connections.
func (o *Origin) hasCrashed(ctx context.Context, instance *Instance) bool {
	if !instance.inFlight.settles() {
		return false
	}
	instance.inFlight.asking.Lock()
	defer instance.inFlight.asking.Unlock()
	if instance.inFlight.crashed() {
		return true
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), askTime)
	defer cancel()
	err := instance.backend.connect(ctx)
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return false
	}
	o.noteCrashed(instance)
	instance.noteOver()
	return true
}

// noteCrashed takes in that an instance ended with the calls that it had.
func (o *Origin) noteCrashed(instance *Instance) {
	calls, first := instance.inFlight.markCrashed(time.Now())
	if !first {
		return
	}
	suspects := make([]quarantine.InFlight, 0, len(calls))
	for _, flight := range calls {
		suspects = append(suspects, quarantine.InFlight{
			Head: fingerprint.HeadOf(fingerprint.LineOf(flight.open)), Keys: flight.keys(), Caller: flight.open.GetCallerService(),
		})
	}
	o.config.Logger.Info("instance.crashed", "instance", instance.Name, "service", instance.Service, "in_flight", len(suspects))
	if len(suspects) > 0 {
		o.config.Crashes.Crashed(instance.Name, rand.Uint64(), suspects)
	}
}

// cleared takes in that an instance answered a call: if instances ended under such calls,
// it was not because of them. An answer that came before the whole body went there says
// nothing: the call may not have run.
func (o *Origin) cleared(answered *flight, status int) {
	if status >= callapi.FirstServerError || !answered.isWhole() || !o.config.Crashes.Suspected(fingerprint.LineOf(answered.open)) {
		return
	}
	o.config.Crashes.Answered(answered.allKeys())
}

// maxJudgedBody is the longest body that is read whole here before it is judged. Longer ones
// come in pieces; the caller's daemon reads them whole.
const maxJudgedBody = 64 << 10

// checkQuarantine refuses a call under which instances ended, unless it is let through to
// see. The caller's daemon does so too; this one may know more. Errors: CallNotRunQuarantined.
func (o *Origin) checkQuarantine(call *callapi.Call) error {
	line := fingerprint.LineOf(call.Open)
	if call.Open.GetTrial() || !o.config.Crashes.Suspected(line) {
		return nil
	}
	if length := call.Open.GetContentLength(); call.Body != nil && (length < 0 || length > maxJudgedBody) {
		return nil
	}
	content, err := atHand(call)
	if err != nil {
		return result.Wrap(result.CallNotRunExpired, err, "reading the request")
	}
	verdict := o.config.Crashes.Judge(fingerprint.Of(line, content).Whole(), call.Open.GetCallerService())
	return Quarantined(verdict)
}

// atHand returns a short body and leaves it to be read again.
func atHand(call *callapi.Call) ([]byte, error) {
	if call.Body == nil {
		return nil, nil
	}
	content, err := io.ReadAll(call.Body)
	if err != nil {
		return nil, err
	}
	call.Body = bytes.NewReader(content)
	return content, nil
}

// Quarantined returns the error for a request that is held back, nil for any other.
func Quarantined(verdict quarantine.Verdict) error {
	if !verdict.Quarantined {
		return nil
	}
	refusal := result.Errorf(result.CallNotRunQuarantined, "%d instances ended under what %s names", verdict.Crashes, verdict.Key)
	refusal.RetryAfter = verdict.RetryAfter
	refusal.Crashes = verdict.Crashes
	return refusal
}
