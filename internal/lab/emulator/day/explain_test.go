package day_test

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/lab/emulator/day"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/instance"
	"github.com/lapisvane/lapisvane/internal/lab/explain"
	"github.com/lapisvane/lapisvane/internal/shared/logging"
)

// allLines exceeds the number of lines that a daemon writes, so that every request is logged.
const allLines = 1_000_000

// lockedBuffer collects the log lines of all daemons. It is safe for concurrent use, since some lines
// are written after the site was closed.
type lockedBuffer struct {
	// mutex protects written.
	mutex   sync.Mutex
	written bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(line []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.written.Write(line)
}

// lines returns the lines written so far.
func (b *lockedBuffer) lines(t *testing.T) []explain.Line {
	t.Helper()
	b.mutex.Lock()
	text := b.written.String()
	b.mutex.Unlock()
	lines, _, err := explain.Read(strings.NewReader(text))
	assert.NilError(t, err)
	return lines
}

// With any of the faults, the daemons' log lines prove the cause of each request that failed or was
// refused.
func TestLinesProveWhyRequestsFail(t *testing.T) {
	for name, row := range map[string]struct {
		behaviour instance.Behaviour
		kill      bool
		cause     explain.Cause
	}{
		"answers lost":    {behaviour: instance.Behaviour{LostAnswerShare: 0.5}, cause: explain.CauseInstanceBroke},
		"failures":        {behaviour: instance.Behaviour{FailureShare: 0.5}, cause: explain.CauseInstanceFailed},
		"too slow":        {behaviour: instance.Behaviour{Slowdown: 60}, cause: explain.CauseOverload},
		"daemons killed":  {kill: true},
		"answers spoiled": {behaviour: instance.Behaviour{GarbageShare: 0.3, TruncatedShare: 0.3}, cause: explain.CauseInstanceBroke},
	} {
		t.Run(name, func(t *testing.T) {
			output := &lockedBuffer{}
			options := day.DefaultOptions()
			options.Logger = logging.New(output, 0)
			options.DecisionLines = allLines
			site, tally, stop := startOptions(t, options, routes, day.StandardClasses(1))
			for _, machine := range site.Machines {
				machine.Instance().Set(row.behaviour)
			}
			if row.kill {
				for _, machine := range site.Machines[:3] {
					assert.NilError(t, machine.Kill(0))
				}
			}
			awaitEnded(t, tally, 300)
			stop()
			site.Close()
			journal := explain.NewJournal(output.lines(t))
			causes := map[explain.Cause]int{}
			for _, request := range journal.Failed() {
				verdict := journal.Explain(request)
				causes[verdict.Cause]++
				assert.Check(t, verdict.Cause != explain.CauseUnexplained, "%s: %s", request, verdict.Proof)
			}
			if row.cause != "" {
				assert.Assert(t, causes[row.cause] > 0, "%v", causes)
			}
		})
	}
}

// The log lines of a site with a planned stop contain the lifecycle events of daemons and instances.
func TestLinesProveThatADaemonWasStopping(t *testing.T) {
	output := &lockedBuffer{}
	options := day.DefaultOptions()
	options.Logger = logging.New(output, 0)
	site, tally, stop := startOptions(t, options, routes, day.StandardClasses(1))
	awaitServed(t, tally, 50)
	_, err := site.Machines[0].RestartDaemon(0)
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	assert.NilError(t, site.AwaitReady(ctx))
	stop()
	site.Close()
	events := map[string]int{}
	for _, line := range output.lines(t) {
		events[line.Event]++
	}
	for _, event := range []string{"daemon.started", "daemon.stopping", "daemon.stopped", "instance.registered", "configuration.in_force"} {
		assert.Check(t, events[event] > 0, "no line with event %s", event)
	}
}

// A daemon recognizes the calls of its machine's instance by their source address, and charges the
// calls of repeated runs to the retry budget of the called service.
func TestCallsOfRepeatedRunsAreKnown(t *testing.T) {
	output := &lockedBuffer{}
	options := day.DefaultOptions()
	options.Logger = logging.New(output, 0)
	options.DecisionLines = allLines
	site, tally, stop := startOptions(t, options, routes, day.StandardClasses(1))
	for _, machine := range site.Machines {
		machine.Instance().Set(instance.Behaviour{LostAnswerShare: 0.4, FailureShare: 0.2})
	}
	awaitEnded(t, tally, 400)
	stop()
	site.Close()
	inherited := map[string]int{}
	for _, line := range output.lines(t) {
		if line.Event == "call.answered" && line.Get("inherited") == "true" {
			inherited[line.Get("route")]++
		}
	}
	assert.Assert(t, inherited["stock"] > 0, "%v", inherited)
	assert.Equal(t, len(inherited), 1, "calls of clients were attributed to instances: %v", inherited)
}
