package origin

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The conditions of kindOfHeartbeat apply in a fixed order.
func TestKindOfHeartbeat(t *testing.T) {
	for name, row := range map[string]struct {
		left, known, held, later bool
		sequence                 uint64
		want                     heartbeatKind
	}{
		"first heartbeat, later start present":  {later: true, sequence: 1, want: heartbeatOfEarlier},
		"known, later start present":            {known: true, later: true, sequence: 7, want: heartbeatOfKnown},
		"first heartbeat":                       {sequence: 1, want: heartbeatOfNew},
		"unknown, not the first heartbeat":      {sequence: 7, want: heartbeatOfNew},
		"first heartbeat, address held":         {held: true, sequence: 1, want: heartbeatOfNew},
		"no sequence, address held":             {held: true, sequence: 0, want: heartbeatOfNew},
		"not the first heartbeat, address held": {held: true, sequence: 2, want: heartbeatOfEarlier},
		"known":                                 {known: true, sequence: 7, want: heartbeatOfKnown},
		"known, address held":                   {known: true, held: true, sequence: 7, want: heartbeatOfKnown},
		"withdrawn, still known":                {left: true, known: true, sequence: 7, want: heartbeatOfWithdrawn},
		"withdrawn, first heartbeat":            {left: true, sequence: 1, want: heartbeatOfWithdrawn},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, kindOfHeartbeat(row.left, row.known, incarnationConflicts{laterStartPresent: row.later, addressHeld: row.held}, row.sequence), row.want)
		})
	}
}

// An instance holds its address while it is present, and ready or evacuated.
func TestHoldsAddress(t *testing.T) {
	evacuated := map[DrainReason]bool{DrainEvacuated: true}
	for name, row := range map[string]struct {
		age     time.Duration
		state   State
		reasons map[DrainReason]bool
		want    bool
	}{
		"ready":                  {0, StateReady, nil, true},
		"ready, not present":     {presenceTimeout, StateReady, nil, false},
		"down":                   {0, StateDown, nil, false},
		"evacuated":              {0, StateDraining, evacuated, true},
		"evacuated and drained":  {0, StateDrained, evacuated, true},
		"evacuated, not present": {presenceTimeout, StateDrained, evacuated, false},
		"evacuated and leaving":  {0, StateDraining, map[DrainReason]bool{DrainEvacuated: true, DrainInstance: true}, false},
		"evacuated, suspended":   {0, StateDraining, map[DrainReason]bool{DrainEvacuated: true, DrainSuspended: true}, false},
		"evacuated and replaced": {0, StateDraining, map[DrainReason]bool{DrainEvacuated: true, DrainReplaced: true}, false},
		"drained by an operator": {0, StateDrained, map[DrainReason]bool{DrainOperator: true}, false},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, holdsAddress(row.age, row.state, row.reasons), row.want)
		})
	}
}

// An instance is dropped once it left and has no calls in flight, or was silent for too long.
func TestIsOver(t *testing.T) {
	long := silentInstanceTTL + 1
	for name, row := range map[string]struct {
		age     time.Duration
		state   State
		reasons map[DrainReason]bool
		want    bool
	}{
		"ready":                            {0, StateReady, nil, false},
		"down for a while":                 {silentInstanceTTL, StateDown, nil, false},
		"down for long":                    {long, StateDown, nil, true},
		"left, calls in flight":            {0, StateDraining, map[DrainReason]bool{DrainInstance: true}, false},
		"left, no calls in flight":         {0, StateDrained, map[DrainReason]bool{DrainInstance: true}, true},
		"suspended":                        {0, StateDrained, map[DrainReason]bool{DrainSuspended: true}, false},
		"suspended, silent for long":       {long, StateDrained, map[DrainReason]bool{DrainSuspended: true}, true},
		"replaced":                         {0, StateDrained, map[DrainReason]bool{DrainReplaced: true}, true},
		"evacuated, silent for long":       {long, StateDrained, map[DrainReason]bool{DrainEvacuated: true}, false},
		"drained by an operator, for long": {long, StateDrained, map[DrainReason]bool{DrainOperator: true}, false},
		"retired":                          {long, StateRetired, nil, false},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, shouldDrop(row.age, row.state, row.reasons), row.want) })
	}
}
