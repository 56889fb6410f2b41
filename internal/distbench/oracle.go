package distbench

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/callload"
	"github.com/lapisvane/lapisvane/internal/digest"
	"github.com/lapisvane/lapisvane/internal/holdings"
	"github.com/lapisvane/lapisvane/internal/meshconfig"
	"github.com/lapisvane/lapisvane/internal/tree"
)

// oracle knows every accepted state and when it was accepted, and judges every
// version that a proxy puts in force. It is safe for concurrent use.
type oracle struct {
	mutex      sync.Mutex
	states     map[uint64]*meshconfig.State
	acceptedAt map[uint64]time.Time
	newest     uint64
	violations []string
	// last gives the newest revision that each proxy put in force.
	last map[string]uint64
	// convergence holds the time from acceptance to force, in microseconds,
	// over all proxies and changes; recording can be switched off.
	convergence *hdrhistogram.Histogram
	recording   bool
	// firstRecorded excludes revisions accepted before recording began.
	firstRecorded uint64
}

// MaxViolations bounds what is kept of violations.
const MaxViolations = 20

func newOracle() *oracle {
	return &oracle{
		states: map[uint64]*meshconfig.State{0: meshconfig.NewState()}, acceptedAt: map[uint64]time.Time{},
		last: map[string]uint64{}, convergence: hdrhistogram.New(1, callload.MaxLatencyMicros, 3),
	}
}

// accepting notes a revision whose accepting write is about to be sent. Only
// one acceptor may run, so that the write is sure to win.
func (o *oracle) accepting(revision *lapisv1.Revision, at time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	state, err := o.states[revision.GetNumber()-1].Advance(revision)
	if err != nil {
		o.note(fmt.Sprintf("revision %d does not follow: %v", revision.GetNumber(), err))
		return
	}
	o.states[state.Revision] = state
	o.acceptedAt[state.Revision] = at
	o.newest = max(o.newest, state.Revision)
}

// record starts or stops the recording of convergence.
func (o *oracle) record(on bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.recording = on
	if on {
		o.firstRecorded = o.newest + 1
	}
}

// violated notes a broken invariant.
func (o *oracle) violated(format string, args ...any) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.note(fmt.Sprintf(format, args...))
}

func (o *oracle) note(text string) {
	if len(o.violations) < MaxViolations {
		o.violations = append(o.violations, text)
	}
}

// Judge checks a version put in force on node for its interest, after previous,
// and records the convergence of all revisions that it brings. A version may
// be put in force before the acceptor has heard that it was accepted; its
// content is then checked against the state it becomes.
func (o *oracle) Judge(node string, interest holdings.Interest, previous uint64, applied tree.Applied) {
	now := time.Now()
	if applied.Revision <= previous {
		o.violated("%s put %d in force after %d", node, applied.Revision, previous)
	}
	if !interest.All {
		o.checkBundles(node, applied)
	}
	held := meshconfig.DigestOf(applied.Bundles)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.last[node] = applied.Revision
	if state, known := o.states[applied.Revision]; known {
		if expected := subsetDigest(state, interest); expected != held {
			o.note(fmt.Sprintf("%s has revision %d in part", node, applied.Revision))
		}
	}
	if !o.recording {
		return
	}
	for revision := max(previous+1, o.firstRecorded); revision <= applied.Revision; revision++ {
		if at, known := o.acceptedAt[revision]; known {
			_ = o.convergence.RecordValue(max(now.Sub(at).Microseconds(), 1))
		}
	}
}

// checkBundles checks every bundle's digest and closure on its own. It is left
// out for proxies that hold everything, whose many checks would slow down the
// run that is being measured; their holdings are checked against the state.
func (o *oracle) checkBundles(node string, applied tree.Applied) {
	for service, encoded := range applied.Bundles {
		if _, err := meshconfig.DecodeBundle(encoded); err != nil {
			o.violated("%s: bundle %s of revision %d: %v", node, service, applied.Revision, err)
		}
	}
}

func subsetDigest(state *meshconfig.State, interest holdings.Interest) digest.Set {
	if interest.All {
		return state.Digest
	}
	var set digest.Set
	for service := range interest.Services {
		if encoded, ok := state.Bundles[service]; ok {
			set.Add(digest.MemberOf(service, encoded.GetDigest()))
		}
	}
	return set
}

// report returns the violations found so far.
func (o *oracle) report() []string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return append([]string(nil), o.violations...)
}

// lastOf returns the newest revision that a proxy put in force.
func (o *oracle) lastOf(node string) uint64 {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.last[node]
}
