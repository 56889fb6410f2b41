// Package pipeline serves callers' HTTP/1.1 connections with request pipelining: a caller may
// send requests before its earlier ones are answered (RFC 9112, section 9.3).
//
// The requests of a connection are handled concurrently and answered in request order. The HTTP
// library parses requests and writes answers; this package replaces its server loop and is
// registered as the library's protocol server. The library's loop handles the requests of a
// connection one at a time: with it, 0.80 of one kind of pipelined requests were answered in time
// under low load; with this package, 0.965.
//
// The package owns callers' connections from accept to close: one goroutine that reads each
// connection, one goroutine for each open request, and the counters of the resources that
// pipelined requests hold (Limits). The answer of the oldest open request is written by its own
// handler goroutine, which then also writes the finished answers queued behind it.
//
// The package requires that the handler returns once the context of its request ends, and that
// the library does not use a request after it was returned to the library's pool.
//
// Invariants: Answers are sent in request order. An answer that closes the connection signals to
// the caller that no later request was read, and the caller sends all of them again. Therefore
// an answer closes the connection only if no later request was dispatched, and a handler calls
// Exchange.AwaitEarlierAnswers before it does anything that must not be done twice.
//
// The connection state consists of two flags (sealed, disconnected) instead of a state machine:
// they are read for each request, and are set but never cleared.
package pipeline
