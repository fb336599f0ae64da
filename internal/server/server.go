// Package server implements the HTTP APIs for callers and operators. It decodes
// and validates requests, identifies tenants and operators by their API keys, and
// calls the components behind the interfaces in deps.go.
//
// Callers and operators have separate listeners. Both serve /healthz and /readyz;
// the operators' listener also serves /metrics.
//
// # Usage
//
//	keys, err := server.LoadKeys("keys.json")
//	srv, err := server.New(server.Config{
//		CallersAddress:   "10.0.0.1:8080",
//		OperatorsAddress: "10.0.0.1:8081",
//		CertFile:         "host.crt",
//		KeyFile:          "host.key",
//		Keys:             keys,
//	}, deps)
//	err = srv.Start()
//	...
//	err = srv.Close(ctx)
//
// Access is not open by default: New fails without keys unless Config.Insecure is
// set, and without a certificate unless Config.PlainText is set.
//
// Package design defines the HTTP interfaces; gen is generated from it.
package server

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/endivemast/endivemast/internal/budgeter"
)

//go:generate go tool goa gen github.com/endivemast/endivemast/internal/server/design -o .

// Addresses holds the addresses that a Server listens on, as IP and port.
type Addresses struct {
	Callers   string
	Operators string
}

// Server serves callers and operators. Create it with New.
type Server struct {
	cfg     Config
	deps    Deps
	log     hclog.Logger
	keys    atomic.Pointer[Keys]
	closing atomic.Bool
	running *runningCounter
	group   errgroup.Group

	baseContext context.Context // parent of the contexts of all requests
	cancel      context.CancelFunc

	callers   *httpListener
	operators *httpListener
	closeOnce sync.Once
	closeErr  error
}

// httpListener is a listener with its HTTP server.
type httpListener struct {
	listener *limitedListener
	http     *http.Server
}

// New validates the settings and returns a Server that does not listen yet.
func New(cfg Config, deps Deps) (s *Server, err error) {
	defer func() { err = eris.Wrap(err, "make server") }()
	cfg = cfg.withDefaults()
	if err := cfg.check(); err != nil {
		return nil, err
	}
	if err := deps.check(); err != nil {
		return nil, err
	}
	s = &Server{cfg: cfg, deps: deps, log: deps.Logger, running: newRunningCounter()}
	if s.log == nil {
		s.log = hclog.NewNullLogger()
	}
	s.keys.Store(&cfg.Keys)
	s.baseContext, s.cancel = context.WithCancel(context.Background())
	return s, nil
}

// SetKeys replaces the API keys for requests that arrive from now on.
func (s *Server) SetKeys(keys Keys) (err error) {
	defer func() { err = eris.Wrap(err, "set keys") }()
	if keys.Len() == 0 && !s.cfg.Insecure {
		return errNoKeys
	}
	s.keys.Store(&keys)
	return nil
}

// Start listens on both addresses and serves until Close.
func (s *Server) Start() (err error) {
	defer func() { err = eris.Wrap(err, "start server") }()
	tlsConfig, err := s.cfg.loadTLS()
	if err != nil {
		return err
	}
	callers, err := s.listen(s.cfg.CallersAddress, tlsConfig, s.callersHandler())
	if err != nil {
		return fmt.Errorf("callers' address: %w", err)
	}
	operators, err := s.listen(s.cfg.OperatorsAddress, tlsConfig, s.operatorsHandler())
	if err != nil {
		return errors.Join(fmt.Errorf("operators' address: %w", err), callers.listener.Close())
	}
	s.callers, s.operators = callers, operators
	s.group.Go(func() error { return s.serve(callers) })
	s.group.Go(func() error { return s.serve(operators) })
	return nil
}

// listen opens a listener with its HTTP server.
func (s *Server) listen(address string, tlsConfig *tls.Config, handler http.Handler) (*httpListener, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	listener := newLimitedListener(inner, s.cfg.MaxConnections, s.cfg.Budget, budgeter.Callers)
	listener.onRefuse, listener.isEncrypted = s.cfg.OnRefuse, tlsConfig != nil
	return &httpListener{
		listener: listener,
		http: &http.Server{
			Handler:     withAccount(s.cfg.Budget, handler, s.refuse),
			ConnState:   trackHead,
			ConnContext: withConn,
			HTTP2: &http.HTTP2Config{
				MaxConcurrentStreams: http2Streams, MaxReceiveBufferPerConnection: receiveBufferBytes, MaxReceiveBufferPerStream: receiveBufferBytes,
			},
			TLSConfig:         tlsConfig.Clone(), // each HTTP server modifies its copy for HTTP/2
			ReadHeaderTimeout: s.cfg.ReadHeaderTimeout,
			ReadTimeout:       s.cfg.ReadTimeout,
			IdleTimeout:       s.cfg.IdleTimeout,
			MaxHeaderBytes:    s.cfg.MaxHeaderBytes,
			ErrorLog:          s.log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
			BaseContext:       func(net.Listener) context.Context { return s.baseContext },
		},
	}, nil
}

// http2Streams is how many requests may share a connection.
const http2Streams = 100

// refuse answers a request whose header finds no memory.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, _ error) {
	w.Header().Set("Retry-After", refusalRetryAfter)
	writeFailure(r.Context(), w, errShortage)
}

// serve accepts connections until the listener is closed.
func (s *Server) serve(f *httpListener) (err error) {
	if f.http.TLSConfig != nil {
		err = f.http.ServeTLS(f.listener, "", "")
	} else {
		err = f.http.Serve(f.listener)
	}
	// Close closes the listener before it shuts down the HTTP server.
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	s.log.Error("listener failed", "address", f.listener.Addr().String(), "error", err)
	return err
}

// Addresses returns the addresses of the listeners. It is valid after Start.
func (s *Server) Addresses() Addresses {
	return Addresses{
		Callers:   s.callers.listener.Addr().String(),
		Operators: s.operators.listener.Addr().String(),
	}
}

// Close accepts no new connections, waits for the running requests, and closes. When ctx ends
// first, it cancels the requests that still run. It returns once nothing of the server runs
// any more.
func (s *Server) Close(ctx context.Context) error {
	s.closeOnce.Do(func() {
		s.closeErr = eris.Wrap(s.shutdown(ctx), "close server")
	})
	return s.closeErr
}

// shutdown implements Close.
func (s *Server) shutdown(ctx context.Context) error {
	defer s.cancel()
	if s.callers == nil {
		return nil
	}
	listeners := []*httpListener{s.callers, s.operators}
	for _, f := range listeners {
		f.listener.stop()
	}
	s.waitForIdleClose(ctx, listeners)
	var errs []error
	for _, f := range listeners {
		errs = append(errs, f.http.Shutdown(ctx))
	}
	if errors.Join(errs...) != nil {
		// ctx has ended: cancel the requests that still run, and wait for them.
		s.cancel()
		for _, f := range listeners {
			errs = append(errs, f.http.Close())
		}
	}
	s.running.wait()
	errs = append(errs, s.group.Wait())
	return errors.Join(errs...)
}

// waitForIdleClose gives clients time to close their idle connections after an answer with
// "Connection: close". Shutdown closes idle connections immediately, which would abort a
// request that is already on its way on one of them.
func (s *Server) waitForIdleClose(ctx context.Context, listeners []*httpListener) {
	s.closing.Store(true)
	ctx, cancel := context.WithTimeout(ctx, s.cfg.IdleGrace)
	defer cancel()
	for _, f := range listeners {
		f.listener.waitUntilIdle(ctx)
	}
}
