// Package callload is a stand-in for callers: it makes calls at a rate, checks every
// answer against what was asked for, and tallies the outcomes.
package callload
