// Package quarantine decides which requests are held back because instances ended while
// they ran them.
//
// A request may end every instance that begins to run it, and come again under another id
// at any daemon. Only the daemon beside an instance sees it end; it cannot see which of the
// calls in flight did it. So all of them are suspects, under the names of what they ask for
// (package fingerprint). An answer clears: what an instance has answered does not end each
// instance. A suspect under which quarantineAt instances ended without such an answer is held
// back; one under which repeatBelow did is not repeated by itself.
//
// What is known is a set of crashes and a set of refuted ones for each suspect, which merge
// by union, so that daemons may tell each other in any order and more than once.
//
// The package does no I/O: time is passed in, and what is news is returned.
package quarantine
