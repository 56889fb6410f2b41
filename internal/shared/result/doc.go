// Package result defines the numbered result codes that every part of the
// system reports, the error type that carries them, and the table from which
// docs/ERRORS.md is checked.
package result
