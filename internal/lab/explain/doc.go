// Package explain reads the log lines of several daemons and finds out what
// happened to a request and why: its lines in order, and the cause that they
// prove.
package explain
