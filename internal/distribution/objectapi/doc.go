// Package objectapi is the client of the platform's object API and machine list. The object API
// keeps versioned objects under string keys, with compare-and-swap writes, lists, watches and a
// status part of each object; the machine list lags behind reality.
//
// It owns the client's idle connections, one open connection for each watch, and the last
// machine list of each zone, which the platform need not send again. It relies on the
// platform's HTTP/JSON protocol, which package lab/objectapistub stands in for.
//
// What must hold: after PlatformUnavailable or PlatformBadAnswer a write may have taken
// effect, so callers read before they repeat it; the other errors say that it has not.
package objectapi
