package fleet

import (
	"context"
	"time"

	"github.com/lapisvane/lapisvane/internal/model/locality"
	"github.com/lapisvane/lapisvane/internal/shared/sleep"
)

// Member is a daemon as others reach it.
type Member struct {
	// Node is the daemon's name, one in the fleet.
	Node string
	// Address is where it accepts the connections of other daemons, as host:port.
	Address string
	Zone    string
	// Region is empty where it is not known.
	Region string
	// Service is that of the machine, empty when there is none.
	Service string
}

func (m Member) place() locality.Place { return locality.Place{Zone: m.Zone, Region: m.Region} }

// tierOf returns how far another member is.
func (m Member) tierOf(other Member) locality.Tier { return m.place().TierOf(other.place()) }

// Directory is where daemons find each other. After any error the call is made again,
// because it may or may not have had an effect.
type Directory interface {
	// Publish makes a member known; doing it twice does no harm.
	Publish(ctx context.Context, member Member) error
	// Members returns the members known. The answer may be some seconds old.
	Members(ctx context.Context) ([]Member, error)
}

// followDirectory lists the other daemons, and publishes this one unless its entry is correct,
// until ctx ends.
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
			schedule.publishedNow()
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
			wait = schedule.afterSuccess(f.Known())
		}
		if !sleep.For(ctx, f.jitter(wait)) {
			return
		}
	}
}

// DirectoryReturned reports that entries written to the directory lately may be gone. This daemon
// writes its own again when it next lists the directory, unless it is there: all daemons do so
// within directoryInterval and its jitter, and not at once.
func (f *Fleet) DirectoryReturned() { f.entryLost.Store(true) }

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

// listSchedule is the rule of when the directory is listed again. Inputs: whether the last
// call failed, whether this daemon has just been published, and the number of daemons known.
// After a failure the wait doubles from directoryRetryMin to directoryRetryMax. After a
// publication it doubles from relistMin, because lists are stale and daemons that start at
// the same time are missing from them. Otherwise, and at the longest, it is directoryInterval,
// or intervalPerMember for each daemon known where that is longer.
type listSchedule struct {
	// retry is the wait after the next failure, relist the wait after the next success
	// unless it is longer than the regular one.
	retry, relist time.Duration
}

func newListSchedule() *listSchedule {
	return &listSchedule{retry: directoryRetryMin, relist: directoryInterval}
}

// publishedNow records that this daemon was written to the directory, or may have been.
func (s *listSchedule) publishedNow() { s.relist = relistMin }

func (s *listSchedule) afterFailure() time.Duration {
	wait := s.retry
	s.retry = min(2*s.retry, directoryRetryMax)
	return wait
}

// afterSuccess returns the wait after a list, with so many other daemons known.
func (s *listSchedule) afterSuccess(known int) time.Duration {
	s.retry = directoryRetryMin
	wait := min(s.relist, max(directoryInterval, time.Duration(known)*intervalPerMember))
	s.relist = min(2*s.relist, maxListInterval)
	return wait
}

// jitterParts is the inverse of the largest part that jitter adds.
const jitterParts = 4

// jitter lengthens a wait at random, so that daemons that started together get out of step.
func (f *Fleet) jitter(wait time.Duration) time.Duration {
	return wait + time.Duration(f.config.Random()*float64(wait)/jitterParts)
}
