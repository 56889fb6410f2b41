package allowance

import (
	"time"

	"github.com/go-logr/logr"
)

// Report is a daemon's state as shown in its metrics.
type Report struct {
	// Counts holds the numbers of calls of this daemon by outcome.
	Counts Counts
	// Owned holds the allowances that other daemons requested credit of here, by name.
	Owned map[string]Owned
	// Voters is the number of daemons whose votes count here.
	Voters int
}

// Owned is the state of an allowance at its owner.
type Owned struct {
	Limit Limit
	// Lent, Refused and Returned are the numbers of credits lent, refused and returned since this
	// daemon started.
	Lent, Refused, Returned uint64
	// Left is the credit that can be lent now.
	Left float64
	// Share is the fraction of the rate that this daemon may lend.
	Share float64
}

func (p *Participant) report(now time.Time) Report {
	report := Report{Counts: p.client.counts, Owned: map[string]Owned{}, Voters: len(p.owner.votes.byNode)}
	for name, b := range p.owner.buckets {
		b.refill(now, p.owner.bounds)
		report.Owned[name] = Owned{
			Limit: b.limit, Lent: b.usage.lent, Refused: b.usage.refused,
			Returned: b.usage.returned, Left: max(0, b.level()), Share: b.share,
		}
	}
	return report
}

// maxRefusalLines bounds the log lines about refusals per logInterval. The metrics count all
// refusals.
const (
	maxRefusalLines = 20
	logInterval     = time.Second
)

// changeLogger logs changes of the owners and of refusals.
type changeLogger struct {
	owners string
	// intervalStart is the start of the log interval in which written counts the lines.
	intervalStart time.Time
	written       int
}

// logChanges logs the changes since its last call.
func (l *changeLogger) logChanges(now time.Time, participant *Participant, logger logr.Logger) {
	if current := participant.ranking.view(now); current.key != l.owners {
		l.owners = current.key
		logger.Info("allowance.owners", "owners", current.owners, "voters", len(participant.owner.votes.byNode), "members", participant.owner.votes.members)
	}
	if now.Sub(l.intervalStart) >= logInterval {
		l.intervalStart, l.written = now, 0
	}
	for name, b := range participant.owner.buckets {
		if l.written >= maxRefusalLines {
			return
		}
		l.logRefusals(now, name, b, logger)
	}
}

// logRefusals logs the start or end of a series of refusals.
func (l *changeLogger) logRefusals(now time.Time, name string, b *bucket, logger logr.Logger) {
	usage := &b.usage
	switch {
	case usage.endRefusing(now):
		usage.logged = false
		logger.Info("allowance.refusing_ended", "allowance", name, "refused", usage.refused-usage.refusedAtStart,
			"lasted_ms", usage.lastRefusedAt.Sub(usage.refusingSince).Milliseconds())
	case usage.refusing && !usage.logged:
		usage.logged = true
		logger.Info("allowance.refusing_began", "allowance", name, "per_second", b.limit.Rate, "burst", b.limit.Burst,
			"share", b.share, "lent", usage.lent)
	default:
		return
	}
	l.written++
}
