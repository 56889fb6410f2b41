package fleet

import (
	"context"
	"time"

	"github.com/lapisvane/lapisvane/internal/pause"
)

// Member is a daemon as others reach it.
type Member struct {
	Node string
	// Address is where it accepts the connections of other daemons.
	Address string
	Zone    string
	// Service is that of the machine, empty when there is none.
	Service string
}

// Directory is where daemons find each other.
type Directory interface {
	// Publish makes a member known; doing it twice does no harm.
	Publish(ctx context.Context, member Member) error
	// Members returns the members known. The answer may be some seconds old
	// when fresh is false.
	Members(ctx context.Context, fresh bool) ([]Member, error)
}

// Times of the directory's use.
const (
	directoryRetryMin = 200 * time.Millisecond
	directoryRetryMax = 2 * time.Second
	// directoryInterval is the time between two looks at the directory. It is
	// long because daemons also name each other.
	directoryInterval = 15 * time.Second
	// intervalPerMember makes that time longer where lists are.
	intervalPerMember = 100 * time.Millisecond
)

// followDirectory publishes this daemon and learns of the others until ctx
// ends.
func (f *Fleet) followDirectory(ctx context.Context) {
	wait := directoryRetryMin
	published := false
	listed := false
	for {
		err := f.visitDirectory(ctx, &published, &listed)
		next := max(directoryInterval, time.Duration(f.Known())*intervalPerMember)
		if err != nil {
			f.config.Logger.Info("directory.failed", "published", published, "error", err)
			next = wait
			if !listed {
				f.askIntroduction()
			}
			wait = min(2*wait, directoryRetryMax)
		} else {
			wait = directoryRetryMin
		}
		if !pause.For(ctx, f.jitter(next)) {
			return
		}
	}
}

func (f *Fleet) visitDirectory(ctx context.Context, published, listed *bool) error {
	if !*published {
		if err := f.config.Directory.Publish(ctx, f.config.Self); err != nil {
			return err
		}
		*published = true
	}
	members, err := f.config.Directory.Members(ctx, !*listed)
	if err != nil {
		return err
	}
	*listed = true
	for _, member := range members {
		f.learn(member)
	}
	return nil
}

// jitter spreads a wait by up to a quarter.
func (f *Fleet) jitter(wait time.Duration) time.Duration {
	return wait + time.Duration(f.config.Random()*float64(wait)/4)
}
