package operator

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/go-logr/logr"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/changelog"
	"github.com/lapisvane/lapisvane/internal/distribution/objectapi"
	"github.com/lapisvane/lapisvane/internal/operators/opapi"
	"github.com/lapisvane/lapisvane/internal/shared/result"
	"github.com/lapisvane/lapisvane/internal/shared/socket"
	"github.com/lapisvane/lapisvane/internal/transport/httpinput"
)

// Limits of the operators' interface.
const (
	// maxConcurrent is the maximum number of concurrent requests, including waits for a revision;
	// further requests are answered with OperatorBusy.
	maxConcurrent = 16
	// idleTimeout is the keep-alive time of an idle client connection.
	idleTimeout = time.Minute
	// maxHeadBytes is the maximum size of a request's head.
	maxHeadBytes = 16 << 10
	// inputBytes limits what all connections hold of incomplete requests, beyond the
	// httpinput.MinBufferBytes that each of them may hold. It has room for two of the longest bodies.
	inputBytes = 32 << 20
)

// EndpointSource returns the known instances of a service. It must be safe for concurrent use.
type EndpointSource interface {
	Endpoints(service string) []*lapisv1.Endpoint
}

// Config holds the dependencies of a Server.
type Config struct {
	// Store is the object API.
	Store     objectapi.Store
	Endpoints EndpointSource
	Logger    logr.Logger
}

// Server serves operators. It is safe for concurrent use.
type Server struct {
	config Config
	log    *changelog.Log
	auth   *authenticator
	// slots is a semaphore with one value per request that is being served.
	slots chan struct{}
}

// New returns a server; Serve starts it.
func New(config Config) *Server {
	return &Server{
		config: config, log: changelog.New(config.Store, time.Now),
		auth: &authenticator{store: config.Store}, slots: make(chan struct{}, maxConcurrent),
	}
}

// Serve serves requests on listener until ctx ends, then closes listener and its connections.
func (s *Server) Serve(ctx context.Context, listener net.Listener) {
	listener, stop := socket.CloseWithContext(ctx, listener)
	defer stop()
	limits := httpinput.Limits{SectionBytes: opapi.MaxRequestBytes + maxHeadBytes, Memory: httpinput.NewMemory(inputBytes)}
	timeouts := httpinput.Timeouts{Idle: idleTimeout, Request: opapi.ServeTimeout}
	engine := server.New(
		server.WithListener(listener), server.WithTransport(httpinput.NewTransporter(limits, timeouts)),
		server.WithMaxHeaderBytes(maxHeadBytes), server.WithMaxRequestBodySize(opapi.MaxRequestBytes), server.WithReadTimeout(opapi.ServeTimeout),
		server.WithIdleTimeout(idleTimeout), server.WithDisablePrintRoute(true), server.WithExitWaitTime(0),
	)
	engine.GET(opapi.PathShow, s.endpoint(opapi.ServeTimeout, s.serveShow))
	engine.GET(opapi.PathDiff, s.endpoint(opapi.ServeTimeout, s.serveDiff))
	engine.GET(opapi.PathWait, s.endpoint(opapi.MaxWait+opapi.ServeTimeout, s.serveWait))
	engine.POST(opapi.PathValidate, s.endpoint(opapi.ServeTimeout, decoded(s.validate)))
	engine.POST(opapi.PathPropose, s.endpoint(opapi.ServeTimeout, decoded(s.propose)))
	engine.POST(opapi.PathAccept, s.endpoint(opapi.ServeTimeout, decoded(s.accept)))
	engine.POST(opapi.PathBackend, s.endpoint(opapi.ServeTimeout, decoded(s.changeBackend)))
	// Run returns when the listener is closed; its error reports only that.
	_ = engine.Run()
}

// handler processes one authenticated request and returns the value to encode as its answer.
type handler func(ctx context.Context, operator Operator, rc *app.RequestContext) (any, error)

// endpoint wraps handle: it limits the number of concurrent requests and the time of each,
// authenticates the operator, and encodes the answer or the failure, in this order.
func (s *Server) endpoint(timeout time.Duration, handle handler) app.HandlerFunc {
	return func(ctx context.Context, rc *app.RequestContext) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		select {
		case s.slots <- struct{}{}:
			defer func() { <-s.slots }()
		default:
			writeFailure(rc, result.Errorf(result.OperatorBusy, "%d requests are served now", maxConcurrent))
			return
		}
		token := strings.TrimPrefix(string(rc.Request.Header.Peek("Authorization")), "Bearer ")
		operator, err := s.auth.identify(ctx, token)
		var answer any
		if err == nil {
			answer, err = handle(ctx, operator, rc)
		}
		if err != nil {
			writeFailure(rc, err)
			return
		}
		rc.JSON(http.StatusOK, answer)
	}
}

func (s *Server) serveShow(ctx context.Context, _ Operator, rc *app.RequestContext) (any, error) {
	return s.show(ctx, rc.Query("what"))
}

func (s *Server) serveDiff(ctx context.Context, _ Operator, rc *app.RequestContext) (any, error) {
	from, errFrom := strconv.ParseUint(rc.Query("from"), 10, 64)
	to, errTo := strconv.ParseUint(rc.Query("to"), 10, 64)
	if errFrom != nil || errTo != nil {
		return nil, result.Errorf(result.OperatorRequestMalformed, "from and to are revisions")
	}
	return s.diff(ctx, from, to)
}

func (s *Server) serveWait(ctx context.Context, _ Operator, rc *app.RequestContext) (any, error) {
	revision, err := strconv.ParseUint(rc.Query("revision"), 10, 64)
	limit, errLimit := time.ParseDuration(rc.Query("timeout"))
	if err != nil || errLimit != nil || limit <= 0 || limit > opapi.MaxWait {
		return nil, result.Errorf(result.OperatorRequestMalformed, "revision and timeout (at most %s)", opapi.MaxWait)
	}
	return s.wait(ctx, revision, limit)
}

// decoded returns a handler that decodes the JSON body of a request and calls handle. Errors:
// OperatorRequestMalformed, and those of handle.
func decoded[Request, Answer any](handle func(context.Context, Operator, Request) (Answer, error)) handler {
	return func(ctx context.Context, operator Operator, rc *app.RequestContext) (any, error) {
		var request Request
		if err := json.Unmarshal(rc.Request.Body(), &request); err != nil {
			return nil, result.Wrap(result.OperatorRequestMalformed, err, "decoding the request")
		}
		return handle(ctx, operator, request)
	}
}
