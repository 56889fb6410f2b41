// Package balance chooses the instance for a call. It weighs this daemon's own
// observations, calls in flight and failures, above what instances report, and
// both above what lists say, because reports and lists lag or mislead.
package balance
