package operator

import (
	"context"
	"strconv"
	"time"

	"github.com/lapisvane/lapisvane/internal/operators/opapi"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// waitInterval is the time between two reads of the status. The status itself is a status interval
// old for each level of the tree.
const waitInterval = 100 * time.Millisecond

// wait returns when a revision is in force on every proxy that reports. A status that
// cannot be read is read again until limit. Errors: OperatorUnknownRevision,
// OperatorWaitExpired with the last failure to read the status, platform codes.
func (s *Server) wait(ctx context.Context, revision uint64, limit time.Duration) (*opapi.Table, error) {
	state, err := s.log.Refresh(ctx)
	if err != nil {
		return nil, err
	}
	if revision > state.Revision {
		return nil, result.Errorf(result.OperatorUnknownRevision, "revision %d is not accepted yet", revision)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	started := time.Now()
	var unread error
	for {
		fleet, err := s.readFleet(ctx)
		if err == nil && fleet.allAtLeast(revision) {
			return waitedTable(revision, fleet, time.Since(started)), nil
		}
		if ctx.Err() == nil {
			unread = err
		}
		select {
		case <-ctx.Done():
			return nil, waitExpired(revision, unread)
		case <-time.After(waitInterval):
		}
	}
}

// waitExpired returns the answer to a wait whose limit passed; unread is why the status
// could not be read the last time, nil when it could.
func waitExpired(revision uint64, unread error) error {
	if unread != nil {
		return result.Errorf(result.OperatorWaitExpired, "revision %d; the status could not be read: %v", revision, unread)
	}
	return result.Errorf(result.OperatorWaitExpired, "revision %d", revision)
}

func waitedTable(revision uint64, fleet *fleetStatus, waited time.Duration) *opapi.Table {
	_, nodes, _ := fleet.counts()
	return &opapi.Table{
		Columns: []opapi.Column{{Name: "revision", Numeric: true}, {Name: "proxies", Numeric: true}, {Name: "machines", Numeric: true}, {Name: "waited_ms", Numeric: true}},
		Rows:    [][]string{{number(revision), number(uint64(nodes)), strconv.Itoa(fleet.machines), strconv.FormatInt(waited.Milliseconds(), 10)}},
	}
}
