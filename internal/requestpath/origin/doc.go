// Package origin is the part of a daemon beside back ends. It is the only way
// to them: it refuses what must not run (expired, repeated, for an instance
// that is leaving), admits the rest to the slots in fair order, and hands each
// attempt over at most once. A refusal is final for that attempt, so that the
// caller's daemon may try elsewhere.
package origin
