package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/endivemast/endivemast/internal/budgeter"
	"github.com/endivemast/endivemast/internal/connector"
)

const (
	// passthroughHeaderTimeout limits the time in which a caller sends the header of a request, if
	// the configuration sets no limit.
	passthroughHeaderTimeout = 10 * time.Second
	// passthroughSilentTimeout limits the time until the first byte on a new connection. An idle
	// timeout that is longer applies instead.
	passthroughSilentTimeout = 10 * time.Second
	// passthroughMaxHeaderBytes limits the size of the header of a request, if the configuration
	// sets no limit.
	passthroughMaxHeaderBytes = 64 << 10
	// idleCheckInterval is the time between two checks for idle connections. Idle timeouts are
	// several seconds long.
	idleCheckInterval = 500 * time.Millisecond
)

// PassthroughConfig holds the settings of a Passthrough.
type PassthroughConfig struct {
	Address string            // IP and port
	Network connector.Network // nil: TCP
	Handler http.Handler
	// Budget is that of the process; Pool is the part of its connections for this listener.
	Budget *budgeter.Budget
	Pool   budgeter.Pool
	// MaxConnections is a limit besides that of the Budget; 0: none.
	MaxConnections int
	// MaxHeaderBytes and HeaderTimeout return the limits of the header of a request, and of the
	// time in which it arrives. They are called for each request, so that the limits can change; 0
	// means the default, as does nil.
	MaxHeaderBytes func() int
	HeaderTimeout  func() time.Duration
	// Refuse answers a request that is refused for lack of memory; nil: status 503. OnRefuse is
	// called for each connection and header that is refused before; nil: no call.
	Refuse   func(w http.ResponseWriter, r *http.Request, err error)
	OnRefuse func(reason error)
	// MayAccept reports whether a new connection is accepted; nil: all are. It must not block.
	MayAccept func() bool
	// IdleTimeout returns how long a connection may stay idle. It is called at each check, so
	// that the timeout can change; 0 means no limit.
	IdleTimeout func() time.Duration
	Logger      hclog.Logger
}

// Passthrough serves HTTP/1.1 for requests that are forwarded unchanged. It stops differently
// from Server: BeginDrain makes answers close their connections, and idle connections stay
// open until Close, so that callers have time to learn of other hosts.
type Passthrough struct {
	cfg      PassthroughConfig
	server   *http.Server
	listener *limitedListener
	group    errgroup.Group
	cancel   context.CancelFunc

	mu       sync.Mutex
	idle     map[net.Conn]time.Time // start of the idle time
	draining bool
}

// NewPassthrough returns a Passthrough that does not listen yet.
func NewPassthrough(cfg PassthroughConfig) *Passthrough {
	if cfg.Budget == nil {
		cfg.Budget = budgeter.New(budgeter.Config{Limits: budgeter.LimitsOf(budgeter.Machine{})})
	}
	if cfg.Refuse == nil {
		cfg.Refuse = refuseForShortage
	}
	p := &Passthrough{cfg: cfg, idle: map[net.Conn]time.Time{}}
	// The listener limits headers, as the limits can change.
	p.server = &http.Server{
		Handler:     withAccount(cfg.Budget, http.HandlerFunc(p.serve), cfg.Refuse),
		ConnState:   p.trackIdle,
		ConnContext: withConn,
		ErrorLog:    cfg.Logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	return p
}

// Start listens and serves. It fails if it can't listen on the address.
func (p *Passthrough) Start() (err error) {
	defer func() { err = eris.Wrap(err, "serve callers") }()
	inner, err := connector.OrTCP(p.cfg.Network).Listen(p.cfg.Address)
	if err != nil {
		return err
	}
	p.listener = newLimitedListener(inner, p.cfg.MaxConnections, p.cfg.Budget, p.cfg.Pool)
	p.listener.maxHeadBytes, p.listener.onRefuse = p.maxHeaderBytes, p.cfg.OnRefuse
	if p.cfg.MayAccept != nil {
		p.listener.mayAccept = p.cfg.MayAccept
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.group.Go(func() error {
		if err := p.server.Serve(p.listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			return err
		}
		return nil
	})
	p.group.Go(func() error { return p.closeIdleRegularly(ctx) })
	return nil
}

// maxHeaderBytes returns the largest size of a header.
func (p *Passthrough) maxHeaderBytes() int {
	if p.cfg.MaxHeaderBytes != nil {
		if n := p.cfg.MaxHeaderBytes(); n > 0 {
			return n
		}
	}
	return passthroughMaxHeaderBytes
}

// headerTimeout returns the time in which a header has to arrive.
func (p *Passthrough) headerTimeout() time.Duration {
	if p.cfg.HeaderTimeout != nil {
		if timeout := p.cfg.HeaderTimeout(); timeout > 0 {
			return timeout
		}
	}
	return passthroughHeaderTimeout
}

// refuseForShortage answers a request that is refused for lack of memory.
func refuseForShortage(w http.ResponseWriter, _ *http.Request, err error) {
	w.Header().Set("Retry-After", refusalRetryAfter)
	http.Error(w, err.Error(), http.StatusServiceUnavailable)
}

// Address returns the address on which callers are served.
func (p *Passthrough) Address() string { return p.listener.Addr().String() }

// serve handles a request. While the host drains, the answer closes the connection.
func (p *Passthrough) serve(w http.ResponseWriter, r *http.Request) {
	if p.isDraining() {
		w.Header().Set("Connection", "close")
	}
	p.cfg.Handler.ServeHTTP(w, r)
}

func (p *Passthrough) isDraining() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.draining
}

// trackIdle records since when connections are idle.
func (p *Passthrough) trackIdle(conn net.Conn, state http.ConnState) {
	trackHead(conn, state)
	p.mu.Lock()
	defer p.mu.Unlock()
	if state == http.StateIdle {
		p.idle[conn] = time.Now()
		return
	}
	delete(p.idle, conn)
}

// closeIdleRegularly closes connections that exceed the idle timeout, until ctx ends.
func (p *Passthrough) closeIdleRegularly(ctx context.Context) error {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			limit := p.cfg.IdleTimeout()
			p.listener.closeSlow(now.Add(-p.headerTimeout()), now.Add(-max(limit, passthroughSilentTimeout)))
			if limit > 0 {
				p.closeIdle(now.Add(-limit))
			}
		}
	}
}

// closeIdle closes connections that became idle at the given time or before.
func (p *Passthrough) closeIdle(since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn, at := range p.idle {
		if !at.After(since) && !clientConnOf(conn).hasHead() {
			delete(p.idle, conn)
			_ = conn.Close() // no request is lost on an idle connection
		}
	}
}

// BeginDrain makes each following answer close its connection.
func (p *Passthrough) BeginDrain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.draining = true
}

// Close accepts no new connections, closes idle ones, and waits for running requests. When ctx
// ends, it closes the connections of those that still run.
func (p *Passthrough) Close(ctx context.Context) (err error) {
	defer func() { err = eris.Wrap(err, "stop serving callers") }()
	if p.listener == nil {
		return nil
	}
	err = p.server.Shutdown(ctx)
	if err != nil {
		err = errors.Join(err, p.server.Close())
	}
	p.cancel()
	return errors.Join(err, p.group.Wait())
}
