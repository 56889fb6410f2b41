package configsource_test

import (
	"context"
	"sync"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/configsource"
	"github.com/lapisvane/lapisvane/internal/model/orders"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// scriptedSource answers from a log of revisions and injects faults.
type scriptedSource struct {
	mutex sync.Mutex
	log   []uint64
	// watchesSilent hides changes from watches until their wait ends; the history before the last
	// change is then deleted.
	watchesSilent bool
	// failures is the number of requests that will fail next.
	failures int
	requests int
	// delay is how long an answer takes.
	delay time.Duration
	// perVersion is how much longer it takes for each version that it contains.
	perVersion time.Duration
	// unusable holds the revisions that are reported as invalid.
	unusable map[uint64]bool
	// unreadable makes all answers such that no position can be read from them.
	unreadable bool
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

// versionsAfter returns the number of versions after a position. An answer about the history contains all of them.
func (s *scriptedSource) versionsAfter(after configsource.Position) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.log) - int(after)
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
	s.requests++
	if s.unreadable {
		return result.Errorf(result.PlatformBadAnswer, "the answer has no revision")
	}
	if s.failures == 0 {
		return nil
	}
	s.failures--
	return result.Errorf(result.PlatformUnavailable, "down")
}

// answerIn waits until an answer with the given number of versions has arrived.
func (s *scriptedSource) answerIn(ctx context.Context, versions int) error {
	s.mutex.Lock()
	delay := s.delay + time.Duration(versions)*s.perVersion
	s.mutex.Unlock()
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return result.Wrap(result.PlatformUnavailable, ctx.Err(), "no answer in time")
	}
}

func (s *scriptedSource) Latest(ctx context.Context) (*lapisv1.Configuration, configsource.Position, error) {
	if err := s.answerIn(ctx, 1); err != nil {
		return nil, 0, err
	}
	if err := s.fail(); err != nil {
		return nil, 0, err
	}
	configuration, at, _ := s.newest(0)
	configuration, err := s.check(configuration)
	return configuration, at, err
}

func (s *scriptedSource) Next(ctx context.Context, after configsource.Position, wait time.Duration) (*lapisv1.Configuration, configsource.Position, error) {
	if err := s.answerIn(ctx, s.versionsAfter(after)); err != nil {
		return nil, after, err
	}
	if err := s.fail(); err != nil {
		return nil, after, err
	}
	end := time.Now().Add(wait)
	for time.Now().Before(end) && ctx.Err() == nil {
		s.mutex.Lock()
		watchesSilent := s.watchesSilent
		s.mutex.Unlock()
		if configuration, at, newer := s.newest(after); newer && !watchesSilent {
			configuration, err := s.check(configuration)
			return configuration, at, err
		}
		time.Sleep(10 * time.Millisecond)
	}
	if _, _, newer := s.newest(after); newer {
		return nil, after, result.Errorf(result.PlatformCompacted, "the history is deleted")
	}
	return nil, after, ctx.Err()
}

// Orders implements configsource.Source; these sources have no orders.
func (s *scriptedSource) Orders(context.Context, orders.Kinds) (*orders.Set, error) {
	return nil, result.Errorf(result.PlatformBadAnswer, "this source has no orders")
}
