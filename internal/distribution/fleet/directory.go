package fleet

import (
	"context"
	"time"

	"github.com/lapisvane/lapisvane/internal/model/locality"
	"github.com/lapisvane/lapisvane/internal/shared/sleep"
)

// Member identifies a daemon and states where it can be reached.
type Member struct {
	// Node is the daemon's name, unique in the fleet.
	Node string
	// Address is the host:port at which it accepts connections from other daemons.
	Address string
	Zone    string
	// Region is empty if it is unknown.
	Region string
	// Service is the service on the daemon's machine, empty if there is none.
	Service string
}

func (m Member) place() locality.Place { return locality.Place{Zone: m.Zone, Region: m.Region} }

// tierOf returns the distance tier of another member.
func (m Member) tierOf(other Member) locality.Tier { return m.place().TierOf(other.place()) }

// Directory is the registry in which daemons find each other. Calls are repeated after any error,
// because a failed call may have taken effect.
type Directory interface {
	// Publish adds a member. It is idempotent.
	Publish(ctx context.Context, member Member) error
	// Members returns the published members. The result may be some seconds old.
	Members(ctx context.Context) ([]Member, error)
}

// followDirectory lists the members periodically, and publishes this daemon if its entry is missing
// or wrong, until ctx ends.
func (f *Fleet) followDirectory(ctx context.Context) {
	schedule := newListSchedule()
	published := false
	listed := false
	for {
		if f.entryLost.Swap(false) {
			published = false
		}
		found, err := f.listDirectory(ctx, published)
		listed = listed || err == nil
		if err == nil && !found && !published {
			err = f.config.Directory.Publish(ctx, f.config.Self)
			schedule.recordPublication()
		}
		var wait time.Duration
		if err != nil {
			f.config.Logger.Info("directory.failed", "published", published, "listed", listed, "error", err)
			if !listed {
				f.requestIntroduction()
			}
			wait = schedule.afterFailure()
		} else {
			published = true
			wait = schedule.afterSuccess(f.KnownMembers())
		}
		if !sleep.For(ctx, f.jitter(wait)) {
			return
		}
	}
}

// DirectoryRestored reports that recent directory entries may be lost. At its next list, this
// daemon publishes its entry again if it is missing. Daemons thus write within directoryInterval
// plus jitter instead of all at once.
func (f *Fleet) DirectoryRestored() { f.entryLost.Store(true) }

// listDirectory records the listed members and reports whether this daemon's entry is correct.
func (f *Fleet) listDirectory(ctx context.Context, published bool) (found bool, err error) {
	members, err := f.config.Directory.Members(ctx)
	if err != nil {
		return false, err
	}
	for _, member := range members {
		f.recordDirectoryEntry(member)
		found = found || member == f.config.Self
	}
	if !published {
		f.config.Logger.Info("directory.read", "members", len(members), "found", found)
	}
	return found, nil
}

// listSchedule decides when to list the directory again. It depends on whether the last call
// failed, whether this daemon was just published, and the number of known daemons. After a failure
// the wait doubles from directoryRetryMin to directoryRetryMax. After a publication it doubles from
// relistMin, because lists are stale and lack daemons that start at the same time. Otherwise, and
// at most, it is directoryInterval, or intervalPerMember times the number of known daemons if that
// is longer.
type listSchedule struct {
	// retryWait is the wait after the next failure. relistWait is the wait after the next success,
	// unless the regular interval is shorter.
	retryWait, relistWait time.Duration
}

func newListSchedule() *listSchedule {
	return &listSchedule{retryWait: directoryRetryMin, relistWait: directoryInterval}
}

// recordPublication records that this daemon was written to the directory, or may have been.
func (s *listSchedule) recordPublication() { s.relistWait = relistMin }

// afterFailure returns the wait after a failed call.
func (s *listSchedule) afterFailure() time.Duration {
	wait := s.retryWait
	s.retryWait = min(2*s.retryWait, directoryRetryMax)
	return wait
}

// afterSuccess returns the wait after a successful list. known is the number of other daemons
// known.
func (s *listSchedule) afterSuccess(known int) time.Duration {
	s.retryWait = directoryRetryMin
	wait := min(s.relistWait, max(directoryInterval, time.Duration(known)*intervalPerMember))
	s.relistWait = min(2*s.relistWait, maxListInterval)
	return wait
}

// jitterDivisor is the inverse of the maximum jitter as a fraction of the wait.
const jitterDivisor = 4

// jitter extends a wait at random, so that daemons that started together do not repeat dials and
// directory calls at the same times.
func (f *Fleet) jitter(wait time.Duration) time.Duration {
	return wait + time.Duration(f.config.Random()*float64(wait)/jitterDivisor)
}
