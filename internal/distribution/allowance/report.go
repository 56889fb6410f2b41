package allowance

import (
	"time"

	"github.com/go-logr/logr"
)

// Report is what operators see of a daemon's part.
type Report struct {
	// Counts are those of the calls of this daemon.
	Counts Counts
	// Owned are the allowances that were asked of this daemon, by name.
	Owned map[string]Owned
	// Voters is the number of daemons that stated their views to this one.
	Voters int
}

// Owned is an allowance at its owner.
type Owned struct {
	Limit Limit
	// Lent, Refused and Returned count credits since this daemon started.
	Lent, Refused, Returned uint64
	// Left is the credit that may be lent now.
	Left float64
	// Share is the part of the rate that this daemon may lend.
	Share float64
}

func (p *Part) report(now time.Time) Report {
	report := Report{Counts: p.asker.counts, Owned: map[string]Owned{}, Voters: len(p.owner.votes.byNode)}
	for name, known := range p.owner.buckets {
		known.settle(now, p.owner.bounds)
		report.Owned[name] = Owned{
			Limit: known.limit, Lent: known.record.lent, Refused: known.record.refused,
			Returned: known.record.returned, Left: max(0, known.level()), Share: known.share,
		}
	}
	return report
}

// maxRefusalLines bounds the lines about refusals in a lineInterval; the metrics count all.
const (
	maxRefusalLines = 20
	lineInterval    = time.Second
)

// lines tells operators of changes.
type lines struct {
	owners string
	// began is when the interval of written began.
	began   time.Time
	written int
}

// write writes a line for each change since it was last called.
func (l *lines) write(now time.Time, part *Part, logger logr.Logger) {
	if current := part.ranking.view(now); current.key != l.owners {
		l.owners = current.key
		logger.Info("allowance.owners", "owners", current.owners, "voters", len(part.owner.votes.byNode), "members", part.owner.votes.members)
	}
	if now.Sub(l.began) >= lineInterval {
		l.began, l.written = now, 0
	}
	for name, known := range part.owner.buckets {
		if l.written >= maxRefusalLines {
			return
		}
		l.writeRefusal(now, name, known, logger)
	}
}

// writeRefusal writes a line where refusals of an allowance began or ended.
func (l *lines) writeRefusal(now time.Time, name string, known *bucket, logger logr.Logger) {
	refused := &known.record
	switch {
	case refused.calm(now):
		refused.told = false
		logger.Info("allowance.refusing_ended", "allowance", name, "refused", refused.refused-refused.refusedBefore,
			"lasted_ms", refused.last.Sub(refused.since).Milliseconds())
	case refused.refusing && !refused.told:
		refused.told = true
		logger.Info("allowance.refusing_began", "allowance", name, "per_second", known.limit.Rate, "burst", known.limit.Burst,
			"share", known.share, "lent", refused.lent)
	default:
		return
	}
	l.written++
}
