package httpinput

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
)

// NewTransporter returns a constructor of transporters for the HTTP library's servers. It bounds the input of each
// connection by limits, and the time until its first request is complete by firstRequestTimeout: the
// library bounds only the later ones.
func NewTransporter(limits Limits, firstRequestTimeout time.Duration) func(*config.Options) network.Transporter {
	return func(options *config.Options) network.Transporter {
		return transporter{
			Transporter: standard.NewTransporter(options), limits: limits, firstRequestTimeout: firstRequestTimeout,
		}
	}
}

// transporter wraps the connections of the library's standard transporter.
type transporter struct {
	network.Transporter
	limits              Limits
	firstRequestTimeout time.Duration
}

// ListenAndServe implements network.Transporter.
func (t transporter) ListenAndServe(serve network.OnData) error {
	return t.Transporter.ListenAndServe(func(ctx context.Context, accepted any) error {
		conn, ok := accepted.(network.Conn)
		if !ok {
			return serve(ctx, accepted)
		}
		// The deadline of a closed connection cannot be set; its reads fail.
		_ = conn.SetReadTimeout(t.firstRequestTimeout)
		limited := Wrap(conn, t.limits)
		defer limited.Discard()
		return serve(ctx, limited)
	})
}
