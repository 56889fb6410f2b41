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
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/changelog"
	"github.com/lapisvane/lapisvane/internal/distribution/objectapi"
	"github.com/lapisvane/lapisvane/internal/operators/opapi"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Bounds of the interface.
const (
	maxConcurrent  = 16
	requestTimeout = 20 * time.Second
	maxWait        = 5 * time.Minute
)

// EndpointSource tells what is known of a service's instances.
type EndpointSource interface {
	Endpoints(service string) []*lapisv1.Endpoint
}

// Config configures a Server.
type Config struct {
	Store     objectapi.Store
	Endpoints EndpointSource
	Logger    logr.Logger
}

// Server serves operators.
type Server struct {
	config Config
	log    *changelog.Log
	auth   *authenticator
	busy   chan struct{}
}

// New returns a server.
func New(config Config) *Server {
	return &Server{
		config: config, log: changelog.New(config.Store, time.Now),
		auth: &authenticator{store: config.Store}, busy: make(chan struct{}, maxConcurrent),
	}
}

// Serve answers requests on listener until ctx ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) {
	engine := server.New(
		server.WithListener(listener), server.WithTransport(standard.NewTransporter),
		server.WithMaxRequestBodySize(opapi.MaxRequestBytes), server.WithReadTimeout(requestTimeout),
		server.WithIdleTimeout(time.Minute), server.WithDisablePrintRoute(true), server.WithExitWaitTime(0),
	)
	engine.GET(opapi.PathShow, s.endpoint(requestTimeout, s.serveShow))
	engine.GET(opapi.PathDiff, s.endpoint(requestTimeout, s.serveDiff))
	engine.GET(opapi.PathWait, s.endpoint(maxWait+requestTimeout, s.serveWait))
	engine.POST(opapi.PathValidate, s.endpoint(requestTimeout, s.serveValidate))
	engine.POST(opapi.PathPropose, s.endpoint(requestTimeout, s.servePropose))
	engine.POST(opapi.PathAccept, s.endpoint(requestTimeout, s.serveAccept))
	engine.POST(opapi.PathBackend, s.endpoint(requestTimeout, s.serveBackend))
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	_ = engine.Run()
}

// handler answers one authenticated request with a value to encode.
type handler func(ctx context.Context, operator Operator, rc *app.RequestContext) (any, error)

// endpoint bounds, authenticates and answers a request.
func (s *Server) endpoint(timeout time.Duration, handle handler) app.HandlerFunc {
	return func(ctx context.Context, rc *app.RequestContext) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		select {
		case s.busy <- struct{}{}:
			defer func() { <-s.busy }()
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
	if err != nil || errLimit != nil || limit <= 0 || limit > maxWait {
		return nil, result.Errorf(result.OperatorRequestMalformed, "revision and timeout (at most %s)", maxWait)
	}
	return s.wait(ctx, revision, limit)
}

func (s *Server) serveValidate(ctx context.Context, operator Operator, rc *app.RequestContext) (any, error) {
	var request opapi.ProposeRequest
	if err := decode(rc, &request); err != nil {
		return nil, err
	}
	proposal, err := s.prepare(ctx, operator, request)
	if err != nil {
		return nil, err
	}
	return answerOf(proposal), nil
}

func (s *Server) servePropose(ctx context.Context, operator Operator, rc *app.RequestContext) (any, error) {
	var request opapi.ProposeRequest
	if err := decode(rc, &request); err != nil {
		return nil, err
	}
	return s.propose(ctx, operator, request)
}

func (s *Server) serveAccept(ctx context.Context, operator Operator, rc *app.RequestContext) (any, error) {
	var request opapi.AcceptRequest
	if err := decode(rc, &request); err != nil {
		return nil, err
	}
	return s.accept(ctx, operator, request)
}

func (s *Server) serveBackend(ctx context.Context, operator Operator, rc *app.RequestContext) (any, error) {
	var request opapi.BackendRequest
	if err := decode(rc, &request); err != nil {
		return nil, err
	}
	if request.OperationID == "" {
		return nil, result.Errorf(result.OperatorRequestMalformed, "operation_id")
	}
	return s.changeBackend(ctx, operator, request)
}

func decode(rc *app.RequestContext, target any) error {
	return result.Wrap(result.OperatorRequestMalformed, json.Unmarshal(rc.Request.Body(), target), "decoding the request")
}

// writeFailure answers with every fault of err.
func writeFailure(rc *app.RequestContext, err error) {
	failure := opapi.Failure{}
	var list *result.List
	if errors.As(err, &list) {
		for _, fault := range list.Faults {
			failure.Faults = append(failure.Faults, opapi.Fault{Code: uint32(fault.Code), Name: fault.Code.String(), Detail: fault.Detail})
		}
	} else {
		code, _ := result.CodeOf(err)
		failure.Faults = append(failure.Faults, opapi.Fault{Code: uint32(code), Name: code.String(), Detail: err.Error()})
	}
	rc.JSON(statusOf(result.Code(failure.Faults[0].Code)), failure)
}

func statusOf(code result.Code) int {
	switch {
	case code == result.OperatorUnauthenticated:
		return http.StatusUnauthorized
	case code == result.OperatorForbidden:
		return http.StatusForbidden
	case code == result.OperatorConflict || code == result.OperatorOperationReused:
		return http.StatusConflict
	case code >= 7000 || code == result.OperatorBusy || code == result.OperatorOutcomeUnknown:
		return http.StatusServiceUnavailable
	case code == result.OperatorWaitExpired:
		return http.StatusGatewayTimeout
	default:
		return http.StatusUnprocessableEntity
	}
}
