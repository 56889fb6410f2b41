package httpinput

import "sync/atomic"

// Memory is a budget for the input that several connections hold. It is safe for concurrent use.
type Memory struct {
	limit int64
	used  atomic.Int64
}

// NewMemory returns a budget of the given size in bytes.
func NewMemory(limit int64) *Memory { return &Memory{limit: limit} }

// Reserve reserves bytes. It returns false, and reserves nothing, if the budget would be exceeded.
func (m *Memory) Reserve(bytes int64) bool {
	if m.used.Add(bytes) <= m.limit {
		return true
	}
	m.used.Add(-bytes)
	return false
}

// Release releases bytes that Reserve reserved.
func (m *Memory) Release(bytes int64) { m.used.Add(-bytes) }
