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

// Serve accepts callers' connections on listener until ctx ends or StopAccepting is called. It uses HTTPS
// if tlsConfig is not nil. It returns when the listener is closed; calls in flight continue.
func (g *Gateway) Serve(ctx context.Context, listener net.Listener, tlsConfig *tls.Config) {
	g.listenersMutex.Lock()
	g.listeners = append(g.listeners, listener)
	g.listenersMutex.Unlock()
	options := []config.Option{
		server.WithListener(g.callerServer.Listener(listener)),
		server.WithTransport(standard.NewTransporter),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(0),
		server.WithOnAccept(g.callerServer.OnAccept),
	}
	if tlsConfig != nil {
		options = append(options, server.WithTLS(tlsConfig))
	}
	engine := server.New(options...)
	engine.AddProtocol(suite.HTTP1, g.callerServer.Factory())
	// Close fails only for a listener that is already closed.
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	stopAccepting := context.AfterFunc(g.acceptContext, func() { _ = listener.Close() })
	defer stopAccepting()
	// Run returns when Accept fails, which must happen only after the listener is closed.
	_ = engine.Run()
}

// TLSConfig returns the TLS configuration for callers' connections. Each handshake uses the current key
// pair, so that a rotation closes no connection. Errors of a handshake: CallNotReady, and CallNoRoute
// if no key pair matches the name.
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

// Stop makes the gateway refuse new calls; calls in flight continue.
func (g *Gateway) Stop() {
	g.stopping.Store(true)
	g.refusing.Store(true)
}

// beginServing counts a call as served, or reports false if new calls are refused. It checks refusing
// again after counting, so that no call begins after Stop that Serving does not include.
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

// Serving returns the number of accepted calls that are not answered yet. Calls that are being refused
// because of a stop do not count, since no work is lost if they end.
func (g *Gateway) Serving() int64 { return g.serving.Load() }

// PendingConnections returns the number of callers' connections that wait to be accepted.
func (g *Gateway) PendingConnections() int {
	g.listenersMutex.Lock()
	defer g.listenersMutex.Unlock()
	waiting := 0
	for _, listener := range g.listeners {
		waiting += socket.AcceptQueueLength(listener)
	}
	return waiting
}

// StopAccepting closes the listeners for callers; open connections are kept.
func (g *Gateway) StopAccepting() { g.stopAccepting() }

// Drain makes the gateway close callers' connections after their next answer, so that callers connect
// to other daemons. New calls are still served, with a deadline no later than by.
func (g *Gateway) Drain(by time.Time) {
	g.drainDeadline.Store(&by)
	g.stopping.Store(true)
}

// draining reports whether the daemon stops as planned. While it does, a call keeps waiting for an
// instance whose daemon sends nothing, so that a planned stop loses no call.
func (g *Gateway) draining() bool { return g.drainDeadline.Load() != nil }

// InFlight returns the number of requests that were read and are not answered yet.
func (g *Gateway) InFlight() int64 { return g.callerServer.OpenRequests() }

// UndeliveredConnections returns the number of callers' connections with a written answer that the
// caller could lose if the process ended now.
func (g *Gateway) UndeliveredConnections() int { return g.callerServer.UndeliveredConnections() }

// ReceivingConnections returns the number of callers' connections on which a request is being
// received that is not served yet, or a body whose request is already answered.
func (g *Gateway) ReceivingConnections() int { return g.callerServer.ReceivingConnections() }

// UnservedConnections returns the number of callers' connections so far that the gateway closed
// although it had read a request that it did not answer.
func (g *Gateway) UnservedConnections() int64 { return g.callerServer.UnservedConnections() }

// Close closes callers' connections immediately, as the end of the process does; no more answers are
// sent.
func (g *Gateway) Close() { g.callerServer.Close() }

// CancelCalls cancels the calls in flight; their callers get an error answer.
func (g *Gateway) CancelCalls() { g.cancelCalls() }
