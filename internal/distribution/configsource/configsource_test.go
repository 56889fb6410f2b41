package configsource_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/configsource"
	"github.com/lapisvane/lapisvane/internal/model/orders"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// scriptedSource answers from a log of revisions, with faults.
type scriptedSource struct {
	mutex sync.Mutex
	log   []uint64
	// silent watches hear nothing of changes until their wait is over; the
	// history before the last change is then gone.
	silent bool
	// failures is the number of questions that fail from now on.
	failures  int
	questions int
	// delay is how long an answer takes.
	delay time.Duration
	// unusable revisions are refused by the reader.
	unusable map[uint64]bool
}

func (s *scriptedSource) add(revision uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.log = append(s.log, revision)
}

func (s *scriptedSource) set(change func(*scriptedSource)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change(s)
}

func (s *scriptedSource) newest(after configsource.Position) (*lapisv1.Configuration, configsource.Position, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	at := configsource.Position(len(s.log))
	if at <= after {
		return nil, at, false
	}
	return &lapisv1.Configuration{Revision: s.log[at-1]}, at, true
}

func (s *scriptedSource) check(configuration *lapisv1.Configuration) (*lapisv1.Configuration, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.unusable[configuration.GetRevision()] {
		return nil, result.Errorf(result.ConfigUnknownPool, "no such pool")
	}
	return configuration, nil
}

func (s *scriptedSource) fail() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.questions++
	if s.failures == 0 {
		return nil
	}
	s.failures--
	return result.Errorf(result.PlatformUnavailable, "down")
}

func (s *scriptedSource) answerIn(ctx context.Context) error {
	s.mutex.Lock()
	delay := s.delay
	s.mutex.Unlock()
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return result.Wrap(result.PlatformUnavailable, ctx.Err(), "no answer in time")
	}
}

func (s *scriptedSource) Latest(ctx context.Context) (*lapisv1.Configuration, configsource.Position, error) {
	if err := s.answerIn(ctx); err != nil {
		return nil, 0, err
	}
	configuration, at, _ := s.newest(0)
	return configuration, at, s.fail()
}

func (s *scriptedSource) Next(ctx context.Context, after configsource.Position, wait time.Duration) (*lapisv1.Configuration, configsource.Position, error) {
	if err := s.answerIn(ctx); err != nil {
		return nil, after, err
	}
	if err := s.fail(); err != nil {
		return nil, after, err
	}
	end := time.Now().Add(wait)
	for time.Now().Before(end) && ctx.Err() == nil {
		s.mutex.Lock()
		silent := s.silent
		s.mutex.Unlock()
		if configuration, at, news := s.newest(after); news && !silent {
			configuration, err := s.check(configuration)
			return configuration, at, err
		}
		time.Sleep(10 * time.Millisecond)
	}
	if _, _, news := s.newest(after); news {
		return nil, after, result.Errorf(result.PlatformCompacted, "the history is gone")
	}
	return nil, after, ctx.Err()
}

// Orders implements configsource.Source; these sources keep none.
func (s *scriptedSource) Orders(context.Context) (*orders.Set, error) {
	return nil, result.Errorf(result.PlatformBadAnswer, "orders were not to be asked for")
}

// applied records what a follower brings.
type applied struct {
	mutex    sync.Mutex
	revision uint64
	at       time.Time
}

func (a *applied) apply(configuration *lapisv1.Configuration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.revision = configuration.GetRevision()
	a.at = time.Now()
}

func (a *applied) last() (uint64, time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.revision, a.at
}

const (
	contact = 3 * time.Second
	bound   = 2 * time.Second
)

// follow runs a follower of source until the returned function is called.
func follow(source configsource.Source) (record *applied, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	record = &applied{}
	follower := &configsource.Follower{
		Source: source, Apply: record.apply, Freshness: &configsource.Freshness{}, Confirmed: func() {}, Bound: bound,
		Daemons: func() int { return 1 }, Logger: logr.Discard(),
		Pace: func() time.Duration { return 10 * time.Millisecond }, Random: func() float64 { return 0.5 },
	}
	var running sync.WaitGroup
	running.Go(func() { follower.Run(ctx) })
	return record, func() {
		cancel()
		running.Wait()
	}
}

// A daemon alone asks for itself all the time.
func TestChangeIsBroughtInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &scriptedSource{log: []uint64{3}}
		record, stop := follow(source)
		defer stop()
		time.Sleep(time.Second)
		changed := time.Now()
		source.add(7)
		time.Sleep(time.Second)
		revision, at := record.last()
		assert.Equal(t, revision, uint64(7))
		assert.Assert(t, at.Sub(changed) <= bound/4, "after %s", at.Sub(changed))
	})
}

// The source hears nothing of a change and its watches are not cut: day
// "mix --seed 87251692990", where all daemons stayed with the old version for
// the ten seconds that a watch then took.
func TestSilentWatchEndsWithinTheContactTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &scriptedSource{log: []uint64{3}}
		record, stop := follow(source)
		defer stop()
		time.Sleep(time.Second)
		source.set(func(s *scriptedSource) { s.silent = true })
		changed := time.Now()
		source.add(7)
		time.Sleep(contact)
		revision, at := record.last()
		assert.Equal(t, revision, uint64(7))
		assert.Assert(t, at.Sub(changed) <= contact, "after %s", at.Sub(changed))
	})
}

// A version that cannot be used is passed over once; what was in force stays,
// and the next one is taken.
func TestUnusableVersionIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &scriptedSource{log: []uint64{3}, unusable: map[uint64]bool{5: true}}
		record, stop := follow(source)
		defer stop()
		time.Sleep(time.Second)
		source.add(5)
		time.Sleep(time.Second)
		revision, _ := record.last()
		assert.Equal(t, revision, uint64(3))
		source.mutex.Lock()
		asked := source.questions
		source.mutex.Unlock()
		assert.Assert(t, asked <= 6, "%d questions", asked)
		source.add(7)
		time.Sleep(bound / 4)
		revision, _ = record.last()
		assert.Equal(t, revision, uint64(7))
	})
}

func TestOutageIsAskedThroughWithoutHaste(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &scriptedSource{log: []uint64{3}, failures: 20}
		record, stop := follow(source)
		defer stop()
		time.Sleep(10 * time.Second)
		source.mutex.Lock()
		asked := source.questions
		source.mutex.Unlock()
		assert.Assert(t, asked >= 5 && asked <= 14, "%d questions in 10 s of outage", asked)
		source.set(func(s *scriptedSource) { s.failures = 0 })
		time.Sleep(2 * time.Second)
		revision, _ := record.last()
		assert.Equal(t, revision, uint64(3))
	})
}

// A source that takes longer for each answer than a daemon usually waits is followed
// all the same, also by one that has just started.
func TestSlowSourceIsFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &scriptedSource{log: []uint64{3}, delay: bound * 4 / 10}
		record, stop := follow(source)
		defer stop()
		time.Sleep(3 * bound)
		revision, _ := record.last()
		assert.Equal(t, revision, uint64(3))
		source.add(7)
		time.Sleep(4 * bound)
		revision, _ = record.last()
		assert.Equal(t, revision, uint64(7))
	})
}

// A daemon without a configuration asks sooner once a call waits for it, and not sooner
// otherwise: at the first start of a site the daemons leave each other time.
func TestStartIsHurriedByAWaitingCall(t *testing.T) {
	for name, test := range map[string]struct {
		awaited     bool
		first, last time.Duration
	}{
		"nobody waits": {false, bound * 10 / 100, bound * 15 / 100},
		"a call waits": {true, 0, bound * 7 / 100},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				record := &applied{}
				ctx, cancel := context.WithCancel(context.Background())
				follower := &configsource.Follower{
					Source: &scriptedSource{log: []uint64{3}}, Apply: record.apply, Freshness: &configsource.Freshness{}, Confirmed: func() {}, Bound: bound,
					Awaited: func() bool { return test.awaited }, Daemons: func() int { return 1 }, Logger: logr.Discard(),
					Pace: func() time.Duration { return 10 * time.Millisecond }, Random: func() float64 { return 0.5 },
				}
				var running sync.WaitGroup
				began := time.Now()
				running.Go(func() { follower.Run(ctx) })
				time.Sleep(bound / 2)
				cancel()
				running.Wait()
				revision, at := record.last()
				assert.Equal(t, revision, uint64(3))
				assert.Assert(t, at.Sub(began) >= test.first && at.Sub(began) <= test.last, "after %s", at.Sub(began))
			})
		})
	}
}
