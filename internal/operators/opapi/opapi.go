// Package opapi defines the protocol between lapisctl and the operators' interface of a daemon: the
// requests and answers, which are JSON over HTTP, and the timeouts and size limits that both sides
// must agree on. It owns no state and uses no other package of the module.
//
// Invariants: field names and paths do not change, because operators' scripts and older clients use
// them; the client's timeout is longer than the daemon's.
package opapi

import "time"

// Paths of the interface.
const (
	PathShow     = "/v1/show"
	PathPropose  = "/v1/propose"
	PathValidate = "/v1/validate"
	PathAccept   = "/v1/accept"
	PathDiff     = "/v1/diff"
	PathBackend  = "/v1/backend"
	PathWait     = "/v1/wait"
)

// Limits of a request.
const (
	// MaxRequestBytes is the maximum size of a request body, larger than a proposal of a whole
	// configuration.
	MaxRequestBytes = 8 << 20
	// ServeTimeout limits the time that a daemon spends on one request; a wait for a revision adds its
	// own limit.
	ServeTimeout = 20 * time.Second
	// ClientTimeout limits the time that a client waits for an answer; a wait for a revision adds its
	// own limit. It must be larger than ServeTimeout, or the client abandons a request that the daemon
	// still carries out.
	ClientTimeout = 30 * time.Second
	// DefaultWait is the limit of a wait for a revision if the operator gives none, MaxWait the maximum
	// that a daemon accepts.
	DefaultWait = 30 * time.Second
	MaxWait     = 5 * time.Minute
)

// Column describes one column of a table.
type Column struct {
	Name string `json:"name"`
	// Numeric is true if conditions compare the column's cells as numbers.
	Numeric bool `json:"numeric,omitempty"`
}

// Table is the answer to a query.
type Table struct {
	Columns []Column   `json:"columns"`
	Rows    [][]string `json:"rows"`
	// Notes are remarks on the table, such as rows that were left out.
	Notes []string `json:"notes,omitempty"`
}

// ProposeRequest proposes or validates the content of a proposal file.
type ProposeRequest struct {
	OperationID string `json:"operation_id,omitempty"`
	File        string `json:"file"`
}

// ProposeAnswer describes the stored or validated proposal.
type ProposeAnswer struct {
	Proposal     string `json:"proposal,omitempty"`
	BaseRevision uint64 `json:"base_revision"`
	Changes      int    `json:"changes"`
}

// AcceptRequest accepts a stored proposal.
type AcceptRequest struct {
	Proposal string `json:"proposal"`
}

// AcceptAnswer holds the revision that an accepted change became.
type AcceptAnswer struct {
	Revision uint64 `json:"revision"`
}

// Action is an operator's action on a back end.
type Action string

// Actions on back ends.
const (
	ActionDrain   Action = "drain"
	ActionUndrain Action = "undrain"
	ActionRetire  Action = "retire"
)

// BackendRequest drains, undrains or retires a back end.
type BackendRequest struct {
	OperationID string `json:"operation_id"`
	Action      Action `json:"action"`
	// Backend is "pool/instance", or the instance alone if that is unique.
	Backend string `json:"backend"`
}

// Failure is the answer to a refused request.
type Failure struct {
	Faults []Fault `json:"faults"`
}

// Fault is one reason of a failure, with its result code.
type Fault struct {
	Code   uint32 `json:"code"`
	Name   string `json:"name"`
	Detail string `json:"detail"`
}
