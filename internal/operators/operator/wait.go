package operator

import (
	"context"
	"strconv"
	"time"

	"github.com/lapisvane/lapisvane/internal/operators/opapi"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// statusPollInterval is the time between two reads of the status. The status itself is delayed by one
// status interval per level of the distribution tree.
const statusPollInterval = 100 * time.Millisecond

// wait returns as soon as revision is in force on all proxies that report. Failed reads of the status
// are repeated until limit. Errors: OperatorUnknownRevision, OperatorWaitExpired with the last error of
// reading the status, platform codes.
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
	var readErr error
	for {
		fleet, err := s.readFleet(ctx)
		if err == nil && fleet.allRunAtLeast(revision) {
			return waitedTable(revision, fleet, time.Since(started)), nil
		}
		if ctx.Err() == nil {
			readErr = err
		}
		select {
		case <-ctx.Done():
			return nil, waitExpiredError(revision, readErr)
		case <-time.After(statusPollInterval):
		}
	}
}

// waitExpiredError returns the error of a wait whose limit has passed; readErr is the error of the
// last read of the status, nil if that succeeded.
func waitExpiredError(revision uint64, readErr error) error {
	if readErr != nil {
		return result.Errorf(result.OperatorWaitExpired, "revision %d; the status could not be read: %v", revision, readErr)
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
