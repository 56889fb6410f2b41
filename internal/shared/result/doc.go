// Package result defines the numbered result codes that every part of the
// system reports, the error type that carries them, and the table from which
// docs/ERRORS.md is checked.
//
// It owns the table, which is not changed after the start, so that everything here is safe for
// concurrent use but a List. It relies on nothing of the project.
//
// What must hold: a code keeps its number, name and meaning for ever; Code.NotRun is true only for
// codes that prove that no back end saw the call.
package result
