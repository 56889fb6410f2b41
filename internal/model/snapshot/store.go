package snapshot

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/account"
	"github.com/lapisvane/lapisvane/internal/shared/containment"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Store holds the snapshot in force. It is safe for concurrent use, except that only one goroutine
// at a time may replace the snapshot. Reading the snapshot takes no lock.
type Store struct {
	current atomic.Pointer[Snapshot]

	// waitingCalls is the number of calls that wait for the first snapshot.
	waitingCalls atomic.Int64

	// mutex protects replaced, which is closed when the next snapshot is in force; nil if no
	// goroutine waits for it.
	mutex    sync.Mutex
	replaced chan struct{}
}

// Current returns the snapshot in force, nil before the first.
func (s *Store) Current() *Snapshot { return s.current.Load() }

// WaitForFirst returns the snapshot in force. If there is none yet, it waits for the first one until
// timeout passes or ctx ends, and then returns nil.
func (s *Store) WaitForFirst(ctx context.Context, timeout time.Duration) *Snapshot {
	if current := s.current.Load(); current != nil {
		return current
	}
	s.waitingCalls.Add(1)
	defer s.waitingCalls.Add(-1)
	return s.WaitForNewer(ctx, nil, timeout)
}

// WaitForNewer returns the snapshot in force once it differs from seen. If timeout passes or ctx ends
// first, it returns the snapshot in force at that time.
func (s *Store) WaitForNewer(ctx context.Context, seen *Snapshot, timeout time.Duration) *Snapshot {
	// Get the channel before comparing, so that no replacement in between is missed.
	replaced := s.nextReplacement()
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

// HasWaitingCalls reports whether any call waits for the first snapshot.
func (s *Store) HasWaitingCalls() bool { return s.waitingCalls.Load() > 0 }

// nextReplacement returns a channel that is closed when the next snapshot is in force.
func (s *Store) nextReplacement() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.replaced == nil {
		s.replaced = make(chan struct{})
	}
	return s.replaced
}

// notifyReplaced wakes all goroutines that wait for the next snapshot.
func (s *Store) notifyReplaced() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.replaced != nil {
		close(s.replaced)
		s.replaced = nil
	}
}

// ReplaceConfiguration puts a whole configuration in force, with its limits and accounts.
// Errors: those of Replace.
func (s *Store) ReplaceConfiguration(configuration *lapisv1.Configuration) error {
	bundles := make(map[string]*lapisv1.EncodedBundle, len(configuration.GetBundles()))
	for _, bundle := range configuration.GetBundles() {
		bundles[bundle.GetService()] = bundle
	}
	return s.replace(configuration.GetRevision(), 0, bundles, configurationExtras{limits: configuration.GetLimits(), accounts: configuration.GetAccounts()})
}

// Replace puts a revision in force. acceptedUnixMillis is its acceptance time in milliseconds since
// 1970. On an error the snapshot in force stays unchanged. Errors: DistributionBelowFloor for a
// revision not above the one in force, and those of Build.
func (s *Store) Replace(revision uint64, acceptedUnixMillis int64, bundles map[string]*lapisv1.EncodedBundle) error {
	return s.replace(revision, acceptedUnixMillis, bundles, configurationExtras{})
}

// configurationExtras holds the parts of a Configuration that are not in bundles.
type configurationExtras struct {
	limits   *lapisv1.Limits
	accounts *lapisv1.Accounts
}

// contained calls build, whose panic refuses the bundles: it changes nothing but its result.
func contained(build func() (*Snapshot, error)) (next *Snapshot, err error) {
	defer containment.Recover("building a snapshot", func(cause error) {
		next, err = nil, result.Wrap(result.DistributionBadBundle, cause, "building the snapshot")
	})
	return build()
}

func (s *Store) replace(revision uint64, acceptedUnixMillis int64, bundles map[string]*lapisv1.EncodedBundle, parts configurationExtras) error {
	previous := s.current.Load()
	if previous != nil && revision <= previous.Revision {
		return result.Errorf(result.DistributionBelowFloor, "revision %d after %d", revision, previous.Revision)
	}
	next, err := contained(func() (*Snapshot, error) { return Build(revision, acceptedUnixMillis, bundles, previous) })
	if err != nil {
		return err
	}
	next.Limits = parts.limits
	if parts.accounts != nil {
		next.Accounts = account.NewDirectory(parts.accounts)
	}
	s.current.Store(next)
	s.notifyReplaced()
	return nil
}
