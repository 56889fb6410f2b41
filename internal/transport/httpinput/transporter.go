package httpinput

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
)

// Timeouts bound the first request of a connection. The HTTP library's servers bound only the later
// ones.
type Timeouts struct {
	// Idle is the maximum time until the first byte, and Request that from there until the request is
	// complete.
	Idle, Request time.Duration
}

// NewTransporter returns a constructor of transporters for the HTTP library's servers, which bounds the
// input of each connection.
func NewTransporter(limits Limits, timeouts Timeouts) func(*config.Options) network.Transporter {
	return func(options *config.Options) network.Transporter {
		return transporter{Transporter: standard.NewTransporter(options), limits: limits, timeouts: timeouts}
	}
}

// transporter wraps the connections of the library's standard transporter.
type transporter struct {
	network.Transporter
	limits   Limits
	timeouts Timeouts
}

// ListenAndServe implements network.Transporter.
func (t transporter) ListenAndServe(serve network.OnData) error {
	return t.Transporter.ListenAndServe(func(ctx context.Context, accepted any) error {
		conn, ok := accepted.(network.Conn)
		if !ok {
			return serve(ctx, accepted)
		}
		limited := Wrap(conn, t.limits)
		defer limited.Discard()
		if err := t.awaitRequest(limited); err != nil {
			// There is nothing to answer. Close fails only for a connection that is already closed.
			_ = conn.Close()
			return nil
		}
		return serve(ctx, limited)
	})
}

// awaitRequest waits for the first byte of a connection.
func (t transporter) awaitRequest(conn *Conn) error {
	if err := conn.SetReadTimeout(t.timeouts.Idle); err != nil {
		return err
	}
	if _, err := conn.Peek(1); err != nil {
		return err
	}
	return conn.SetReadTimeout(t.timeouts.Request)
}
