// Package engineserver is a stand-in for a model engine.
//
// It simulates continuous batching with a simple time model (see TimeModel), a
// prefix cache of limited size, a priority queue, export and import of KV
// caches, delayed reports and orders. Its answers come from package answerer.
// Faults are set by POST /faults or SetFaults.
//
// # Usage
//
//	cfg := engineserver.DefaultConfig()
//	cfg.EndpointID, cfg.Application = "letters-1", "letters"
//	engine, err := engineserver.New(cfg)
//	defer engine.Close()
//	fmt.Println(engine.Address(), engine.Incarnation())
//
// To restart an engine, call Close and then New with the same Address; it has a
// new incarnation and no state.
//
// # Roles
//
// A mixed engine accepts all work. A prefill engine accepts only prefill calls.
// A decode engine accepts generate calls whose prompt is imported or in its
// prefix cache; it computes up to DecodePrefillLimit tokens itself, enough to
// resume an answer, and refuses calls that need more.
//
// When an exported KV cache can't be fetched, the engine computes the prompt
// itself if its role allows that, and refuses the call otherwise.
//
// # Protocol
//
// The messages and paths of the serving system are in package httpdriver.
// Additional paths:
//
//	GET    /kv/{handle}  an exported KV cache: its driver.KVHandle represents the bytes
//	GET    /orders       the order log: a list of OrderRecord
//	GET    /stats        Stats
//	GET    /faults       Faults; POST changes the fields in its body, DELETE clears all
//	POST   /drain        refuse new work and orders; DELETE ends it
package engineserver

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/httpdriver"
	"github.com/endivemast/endivemast/standins/hoster"
)

// Server is a running engine.
type Server struct {
	cfg         Config
	incarnation string
	host        *hoster.Host
	fetcher     *fetcher
	group       errgroup.Group
	stop        chan struct{}
	stopOnce    sync.Once
	workReady   chan struct{} // notifies the step loop of possible work
	orderReady  chan struct{} // notifies applyOrders of possible orders
	emptied     chan struct{} // the last sequence has ended

	mu            sync.Mutex
	faults        Faults
	faultsChanged chan struct{}
	role          driver.Role
	model         driver.LoadModel
	draining      bool // accepts no new work
	switching     bool // an order is being applied
	waiting       queue
	running       []*sequence // by priority, then arrival
	arrivals      int64
	kvUsed        int
	cache         *prefixCache
	events        eventLog
	exports       []exported // oldest first
	lastHandle    int64
	linkFreeAt    time.Time // when the link has transferred all imports
	orders        orderLog
	loads         []load
	stats         Stats
	attempts      map[string]int
}

// New starts an engine. It fails if the time model is invalid or the address
// can't be listened on.
func New(cfg Config) (_ *Server, err error) {
	defer func() { err = eris.Wrapf(err, "start engine %s", cfg.EndpointID) }()

	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	if m := cfg.TimeModel; m.ChunkTokens <= 0 || m.MaxBatch <= 0 || m.KVTokens <= 0 || m.ImportBandwidth <= 0 {
		return nil, errors.New("chunk tokens, maximum batch, KV memory and import bandwidth must be above 0")
	}
	s := &Server{
		cfg:           cfg,
		incarnation:   uuid.NewString(),
		fetcher:       newFetcher(),
		stop:          make(chan struct{}),
		workReady:     make(chan struct{}, 1),
		orderReady:    make(chan struct{}, 1),
		emptied:       make(chan struct{}, 1),
		faultsChanged: make(chan struct{}),
		role:          cfg.Role,
		model:         driver.LoadModel{Model: cfg.Model, Version: cfg.Version, Adapter: cfg.Adapter},
		cache:         newPrefixCache(cfg.TimeModel.PrefixCacheTokens),
		events:        eventLog{delay: cfg.CacheEventDelay, dropInterval: cfg.CacheEventGap, maxEvents: cfg.CacheEventsKept},
		loads:         []load{{}},
		attempts:      make(map[string]int),
	}
	ready := make(chan struct{}) // no handler runs before host is set
	s.host, err = hoster.New(cfg.Address, s.handler(ready))
	if err != nil {
		return nil, err
	}
	close(ready)
	s.group.Go(s.loop)
	s.group.Go(s.applyOrders)
	return s, nil
}

// Address returns the IP and port that the engine listens on.
func (s *Server) Address() string { return s.host.Address() }

// Incarnation returns the unique id of this engine process.
func (s *Server) Incarnation() string { return s.incarnation }

func (s *Server) advertised() string {
	if s.cfg.AdvertiseAddress != "" {
		return s.cfg.AdvertiseAddress
	}
	return s.Address()
}

// SetDraining sets whether the engine refuses new work and orders.
func (s *Server) SetDraining(draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = draining
}

// Drain makes the engine refuse new work and waits until all accepted work is
// answered or ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	s.SetDraining(true)
	if !s.awaitEmpty(ctx.Done()) {
		return eris.Wrap(context.Cause(ctx), "drain engine")
	}
	return s.host.Shutdown(ctx)
}

// Close stops the engine, closes its connections and waits for its goroutines.
func (s *Server) Close() error {
	s.stopOnce.Do(func() { close(s.stop) })
	err := errors.Join(s.host.Close(), s.group.Wait())
	s.fetcher.close()
	return eris.Wrap(err, "close engine")
}

// enqueue adds a sequence to the queue; code is empty when it is accepted.
func (s *Server) enqueue(q *sequence) (code httpdriver.ErrorCode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if code := s.refusal(q); code != "" {
		s.stats.Refused++
		return code
	}
	if q.imported > 0 {
		s.stats.Imported++
		s.stats.ImportedTokens += int64(q.imported)
		q.readyAt = s.receive(q.call.Import.Bytes)
	}
	if !q.resumeMatches() {
		s.stats.ResumeMismatches++
	}
	s.arrivals++
	q.arrival = s.arrivals
	s.waiting.add(q)
	signal(s.workReady)
	return ""
}

// refusal returns why a call is refused; empty when it is accepted.
func (s *Server) refusal(q *sequence) httpdriver.ErrorCode {
	switch {
	case s.draining || s.switching:
		return httpdriver.CodeDraining
	case q.call.Application != s.cfg.Application:
		return httpdriver.CodeNotServing
	case q.kv > s.cfg.TimeModel.KVTokens:
		return httpdriver.CodeTooLarge
	case len(s.waiting) >= s.cfg.MaxWaiting || take(&s.faults.RefuseCalls):
		return httpdriver.CodeBusy
	default:
		return s.roleRefusal(q)
	}
}

func (s *Server) roleRefusal(q *sequence) httpdriver.ErrorCode {
	switch {
	case s.role == driver.RoleMixed, s.role == driver.RolePrefill && q.work == workExport:
		return ""
	case s.role == driver.RolePrefill || q.work == workExport:
		return httpdriver.CodeWrongRole
	case q.prefillTokens(s.cache.peek(q.call.PrefixKey, q.prefix())) <= s.cfg.DecodePrefillLimit:
		return ""
	case q.call.Import != nil:
		return httpdriver.CodeImportFailed
	default:
		return httpdriver.CodeWrongRole
	}
}

// receive returns when an import is complete: imports are transferred over one
// link, one after the other.
func (s *Server) receive(bytes int64) time.Time {
	start := time.Now()
	if s.linkFreeAt.After(start) {
		start = s.linkFreeAt
	}
	seconds := float64(bytes) / float64(s.cfg.TimeModel.ImportBandwidth)
	s.linkFreeAt = start.Add(time.Duration(seconds * float64(time.Second)))
	return s.linkFreeAt
}
