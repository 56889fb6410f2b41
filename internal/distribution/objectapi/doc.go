// Package objectapi is the client of the platform's object API and machine
// list. The object API keeps versioned objects under string keys, with
// compare-and-swap writes, lists, watches and a status part of each object;
// the machine list lags behind reality.
package objectapi
