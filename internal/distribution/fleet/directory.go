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
	// Page returns published members in the order of their names, from the first after the given
	// name, or from the first of all if it is empty. next is the name after which the following page
	// begins, empty on the last page. The result may be some seconds old.
	Page(ctx context.Context, after string) (members []Member, next string, err error)
}

// followDirectory lists a page of the members periodically, and publishes this daemon if its entry is
// needed, until ctx ends. The other members become known by introductions (exchangeMembers).
func (f *Fleet) followDirectory(ctx context.Context) {
	schedule := newListSchedule()
	search := &directorySearch{}
	listed := false
	for {
		if f.entryLost.Swap(false) {
			search.restart()
			schedule.settled = false
		}
		found, err := f.listPage(ctx, search)
		listed = listed || err == nil
		if err == nil && search.mustPublish(found, f.config.Random()) {
			err = f.config.Directory.Publish(ctx, f.config.Self)
			search.published = err == nil
		}
		var wait time.Duration
		if err != nil {
			f.config.Logger.Info("directory.failed", "published", search.published, "listed", listed, "error", err)
			if !listed {
				f.requestIntroduction()
			}
			wait = schedule.afterFailure()
		} else {
			settled := search.settled(found)
			schedule.recordList(settled)
			if settled {
				f.setFleetKnown()
			}
			search.advance(found)
			wait = schedule.afterSuccess(f.KnownMembers())
		}
		if !f.waitToList(ctx, schedule, f.jitter(wait)) {
			return
		}
	}
}

// waitToList waits for a time, and longer if so many members become known meanwhile that the next
// list is not due. It returns false if ctx ended.
func (f *Fleet) waitToList(ctx context.Context, schedule *listSchedule, wait time.Duration) bool {
	waited := time.Duration(0)
	for wait > 0 {
		if !sleep.For(ctx, wait) {
			return false
		}
		waited += wait
		wait = schedule.remaining(waited, f.KnownMembers())
	}
	return true
}

// DirectoryRestored reports that recent directory entries may be lost. At its next list, this
// daemon publishes its entry again if it is needed. Daemons thus write within directoryInterval
// plus jitter instead of all at once.
func (f *Fleet) DirectoryRestored() { f.entryLost.Store(true) }

// listPage records the members on the next page of a search and returns what it shows.
func (f *Fleet) listPage(ctx context.Context, search *directorySearch) (listing, error) {
	members, next, err := f.config.Directory.Page(ctx, search.after)
	if err != nil {
		return listing{}, err
	}
	found := listing{entries: len(members), next: next}
	for _, member := range members {
		f.recordDirectoryEntry(member)
		switch {
		case member == f.config.Self:
			found.own = ownEntryCorrect
		case member.Node == f.config.Self.Node && found.own == ownEntryMissing:
			found.own = ownEntryWrong
		}
	}
	found.linked = f.isLinkedToAny(members)
	if !search.published {
		f.config.Logger.Info("directory.read", "members", len(members), "found", found.own == ownEntryCorrect)
	}
	return found, nil
}

// isLinkedToAny reports whether a link with one of the members is open, in either direction.
func (f *Fleet) isLinkedToAny(members []Member) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	dialers := make(map[string]bool, len(f.inbound))
	for inbound := range f.inbound {
		dialers[inbound.node] = true
	}
	for _, member := range members {
		peer := f.peers[member.Node]
		if dialers[member.Node] || (peer != nil && peer.connected) {
			return true
		}
	}
	return false
}

// listSchedule decides when to list the directory again. It depends on whether the last call
// failed, whether the last list was enough, and the number of known daemons. After a failure the wait
// doubles from directoryRetryMin to directoryRetryMax, unless the list before was enough: a daemon
// that is part of the fleet then waits for directoryInterval, because each call costs a store that is
// in trouble. After a list that was not enough the wait doubles from relistMin, because lists are
// stale and lack daemons that start at the same time. Otherwise, and at most, it is
// directoryInterval, or intervalPerMember times the number of known daemons if that is longer.
type listSchedule struct {
	// retryWait is the wait after the next failure. relistWait is the wait after the next success,
	// unless the regular interval is shorter.
	retryWait, relistWait time.Duration
	// searching is true while lists have not been enough since the last that was. settled is true
	// while the last list was enough.
	searching, settled bool
}

func newListSchedule() *listSchedule {
	return &listSchedule{retryWait: directoryRetryMin, relistWait: directoryInterval}
}

// recordList records whether the last list was enough (directorySearch.settled).
func (s *listSchedule) recordList(settled bool) {
	s.settled = settled
	if settled == !s.searching {
		return
	}
	s.searching = !settled
	s.relistWait = maxListInterval
	if s.searching {
		s.relistWait = relistMin
	}
}

// afterFailure returns the wait after a failed call.
func (s *listSchedule) afterFailure() time.Duration {
	if s.settled {
		return directoryInterval
	}
	wait := s.retryWait
	s.retryWait = min(2*s.retryWait, directoryRetryMax)
	return wait
}

// afterSuccess returns the wait after a successful list. known is the number of other daemons
// known.
func (s *listSchedule) afterSuccess(known int) time.Duration {
	s.retryWait = directoryRetryMin
	wait := min(s.relistWait, regularListInterval(known))
	s.relistWait = min(2*s.relistWait, maxListInterval)
	return wait
}

// remaining returns how much longer a settled daemon that has waited for a time waits now that the
// given number of other daemons is known.
func (s *listSchedule) remaining(waited time.Duration, known int) time.Duration {
	if !s.settled {
		return 0
	}
	return regularListInterval(known) - waited
}

func regularListInterval(known int) time.Duration {
	return max(directoryInterval, time.Duration(known)*intervalPerMember)
}

// jitterDivisor is the inverse of the maximum jitter as a fraction of the wait.
const jitterDivisor = 4

// jitter extends a wait at random, so that daemons that started together do not repeat dials and
// directory calls at the same times.
func (f *Fleet) jitter(wait time.Duration) time.Duration {
	return wait + time.Duration(f.config.Random()*float64(wait)/jitterDivisor)
}
