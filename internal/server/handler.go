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

// callersHandler answers on the callers' listener.
func (s *Server) callersHandler() http.Handler {
	mux := newMuxer()
	callerhttp.Mount(mux, callerhttp.New(caller.NewEndpoints(&callerService{server: s}),
		mux, decodeBody, encodeBody, s.logEncodeError, formatFailure))
	return s.wrap(s.withHealth(s.requireRole(s.readBody(mux), RoleCaller)))
}

// operatorsHandler answers on the operators' listener.
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

// newMuxer makes a muxer that answers unknown paths in our own format.
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

// withHealth answers the health endpoints, which need no API key, and hands
// the rest on.
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

// wrap does what every request needs: it is counted while it runs, has an id,
// and its writes have a deadline.
func (s *Server) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.running.add(1)
		defer s.running.add(-1)
		if s.leaving() {
			w.Header().Set("Connection", "close")
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		id, ok := requestID(r)
		ctx = context.WithValue(ctx, requestIDKey{}, id)
		w.Header().Set(requestIDHeader, id)
		out := newDeadlineWriter(w, s.cfg.WriteTimeout, cancel)
		out.extend() // an earlier request's deadline may stand on the connection
		if !ok {
			writeFailure(ctx, out, errRequestID)
			return
		}
		next.ServeHTTP(out, r.WithContext(ctx))
	})
}

// leaving says that clients are to take their connections elsewhere.
func (s *Server) leaving() bool {
	if s.lingering.Load() {
		return true
	}
	_, reason := s.deps.Readiness.Ready()
	return reason == ReasonDraining
}

// requestIDKey is the context key of the request id.
type requestIDKey struct{}

// requestIDFrom returns the request's id.
func requestIDFrom(ctx context.Context) string {
	id, _ := ctx.Value(requestIDKey{}).(string)
	return id
}

// requestID takes the caller's id or makes one; ok is false when the caller's
// can't be used.
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

// wholeBody is a request body that was read whole.
type wholeBody struct {
	io.Reader
	data []byte
}

// Close does nothing: the body was read.
func (*wholeBody) Close() error { return nil }

// readBody reads the body within the limit of its size, and hands the request
// on. The limit of its time is http.Server's ReadTimeout.
func (s *Server) readBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == nil || r.Body == http.NoBody {
			r.Body = &wholeBody{}
			next.ServeHTTP(w, r)
			return
		}
		data, err := readAll(http.MaxBytesReader(w, r.Body, s.cfg.MaxBodyBytes), r.ContentLength, s.cfg.MaxBodyBytes)
		if err != nil {
			writeFailure(r.Context(), w, bodyFailure(err))
			return
		}
		r.Body = &wholeBody{data: data}
		next.ServeHTTP(w, r)
	})
}

// readAll reads a body into a buffer of its size.
func readAll(body io.Reader, length, limit int64) ([]byte, error) {
	if length < 0 || length > limit {
		return io.ReadAll(body)
	}
	data := make([]byte, length)
	_, err := io.ReadFull(body, data)
	return data, err
}

// bodyFailure tells why a body was not read.
func bodyFailure(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return errTooLarge
	}
	return errBodyBroken
}

// writeMetrics answers /metrics.
func (s *Server) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	s.deps.Metrics.WritePrometheus(w)
}

// logEncodeError hears of answers that could not be written: mostly the
// caller has gone away.
func (s *Server) logEncodeError(ctx context.Context, _ http.ResponseWriter, err error) {
	s.log.Debug("answer not written", "request_id", requestIDFrom(ctx), "error", err)
}
