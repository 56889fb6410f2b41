package origin

import (
	"bytes"
	"context"
	"errors"
	"hash"
	"io"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/callapi"
	"github.com/lapisvane/lapisvane/internal/fingerprint"
	"github.com/lapisvane/lapisvane/internal/quarantine"
	"github.com/lapisvane/lapisvane/internal/result"
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
	// aboardFor is how long a call that ended without an answer counts as aboard: a caller
	// may leave before the instance ends under its call.
	aboardFor = 500 * time.Millisecond
	// maxGone bounds such calls.
	maxGone = 64
)

// Endings hears of instances that ended, and answers what is held back because of them.
// Its methods are safe for concurrent use.
type Endings interface {
	// Ended takes in that an instance ended with calls aboard; it returns when all of
	// the daemon goes by it.
	Ended(instance string, id uint64, aboard []quarantine.Aboard)
	// Suspected reports whether instances ended under calls with the head.
	Suspected(head fingerprint.Head) bool
	// Answered takes in that an instance answered a call with the keys, which was under
	// suspicion.
	Answered(keys []fingerprint.Key)
	// Count returns the number of instances that ended under calls with the keys.
	Count(keys []fingerprint.Key) int
	// Judge tells whether a call of a caller is held back.
	Judge(keys []fingerprint.Key, caller string) quarantine.Verdict
}

// nothingEnds is used where nobody is told of ended instances.
type nothingEnds struct{}

func (nothingEnds) Ended(string, uint64, []quarantine.Aboard) {}

func (nothingEnds) Suspected(fingerprint.Head) bool { return false }

func (nothingEnds) Answered([]fingerprint.Key) {}

func (nothingEnds) Count([]fingerprint.Key) int { return 0 }

func (nothingEnds) Judge([]fingerprint.Key, string) quarantine.Verdict { return quarantine.Verdict{} }

// passenger is a call that an instance has, or had a moment ago.
type passenger struct {
	open *lapisv1.CallOpen
	// mutex protects the rest, which the reader of the body writes.
	mutex  sync.Mutex
	digest hash.Hash
	// read counts the body's bytes so far; whole is true once it was read to its end.
	read  int64
	whole bool
	// leftAt is when the call ended without an answer; aboard.mutex protects it.
	leftAt time.Time
}

// board has the call's body hashed on its way to the instance.
func board(call *callapi.Call) *passenger {
	boarding := &passenger{open: call.Open, digest: fingerprint.NewBody(), whole: call.Body == nil}
	if call.Body != nil {
		call.Body = &hashedBody{Reader: call.Body, passenger: boarding}
	}
	return boarding
}

// hashedBody hashes what is read.
type hashedBody struct {
	io.Reader
	passenger *passenger
}

func (h *hashedBody) Read(buffer []byte) (int, error) {
	count, err := h.Reader.Read(buffer)
	h.passenger.mutex.Lock()
	defer h.passenger.mutex.Unlock()
	_, _ = h.passenger.digest.Write(buffer[:count])
	h.passenger.read += int64(count)
	h.passenger.whole = h.passenger.whole || err == io.EOF || h.passenger.read == h.passenger.open.GetContentLength()
	return count, err
}

// keys returns the call's names, as far as its body is known.
func (p *passenger) keys() []fingerprint.Key {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	line, length := fingerprint.LineOf(p.open), p.open.GetContentLength()
	if !p.whole {
		return []fingerprint.Key{fingerprint.PartialOf(line, length)}
	}
	return fingerprint.OfDigest(line, length, p.digest).Whole()
}

// allKeys returns also the name under which the call would be known had its body not been
// read to its end.
func (p *passenger) allKeys() []fingerprint.Key {
	keys := p.keys()
	if p.open.GetContentLength() != 0 {
		keys = append(keys, fingerprint.PartialOf(fingerprint.LineOf(p.open), p.open.GetContentLength()))
	}
	return keys
}

// aboard are the calls that an instance has.
type aboard struct {
	// mutex protects everything below.
	mutex sync.Mutex
	has   map[*passenger]bool
	// gone are those that ended without an answer a moment ago.
	gone []*passenger
	// ended is true once the instance was found to have ended.
	ended bool
	// asking is held while one call finds out whether it did.
	asking sync.Mutex
}

func (a *aboard) enter(boarding *passenger) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.has == nil {
		a.has = map[*passenger]bool{}
	}
	a.has[boarding] = true
}

// leave takes a call off that was answered, or did not run.
func (a *aboard) leave(leaving *passenger) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	delete(a.has, leaving)
}

// lose takes a call off that ended without an answer.
func (a *aboard) lose(leaving *passenger, now time.Time) {
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
func (a *aboard) settles() bool {
	for range settleLooks {
		time.Sleep(settleTime)
		if a.empty() || a.sunk() {
			return true
		}
	}
	return false
}

// empty reports whether the instance has no call.
func (a *aboard) empty() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return len(a.has) == 0
}

// sink notes that the instance ended and returns the calls that it had; first is false when
// that was noted before.
func (a *aboard) sink(now time.Time) (calls []*passenger, first bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.ended {
		return nil, false
	}
	a.ended = true
	for passenger := range a.has {
		calls = append(calls, passenger)
	}
	for _, passenger := range a.gone {
		if now.Sub(passenger.leftAt) <= aboardFor {
			calls = append(calls, passenger)
		}
	}
	a.gone = nil
	return calls, true
}

// float notes that the instance accepts connections.
func (a *aboard) float() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.ended = false
}

func (a *aboard) sunk() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.ended
}

// ashore takes a call off that got no answer, and returns the error that it ends with.
func (o *Origin) ashore(ctx context.Context, instance *Instance, boarding *passenger, err error) error {
	if callapi.OutcomeOf(err) != callapi.OutcomeNotRun {
		return o.brokeOff(ctx, instance, boarding, err)
	}
	instance.aboard.leave(boarding)
	if errors.Is(err, syscall.ECONNREFUSED) {
		// It ended after the calls that it had were given up.
		o.noteEnded(instance)
	}
	return err
}

// brokeOff finds out whether a call broke off because its instance ended; the error that it
// returns then says so, and how many ended under such calls.
func (o *Origin) brokeOff(ctx context.Context, instance *Instance, lost *passenger, err error) error {
	instance.aboard.lose(lost, time.Now())
	if !isBreak(err) || !o.hasEnded(ctx, instance) {
		return err
	}
	ended := result.Errorf(result.CallInstanceEnded, "instance %s ended", instance.Name)
	ended.Cause = err
	ended.Ended = max(o.config.Endings.Count(lost.keys()), 1)
	return ended
}

// isBreak reports whether a call was handed over and its connection broke.
func isBreak(err error) bool {
	return result.Is(err, result.CallUnknownOutcome) || result.Is(err, result.CallTruncated)
}

// hasEnded finds out whether an instance of which a call broke off has ended: whether all
// its calls did, and it refuses connections.
func (o *Origin) hasEnded(ctx context.Context, instance *Instance) bool {
	if !instance.aboard.settles() {
		return false
	}
	instance.aboard.asking.Lock()
	defer instance.aboard.asking.Unlock()
	if instance.aboard.sunk() {
		return true
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), askTime)
	defer cancel()
	err := instance.backend.connect(ctx)
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return false
	}
	o.noteEnded(instance)
	instance.noteOver()
	return true
}

// noteEnded takes in that an instance ended with the calls that it had.
func (o *Origin) noteEnded(instance *Instance) {
	passengers, first := instance.aboard.sink(time.Now())
	if !first {
		return
	}
	suspects := make([]quarantine.Aboard, 0, len(passengers))
	for _, passenger := range passengers {
		suspects = append(suspects, quarantine.Aboard{
			Head: fingerprint.HeadOf(fingerprint.LineOf(passenger.open)), Keys: passenger.keys(), Caller: passenger.open.GetCallerService(),
		})
	}
	o.config.Logger.Info("instance.ended", "instance", instance.Name, "service", instance.Service, "aboard", len(suspects))
	if len(suspects) > 0 {
		o.config.Endings.Ended(instance.Name, rand.Uint64(), suspects)
	}
}

// cleared takes in that an instance answered a call: if instances ended under such calls,
// it was not because of them.
func (o *Origin) cleared(answered *passenger, status int) {
	if status >= firstServerError || !o.config.Endings.Suspected(fingerprint.HeadOf(fingerprint.LineOf(answered.open))) {
		return
	}
	o.config.Endings.Answered(answered.allKeys())
}

// firstServerError is the least status of an answer that says that the instance failed,
// which clears nothing.
const firstServerError = 500

// checkHeldBack refuses a call under which instances ended, unless it is let through to
// see. A body that is still on its way was judged by the caller's daemon, which knows it
// whole. Errors: CallNotRunHeldBack.
func (o *Origin) checkHeldBack(call *callapi.Call) error {
	head := fingerprint.HeadOf(fingerprint.LineOf(call.Open))
	if call.Open.GetTrial() || !o.config.Endings.Suspected(head) {
		return nil
	}
	if call.Body != nil && !call.Buffered {
		return nil
	}
	content, err := atHand(call)
	if err != nil {
		return result.Wrap(result.CallNotRunExpired, err, "reading the request")
	}
	verdict := o.config.Endings.Judge(fingerprint.Of(fingerprint.LineOf(call.Open), content).Whole(), call.Open.GetCallerService())
	return HeldBack(verdict)
}

// atHand returns a short body that is there already, and leaves it to be read again.
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

// HeldBack returns the error for a request that is held back, nil for any other.
func HeldBack(verdict quarantine.Verdict) error {
	if !verdict.Held {
		return nil
	}
	refusal := result.Errorf(result.CallNotRunHeldBack, "%d instances ended under what %s names", verdict.Ended, verdict.Key)
	refusal.RetryAfter = verdict.RetryAfter
	refusal.Ended = verdict.Ended
	return refusal
}
