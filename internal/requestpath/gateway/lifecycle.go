package gateway

import (
	"context"
	"crypto/tls"
	"net"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol/suite"

	"github.com/lapisvane/lapisvane/internal/shared/result"
	"github.com/lapisvane/lapisvane/internal/shared/socket"
)

// Serve serves callers on listener until ctx ends or StopAccepting is called, by HTTPS with a TLS
// configuration. It returns when the listener is closed; calls in flight go on.
func (g *Gateway) Serve(ctx context.Context, listener net.Listener, tlsConfig *tls.Config) {
	g.listening.Lock()
	g.listeners = append(g.listeners, listener)
	g.listening.Unlock()
	options := []config.Option{
		server.WithListener(g.callers.Listener(listener)),
		server.WithTransport(standard.NewTransporter),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(0),
		server.WithOnAccept(g.callers.OnAccept),
	}
	if tlsConfig != nil {
		options = append(options, server.WithTLS(tlsConfig))
	}
	engine := server.New(options...)
	engine.AddProtocol(suite.HTTP1, g.callers.Factory())
	// A listener that cannot be closed is closed already.
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	stopAccepting := context.AfterFunc(g.accepting, func() { _ = listener.Close() })
	defer stopAccepting()
	// Run returns when accepting fails, so the listener must fail only once it is closed.
	_ = engine.Run()
}

// TLSConfig returns the TLS configuration towards callers: each handshake uses the key pair in
// force, so that rotation cuts no connection. Errors of a handshake: CallNotReady, CallNoRoute
// where no key pair fits the name.
func (g *Gateway) TLSConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"http/1.1"},
		GetCertificate: func(hello *tls.ClientHelloInfo) (*tls.Certificate, error) {
			current := g.config.Snapshots.Current()
			if current == nil {
				return nil, result.Errorf(result.CallNotReady, "no configuration yet")
			}
			if certificate := current.Certificate(strings.ToLower(hello.ServerName)); certificate != nil {
				return certificate, nil
			}
			return nil, result.Errorf(result.CallNoRoute, "no certificate for %q", hello.ServerName)
		},
	}
}

// Stop makes the gateway refuse new calls; those in flight go on.
func (g *Gateway) Stop() {
	g.stopping.Store(true)
	g.refusing.Store(true)
}

// beginServing counts a call as served, and reports false where new calls are refused. It looks a
// second time, so that after Stop no call begins that Serving has not counted.
func (g *Gateway) beginServing() bool {
	if g.refusing.Load() {
		return false
	}
	g.serving.Add(1)
	if g.refusing.Load() {
		g.serving.Add(-1)
		return false
	}
	return true
}

// Serving returns the number of calls that the gateway has taken on and not answered. A call that
// is being refused because of a stop is none of them: its end takes nothing away.
func (g *Gateway) Serving() int64 { return g.serving.Load() }

// Waiting returns the number of callers' connections that wait to be accepted.
func (g *Gateway) Waiting() int {
	g.listening.Lock()
	defer g.listening.Unlock()
	waiting := 0
	for _, listener := range g.listeners {
		waiting += socket.Waiting(listener)
	}
	return waiting
}

// StopAccepting closes the listeners for callers; their connections stay.
func (g *Gateway) StopAccepting() { g.stopAccepting() }

// Drain makes the gateway close callers' connections after their next answer, so that callers
// connect elsewhere. Calls are still served; those that arrive from now on end by the given time.
func (g *Gateway) Drain(by time.Time) {
	g.answerBy.Store(&by)
	g.stopping.Store(true)
}

// draining reports whether the daemon stops as planned. It then goes on waiting for an instance
// whose daemon sends nothing, so that a planned stop loses no call.
func (g *Gateway) draining() bool { return g.answerBy.Load() != nil }

// InFlight returns the number of requests that were read and are not answered yet.
func (g *Gateway) InFlight() int64 { return g.callers.OpenRequests() }

// Undelivered returns the number of callers' connections on which an answer was written that the
// end of the process could take away.
func (g *Gateway) Undelivered() int { return g.callers.UndeliveredConnections() }

// Receiving returns the number of callers' connections on which a request is coming in that is not
// served yet, or a body whose request was answered before its end.
func (g *Gateway) Receiving() int { return g.callers.ReceivingConnections() }

// Unserved returns the number of callers' connections so far that the gateway ended although it had
// read a request that it did not answer.
func (g *Gateway) Unserved() int64 { return g.callers.UnservedConnections() }

// Close closes callers' connections, as the end of the process does: no caller gets an answer any more.
func (g *Gateway) Close() { g.callers.Close() }

// Cut ends the calls in flight; their callers get an answer that says so.
func (g *Gateway) Cut() { g.cutAll() }
