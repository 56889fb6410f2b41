// Package ignorehangup makes a program that imports it ignore SIGHUP until it calls signal.Notify. By
// default a SIGHUP ends the process, and a supervisor that announces changed settings may send one at any
// moment of a start. A SIGHUP that is ignored loses nothing if the program reads its settings after
// signal.Notify. SIGTERM and SIGINT keep their default action: an end before signal.Notify is asked for,
// and the program has accepted nothing by then.
//
// With cgo, SIGHUP is ignored from the constructors of the executable on, before the Go runtime starts; the
// runtime leaves a signal that is ignored as it is. What remains is the time from exec to there, in which
// the dynamic loader runs. Blocked signals do not help, since the runtime unblocks SIGHUP.
//
// Without cgo, SIGHUP is ignored from the initialization of this package on. It imports little, so that
// few packages are initialized before; until then the runtime's handler ends the process.
package ignorehangup
