package snapshot

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/account"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Store holds the snapshot in force. It is safe for concurrent use, except that only one goroutine
// at a time may replace the snapshot. Reading it takes no lock.
type Store struct {
	current atomic.Pointer[Snapshot]

	// waiting are the calls that wait for the first snapshot.
	waiting atomic.Int64

	// mutex protects replaced, which is closed with the next snapshot.
	mutex    sync.Mutex
	replaced chan struct{}
}

// Current returns the snapshot in force, nil before the first.
func (s *Store) Current() *Snapshot { return s.current.Load() }

// Await returns the snapshot in force. Before the first one it waits, at most for timeout and
// until ctx ends, and returns nil when none came.
func (s *Store) Await(ctx context.Context, timeout time.Duration) *Snapshot {
	if current := s.current.Load(); current != nil {
		return current
	}
	s.waiting.Add(1)
	defer s.waiting.Add(-1)
	return s.AwaitAfter(ctx, nil, timeout)
}

// AwaitAfter returns the snapshot in force. While that is the given one it waits, at most for
// timeout and until ctx ends.
func (s *Store) AwaitAfter(ctx context.Context, seen *Snapshot, timeout time.Duration) *Snapshot {
	// Taken first, so that no snapshot is missed in between.
	replaced := s.next()
	if current := s.current.Load(); current != seen {
		return current
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-replaced:
	case <-timer.C:
	case <-ctx.Done():
	}
	return s.current.Load()
}

// Awaited reports whether a call waits for the first snapshot.
func (s *Store) Awaited() bool { return s.waiting.Load() > 0 }

// next returns the channel that is closed with the next snapshot.
func (s *Store) next() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.replaced == nil {
		s.replaced = make(chan struct{})
	}
	return s.replaced
}

// wake has all that wait for the next snapshot look at it.
func (s *Store) wake() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.replaced != nil {
		close(s.replaced)
		s.replaced = nil
	}
}

// ReplaceConfiguration puts a whole configuration in force, or nothing of it.
// Errors: those of Replace.
func (s *Store) ReplaceConfiguration(configuration *lapisv1.Configuration) error {
	bundles := make(map[string]*lapisv1.EncodedBundle, len(configuration.GetBundles()))
	for _, bundle := range configuration.GetBundles() {
		bundles[bundle.GetService()] = bundle
	}
	return s.replace(configuration.GetRevision(), 0, bundles, wholeParts{limits: configuration.GetLimits(), accounts: configuration.GetAccounts()})
}

// Replace puts a version in force, whole or not at all. Errors:
// DistributionBelowFloor for a revision not above the one in force, and those
// of Build; the snapshot in force stays then. acceptedUnixMillis is in milliseconds since 1970.
func (s *Store) Replace(revision uint64, acceptedUnixMillis int64, bundles map[string]*lapisv1.EncodedBundle) error {
	return s.replace(revision, acceptedUnixMillis, bundles, wholeParts{})
}

// wholeParts are what a configuration holds beside its bundles.
type wholeParts struct {
	limits   *lapisv1.Limits
	accounts *lapisv1.Accounts
}

func (s *Store) replace(revision uint64, acceptedUnixMillis int64, bundles map[string]*lapisv1.EncodedBundle, parts wholeParts) error {
	previous := s.current.Load()
	if previous != nil && revision <= previous.Revision {
		return result.Errorf(result.DistributionBelowFloor, "revision %d after %d", revision, previous.Revision)
	}
	next, err := Build(revision, acceptedUnixMillis, bundles, previous)
	if err != nil {
		return err
	}
	next.Limits = parts.limits
	if parts.accounts != nil {
		next.Accounts = account.NewDirectory(parts.accounts)
	}
	s.current.Store(next)
	s.wake()
	return nil
}
