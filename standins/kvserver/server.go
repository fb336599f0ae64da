package kvserver

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/endivemast/endivemast/internal/provider"
)

// Defaults of Config.
const (
	DefaultProgressInterval = 5 * time.Second
	DefaultHistoryRevisions = 100_000
)

// Config configures a Server. The zero value is a service without rate limits
// on a free port of the loopback address.
type Config struct {
	Address              string        // IP and port; empty: a free port on loopback
	AdminAddress         string        // additional IP and port for faults and stats; empty: none
	ReadsPerSecond       float64       // of the key-value service; 0: no limit
	WritesPerSecond      float64       // of the key-value service; 0: no limit
	WeightReadsPerSecond float64       // of the weight store; 0: no limit
	HostListLag          time.Duration // delay after which changes of the host list are served
	ProgressInterval     time.Duration // between progress notices of a watch; 0: DefaultProgressInterval
	HistoryRevisions     int           // maximum changes before the older half is compacted; 0: DefaultHistoryRevisions
	Seed                 uint64        // of the faults' random number generator
	Hosts                []provider.Host
	Weights              map[string][]string // versions by model
}

// ErrRefuseUnusable is returned when Faults.Refuse is set over the address that
// it closes, or on a server that is not started.
var ErrRefuseUnusable = errors.New("refuse needs a started server and cannot be set over the address that it closes")

var (
	errStarted = errors.New("kvserver already started")
	errClosed  = errors.New("kvserver closed")
)

// Server is the stand-in. All methods are safe for concurrent use.
type Server struct {
	cfg     Config
	store   *store
	faults  *faultState
	counter *counter
	hosts   *hostTable
	weights *weightTable

	group   errgroup.Group
	closing chan struct{}

	mu       sync.Mutex
	closed   bool
	inFlight sync.WaitGroup
	main     *listener // nil before Start
	admin    *listener // nil without AdminAddress
}

// New returns a server whose leases expire from now on. It must be closed with
// Close.
func New(cfg Config) (server *Server, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "create kvserver")
		}
	}()
	if cfg.Address == "" {
		cfg.Address = "127.0.0.1:0"
	}
	if cfg.ProgressInterval <= 0 {
		cfg.ProgressInterval = DefaultProgressInterval
	}
	if cfg.HistoryRevisions <= 0 {
		cfg.HistoryRevisions = DefaultHistoryRevisions
	}
	server = &Server{
		cfg:     cfg,
		store:   newStore(cfg.HistoryRevisions),
		faults:  newFaultState(cfg.Seed, cfg.HostListLag),
		counter: newCounter(cfg),
		hosts:   newHostTable(cfg.Hosts, time.Now()),
		weights: &weightTable{versions: map[string][]string{}},
		closing: make(chan struct{}),
	}
	for model, versions := range cfg.Weights {
		server.weights.set(model, versions)
	}
	server.group.Go(server.runTimers)
	return server, nil
}

// runTimers expires leases and charges open watches until the server is closed.
func (s *Server) runTimers() error {
	expiry := time.NewTicker(expiryInterval)
	defer expiry.Stop()
	second := time.NewTicker(time.Second)
	defer second.Stop()
	for {
		select {
		case <-s.closing:
			return nil
		case now := <-expiry.C:
			s.store.expire(now)
		case now := <-second.C:
			s.counter.chargeWatches(s.store.openWatches(), now)
		}
	}
}

// Handler returns a handler for all paths. It does not support Faults.Refuse.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	s.kvRoutes(mux)
	s.platformRoutes(mux)
	s.adminRoutes(mux, false)
	return s.trackHandlers(mux)
}

func (s *Server) adminHandler() http.Handler {
	mux := http.NewServeMux()
	s.adminRoutes(mux, true)
	return s.trackHandlers(mux)
}

// trackHandlers counts running handlers, because http.Server.Close does not wait for
// them.
func (s *Server) trackHandlers(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		if s.closed {
			s.mu.Unlock()
			abort()
		}
		s.inFlight.Add(1)
		s.mu.Unlock()
		defer s.inFlight.Done()
		next.ServeHTTP(w, r)
	})
}

// Start listens and serves until Close. ctx applies only to the start.
func (s *Server) Start(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "start kvserver")
		}
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return errClosed
	}
	if s.main != nil {
		return errStarted
	}
	main := &listener{address: s.cfg.Address, handler: s.Handler()}
	if err = main.open(ctx); err != nil {
		return err
	}
	s.main = main
	if s.cfg.AdminAddress == "" {
		return nil
	}
	s.admin = &listener{address: s.cfg.AdminAddress, handler: s.adminHandler()}
	return s.admin.open(ctx)
}

// Address returns the IP and port that the server listens on; empty before
// Start.
func (s *Server) Address() string { return s.addressOf(func() *listener { return s.main }) }

// AdminAddress returns the IP and port of the admin listener; empty before
// Start or without one.
func (s *Server) AdminAddress() string { return s.addressOf(func() *listener { return s.admin }) }

func (s *Server) addressOf(pick func() *listener) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if picked := pick(); picked != nil {
		return picked.address
	}
	return ""
}

// Close stops the server and waits for its connections, calls and timers.
func (s *Server) Close() (err error) {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.closing)
	}
	main, admin := s.main, s.admin
	s.mu.Unlock()
	if main != nil {
		err = errors.Join(err, main.close())
	}
	if admin != nil {
		err = errors.Join(err, admin.close())
	}
	s.inFlight.Wait()
	return errors.Join(err, s.group.Wait())
}

// Faults returns the active faults.
func (s *Server) Faults() Faults {
	faults, _ := s.faults.get()
	return faults
}

// SetFaults replaces the active faults. It fails if Refuse can't be used or the
// socket can't be reopened.
func (s *Server) SetFaults(faults Faults) (err error) {
	return s.changeFaults(func(current *Faults) error {
		*current = faults
		return nil
	})
}

func (s *Server) changeFaults(change func(*Faults) error) (err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "set faults")
		}
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	faults, err := s.faults.update(func(faults *Faults) error {
		if err := change(faults); err != nil {
			return err
		}
		if faults.Refuse && (s.main == nil || s.closed) {
			return ErrRefuseUnusable
		}
		return nil
	})
	if err != nil {
		return err
	}
	s.store.setFrozen(faults.FreezeLeases)
	return s.applyRefuse(faults.Refuse)
}

func (s *Server) applyRefuse(refuse bool) error {
	switch {
	case s.main == nil || s.closed:
		return nil
	case refuse:
		return s.main.close()
	default:
		return s.main.open(context.Background())
	}
}

// Stats returns the counters.
func (s *Server) Stats() Stats {
	stats := s.counter.snapshot()
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	stats.Revision, stats.Keys = s.store.revision, len(s.store.keys)
	stats.Leases, stats.OpenWatches = len(s.store.leases), len(s.store.watches)
	return stats
}

// Compact drops the history before a revision.
func (s *Server) Compact(revision int64) error {
	if err := s.store.compact(revision); err != nil {
		return err
	}
	return nil
}

// PutHost adds or replaces a host and returns the new revision of the host
// list.
func (s *Server) PutHost(host provider.Host) (revision int64) {
	return s.hosts.put(host, s.hostsDue())
}

// DeleteHost removes a host and returns the new revision of the host list.
func (s *Server) DeleteHost(id string) (revision int64) {
	return s.hosts.remove(id, s.hostsDue())
}

// SetWeights sets the versions of a model in the weight store.
func (s *Server) SetWeights(model string, versions []string) {
	s.weights.set(model, versions)
}

func (s *Server) adminRoutes(mux *http.ServeMux, canRefuse bool) {
	mux.HandleFunc("GET /faults", s.getFaults)
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) { s.postFaults(w, r, canRefuse) })
	mux.HandleFunc("DELETE /faults", s.deleteFaults)
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Stats())
	})
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Faults())
}

// postFaults changes the faults in the request's body.
func (s *Server) postFaults(w http.ResponseWriter, r *http.Request, canRefuse bool) {
	var body json.RawMessage
	err := readRequest(r, &body)
	if err == nil {
		err = s.changeFaults(func(faults *Faults) error {
			if err := json.Unmarshal(body, faults); err != nil {
				return err
			}
			if faults.Refuse && !canRefuse {
				return ErrRefuseUnusable
			}
			return nil
		})
	}
	if err != nil {
		writeJSON(w, http.StatusBadRequest, errorResponse{err.Error()})
		return
	}
	s.getFaults(w, r)
}

// deleteFaults clears all faults and resets the lag of the host list to its
// configured value.
func (s *Server) deleteFaults(w http.ResponseWriter, r *http.Request) {
	if err := s.SetFaults(Faults{HostListLagMS: s.cfg.HostListLag.Milliseconds()}); err != nil {
		writeJSON(w, http.StatusInternalServerError, errorResponse{err.Error()})
		return
	}
	s.getFaults(w, r)
}
