package server

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/google/uuid"
	goahttp "goa.design/goa/v3/http"

	"github.com/endivemast/endivemast/internal/server/gen/caller"
	"github.com/endivemast/endivemast/internal/server/gen/health"
	callerhttp "github.com/endivemast/endivemast/internal/server/gen/http/caller/server"
	healthhttp "github.com/endivemast/endivemast/internal/server/gen/http/health/server"
	operatorhttp "github.com/endivemast/endivemast/internal/server/gen/http/operator/server"
	"github.com/endivemast/endivemast/internal/server/gen/operator"
)

const (
	requestIDHeader   = "X-Request-Id"
	maxRequestIDBytes = 128
)

// callersHandler returns the handler of the callers' listener.
func (s *Server) callersHandler() http.Handler {
	mux := newMuxer()
	callerhttp.Mount(mux, callerhttp.New(caller.NewEndpoints(&callerService{server: s}),
		mux, decodeBody, encodeBody, s.logEncodeError, formatFailure))
	return s.wrap(s.withHealth(s.requireRole(s.readBody(mux), RoleCaller)))
}

// operatorsHandler returns the handler of the operators' listener.
func (s *Server) operatorsHandler() http.Handler {
	mux := newMuxer()
	operatorhttp.Mount(mux, operatorhttp.New(operator.NewEndpoints(&operatorService{deps: s.deps, log: s.log}),
		mux, decodeBody, encodeBody, s.logEncodeError, formatFailure))
	api := s.requireRole(s.readBody(mux), RoleOperator)
	metrics := s.requireRole(http.HandlerFunc(s.writeMetrics), RoleMonitor, RoleOperator)
	return s.wrap(s.withHealth(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/metrics" && r.Method == http.MethodGet {
			metrics.ServeHTTP(w, r)
			return
		}
		api.ServeHTTP(w, r)
	})))
}

// newMuxer returns a muxer that answers unknown paths and methods with a failureBody.
func newMuxer() goahttp.Muxer {
	mux := goahttp.NewMuxer()
	if router, ok := mux.(interface {
		NotFound(handler http.HandlerFunc)
		MethodNotAllowed(handler http.HandlerFunc)
	}); ok {
		router.NotFound(func(w http.ResponseWriter, r *http.Request) {
			writeFailure(r.Context(), w, errUnknownPath)
		})
		router.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
			writeFailure(r.Context(), w, errWrongMethod)
		})
	}
	return mux
}

// withHealth serves the health endpoints, which need no API key, and passes other requests on.
func (s *Server) withHealth(next http.Handler) http.Handler {
	mux := newMuxer()
	healthhttp.Mount(mux, healthhttp.New(health.NewEndpoints(&healthService{readiness: s.deps.Readiness}),
		mux, decodeBody, encodeBody, s.logEncodeError, formatFailure))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/healthz", "/readyz":
			mux.ServeHTTP(w, r)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// wrap counts a request while it runs, gives it an id and sets deadlines for its writes.
func (s *Server) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.running.add(1)
		defer s.running.add(-1)
		if s.isDraining() {
			w.Header().Set("Connection", "close")
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		id, ok := requestID(r)
		ctx = context.WithValue(ctx, requestIDKey{}, id)
		w.Header().Set(requestIDHeader, id)
		out := newDeadlineWriter(w, s.cfg.WriteTimeout, cancel)
		out.extendDeadline() // the connection may still have the deadline of an earlier request
		if !ok {
			writeFailure(ctx, out, errInvalidRequestID)
			return
		}
		next.ServeHTTP(out, r.WithContext(ctx))
	})
}

// isDraining reports whether clients are to close their connections.
func (s *Server) isDraining() bool {
	if s.closing.Load() {
		return true
	}
	_, reason := s.deps.Readiness.Ready()
	return reason == ReasonDraining
}

type requestIDKey struct{}

// requestIDFrom returns the id of the request.
func requestIDFrom(ctx context.Context) string {
	id, _ := ctx.Value(requestIDKey{}).(string)
	return id
}

// requestID returns the id that the caller gave, or a new one. ok is false if the caller's id
// is invalid.
func requestID(r *http.Request) (id string, ok bool) {
	id = r.Header.Get(requestIDHeader)
	if id == "" {
		return uuid.NewString(), true
	}
	if len(id) > maxRequestIDBytes {
		return uuid.NewString(), false
	}
	for _, c := range []byte(id) {
		if c <= ' ' || c > '~' {
			return uuid.NewString(), false
		}
	}
	return id, true
}

// bufferedBody is a request body that was read completely.
type bufferedBody struct {
	io.Reader
	data []byte
}

// Close does nothing, because the body was read.
func (*bufferedBody) Close() error { return nil }

// readBody reads the body up to the size limit and passes the request on. ReadTimeout of
// http.Server limits the time.
func (s *Server) readBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, err := ReadBody(w, r, s.cfg.MaxBodyBytes, s.cfg.ReadTimeout)
		if err != nil {
			AnswerEarly(w, r, func() {
				if IsShortage(err) {
					w.Header().Set("Retry-After", refusalRetryAfter)
				}
				writeFailure(r.Context(), w, bodyFailure(err))
			})
			return
		}
		r.Body = &bufferedBody{data: data}
		next.ServeHTTP(w, r)
	})
}

// bodyFailure returns the failure for an error of reading a body.
func bodyFailure(err error) error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return errTooLarge
	case IsShortage(err):
		return errShortage
	default:
		return errBodyIncomplete
	}
}

// writeMetrics serves /metrics.
func (s *Server) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	s.deps.Metrics.WritePrometheus(w)
}

// logEncodeError logs responses that could not be written, mostly because the caller has
// disconnected.
func (s *Server) logEncodeError(ctx context.Context, _ http.ResponseWriter, err error) {
	s.log.Debug("failed to write response", "request_id", requestIDFrom(ctx), "error", err)
}
