package fleet

import (
	"context"
	"time"

	"github.com/lapisvane/lapisvane/internal/shared/boottime"
)

// maintainLinks keeps links to the chosen daemons until ctx ends.
func (f *Fleet) maintainLinks(ctx context.Context) {
	ticker := time.NewTicker(reviewInterval)
	defer ticker.Stop()
	for {
		f.reconcileLinks(ctx)
		select {
		case <-ctx.Done():
			return
		case <-f.review:
		case <-ticker.C:
		}
	}
}

// reconcileLinks starts a goroutine for each chosen daemon that has none, and ends that of
// a daemon that is not chosen any more once no call uses its link.
func (f *Fleet) reconcileLinks(ctx context.Context) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	chosen := chooseLinks(f.config.Self, f.candidates(boottime.Now()))
	for node, member := range f.members {
		// Whether calls use a link matters, and is asked, only where it is not chosen.
		idle := !chosen[node] && (!member.connected || member.link.Active() == 0)
		switch linkActionFor(chosen[node], member.stopMaintaining != nil, idle) {
		case startLink:
			linkCtx, stop := context.WithCancel(ctx)
			member.stopMaintaining = stop
			member.maintainedSince = boottime.Now()
			f.running.Go(func() { f.maintain(linkCtx, member) })
		case endLink:
			member.stopMaintaining()
			member.stopMaintaining = nil
		case leaveLink:
		}
	}
}

// candidates returns the daemons that may be linked to: all that are known but those at
// whose address another one was found lately; the caller holds mutex.
func (f *Fleet) candidates(now time.Time) []candidate {
	candidates := make([]candidate, 0, len(f.members))
	for _, member := range f.members {
		if !member.displaced(now) {
			candidates = append(candidates, candidate{
				Member: member.Member, unreachable: member.unreachable(now), evacuated: f.evacuated(member.Zone),
			})
		}
	}
	return candidates
}
