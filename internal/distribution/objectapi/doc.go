// Package objectapi is the client of the platform's object API and machine list. The object API
// stores versioned objects under string keys. It offers compare-and-swap writes, lists, watches and
// a separate status part of each object. The machine list lags behind the actual state of the
// machines.
//
// The client owns its idle connections, one open connection for each watch, and the last machine
// list of each zone, which the platform does not send again while it is unchanged. It depends on
// the platform's HTTP/JSON protocol; package lab/objectapistub is a stub of the platform.
//
// After PlatformUnavailable or PlatformBadAnswer a write may have taken effect, so callers must
// read before they repeat it. After any other error it has not taken effect.
package objectapi
