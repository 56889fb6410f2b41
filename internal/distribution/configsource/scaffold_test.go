package configsource_test

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/configsource"
)

// applied records the last configuration that a follower applied.
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
	contactBound = 3 * time.Second
	bound        = 2 * time.Second
)

// newFollower returns a follower of source for a single daemon, after the changes of adjust.
func newFollower(source configsource.Source, apply func(*lapisv1.Configuration), adjust ...func(*configsource.Follower)) *configsource.Follower {
	follower := &configsource.Follower{
		Source: source, Apply: apply, Freshness: &configsource.Freshness{}, Confirmed: func() {}, Bound: bound,
		Daemons: func() int { return 1 }, Logger: logr.Discard(),
		MinInterval: func() time.Duration { return 10 * time.Millisecond }, Random: func() float64 { return 0.5 },
	}
	for _, change := range adjust {
		change(follower)
	}
	put := follower.Apply
	follower.Apply = func(configuration *lapisv1.Configuration) {
		put(configuration)
		follower.Freshness.Advance(configuration.GetRevision())
	}
	return follower
}

// run runs a follower until the returned function is called, which waits until Run has returned.
func run(follower *configsource.Follower) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { follower.Run(ctx) })
	return func() {
		cancel()
		running.Wait()
	}
}

// follow runs a follower of source until the returned function is called.
func follow(source configsource.Source) (record *applied, stop func()) {
	record = &applied{}
	return record, run(newFollower(source, record.apply))
}
