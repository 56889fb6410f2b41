// Package pipeline serves callers' HTTP/1.1 connections on which requests may
// be sent ahead of the answers of those before them (RFC 9112, section 9.3).
//
// Requests are read, handled at the same time and answered in their order. The
// HTTP library parses requests and writes answers; this package takes the place
// of its server loop, registered as the library's protocol server.
//
// One goroutine reads a connection. Answers are written by whoever holds the
// turn: the handler of the oldest open request, or the goroutine that finished
// it and goes on with finished answers behind it.
//
// To a caller, an answer that closes the connection says that nothing behind it
// was read. Therefore an answer closes the connection only when no request
// behind it was passed on, and a handler calls Exchange.AwaitTurn before it does
// what may not be done twice.
package pipeline
