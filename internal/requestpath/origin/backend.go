package origin

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// backend sends requests to one back end over HTTP/1.1. It is safe for concurrent use.
type backend struct {
	address  string
	instance string
	envelope *callapi.Envelope
	pool     *connectionPool
}

func newBackend(address, instance string, envelope *callapi.Envelope, connectionLimit int) *backend {
	return &backend{
		address: address, instance: instance, envelope: envelope,
		pool: newConnectionPool(address, connectionLimit),
	}
}

// connect finds out whether the back end accepts a connection. Errors: those of the dial.
func (b *backend) connect(ctx context.Context) error {
	dialer := net.Dialer{Timeout: backendDialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", b.address)
	if err != nil {
		return err
	}
	return conn.Close()
}

// roundTrip hands the call over once, and calls handing right before. The answer's body must
// be closed.
// Errors: CallNotRunUnreachable when no connection was opened,
// CallNotRunOverloaded when the limit of connections is reached, CallBadRequest when it cannot be
// written, CallNotRunExpired when the caller gave up before; after the hand-over
// CallUnknownOutcome, CallDeadline or CallCancelled.
func (b *backend) roundTrip(ctx context.Context, call *callapi.Call, handing func()) (*http.Response, error) {
	conn, err := b.pool.get(ctx)
	if err != nil {
		return nil, err
	}
	request, err := b.request(ctx, call)
	if err != nil {
		b.pool.put(conn)
		return nil, err
	}
	if ctx.Err() != nil {
		b.pool.put(conn)
		return nil, result.Wrap(result.CallNotRunExpired, ctx.Err(), "the call ended before it was handed over")
	}
	current := &exchange{backend: b, conn: conn, request: request, written: make(chan struct{})}
	current.unwatch = context.AfterFunc(ctx, func() { _ = conn.Close() }) // Closed to interrupt the exchange, which reports why.
	sent := time.Now()
	handing()
	response, err := current.run(call)
	if err != nil {
		current.end(false)
		if ctx.Err() == nil {
			b.pool.noteBroken(conn, time.Since(sent))
		}
		return nil, result.Wrap(brokenCode(ctx), err, "request to %s", b.address)
	}
	response.Body = &exchangeBody{exchange: current, body: response.Body, response: response}
	return response, nil
}
