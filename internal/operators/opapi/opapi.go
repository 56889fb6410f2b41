// Package opapi defines the requests and answers between lapisctl and the operators'
// interface of a daemon, which are JSON over HTTP, and the times and sizes that both sides
// must agree on. It owns no state and relies on nothing.
//
// What must hold: field names and paths are the protocol and stay, because operators'
// scripts and older clients use them; the client waits for longer than the daemon serves.
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

// Bounds of a request.
const (
	// MaxRequestBytes bounds a request body. It is larger than a proposal of a whole
	// configuration.
	MaxRequestBytes = 8 << 20
	// ServeTimeout is how long a daemon works on one request; a wait gets its own limit
	// besides.
	ServeTimeout = 20 * time.Second
	// ClientTimeout is how long a client waits for an answer; a wait gets its own limit
	// besides. It must be larger than ServeTimeout, or the client gives up a request that
	// the daemon still carries out.
	ClientTimeout = 30 * time.Second
	// DefaultWait is how long a wait for a revision lasts when the operator names no time,
	// MaxWait the longest that a daemon accepts.
	DefaultWait = 30 * time.Second
	MaxWait     = 5 * time.Minute
)

// Column describes one column of a table.
type Column struct {
	Name string `json:"name"`
	// Numeric columns compare as numbers.
	Numeric bool `json:"numeric,omitempty"`
}

// Table is the answer to a query.
type Table struct {
	Columns []Column   `json:"columns"`
	Rows    [][]string `json:"rows"`
	// Notes are remarks on the whole, such as what is not covered.
	Notes []string `json:"notes,omitempty"`
}

// ProposeRequest proposes or validates the content of a proposal file.
type ProposeRequest struct {
	OperationID string `json:"operation_id,omitempty"`
	File        string `json:"file"`
}

// ProposeAnswer is what was proposed.
type ProposeAnswer struct {
	Proposal     string `json:"proposal,omitempty"`
	BaseRevision uint64 `json:"base_revision"`
	Changes      int    `json:"changes"`
}

// AcceptRequest accepts a stored proposal.
type AcceptRequest struct {
	Proposal string `json:"proposal"`
}

// AcceptAnswer is the revision that a change became.
type AcceptAnswer struct {
	Revision uint64 `json:"revision"`
}

// Action is what to do with a back end.
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
	// Backend is "pool/instance", or the instance alone where it is unique.
	Backend string `json:"backend"`
}

// Failure is the answer to a request that was refused.
type Failure struct {
	Faults []Fault `json:"faults"`
}

// Fault is one numbered reason.
type Fault struct {
	Code   uint32 `json:"code"`
	Name   string `json:"name"`
	Detail string `json:"detail"`
}
