package fleet

import (
	"context"
	"time"

	"github.com/lapisvane/lapisvane/internal/model/locality"
	"github.com/lapisvane/lapisvane/internal/shared/sleep"
)

// Member is a daemon as others reach it.
type Member struct {
	Node string
	// Address is where it accepts the connections of other daemons.
	Address string
	Zone    string
	// Region is empty where it is not known.
	Region string
	// Service is that of the machine, empty when there is none.
	Service string
}

func (m Member) place() locality.Place { return locality.Place{Zone: m.Zone, Region: m.Region} }

// tierOf tells how far another member is.
func (m Member) tierOf(other Member) locality.Tier { return m.place().TierOf(other.place()) }

// Directory is where daemons find each other.
type Directory interface {
	// Publish makes a member known; doing it twice does no harm.
	Publish(ctx context.Context, member Member) error
	// Members returns the members known. The answer may be some seconds old.
	Members(ctx context.Context) ([]Member, error)
}

// Times of the directory's use.
const (
	directoryRetryMin = 200 * time.Millisecond
	directoryRetryMax = 2 * time.Second
	// settleMin is the time until the second look at the directory after this
	// daemon was published; it doubles with each further one. Daemons that start
	// at the same time may miss each other at first, because answers are old.
	settleMin = 250 * time.Millisecond
	// directoryInterval is the time between two looks at the directory. It is
	// long because daemons also name each other.
	directoryInterval = 15 * time.Second
	// intervalPerMember makes that time longer where lists are.
	intervalPerMember = 100 * time.Millisecond
)

// followDirectory learns of the other daemons, and publishes this one unless it is
// known as it should be, until ctx ends.
func (f *Fleet) followDirectory(ctx context.Context) {
	retry := directoryRetryMin
	settle := directoryInterval
	published := false
	listed := false
	for {
		found, err := f.visitDirectory(ctx, published)
		listed = listed || err == nil
		if err == nil && !found && !published {
			err = f.config.Directory.Publish(ctx, f.config.Self)
			settle = settleMin
		}
		var next time.Duration
		if err != nil {
			f.config.Logger.Info("directory.failed", "published", published, "listed", listed, "error", err)
			if !listed {
				f.askIntroduction()
			}
			next = retry
			retry = min(2*retry, directoryRetryMax)
		} else {
			published = true
			retry = directoryRetryMin
			next = min(settle, max(directoryInterval, time.Duration(f.Known())*intervalPerMember))
			settle *= 2
		}
		if !sleep.For(ctx, f.jitter(next)) {
			return
		}
	}
}

// visitDirectory learns of the members and reports whether this daemon is among
// them as it should be.
func (f *Fleet) visitDirectory(ctx context.Context, published bool) (found bool, err error) {
	members, err := f.config.Directory.Members(ctx)
	if err != nil {
		return false, err
	}
	for _, member := range members {
		f.learnListed(member)
		found = found || member == f.config.Self
	}
	if !published {
		f.config.Logger.Info("directory.read", "members", len(members), "found", found)
	}
	return found, nil
}

// jitter spreads a wait by up to a quarter.
func (f *Fleet) jitter(wait time.Duration) time.Duration {
	return wait + time.Duration(f.config.Random()*float64(wait)/4)
}
