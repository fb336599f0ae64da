// Package serviceserver is a stand-in for a plain service.
//
// It runs every call that it accepts and counts the runs of each call key and
// of each attempt id. It does not detect repeats: the serving system has to run
// each call at most once, and the counts show whether it does. An accepted call
// runs even if its caller disconnects.
//
// # Usage
//
//	cfg := serviceserver.DefaultConfig()
//	cfg.EndpointID, cfg.Application = "proofing-1", "proofing"
//	service, err := serviceserver.New(cfg)
//	defer service.Close()
//	runs := service.Runs().ByKey["tenant/key"]
//
// To restart a service, call Close and then New with the same Address; it has a
// new incarnation and empty counts.
//
// # Protocol
//
// The messages and paths of the serving system are in package httpdriver.
// Additional paths:
//
//	GET  /runs    Runs
//	GET  /faults  Faults; POST changes the fields in its body, DELETE clears all
//	POST /drain   refuse new calls; DELETE ends it
package serviceserver

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/httpdriver"
	"github.com/endivemast/endivemast/standins/answerer"
	"github.com/endivemast/endivemast/standins/hoster"
)

// Config configures a service. DefaultConfig returns the defaults.
type Config struct {
	EndpointID   string
	Zone         string
	Application  string // calls for other applications are refused
	Address      string // to listen on
	ServiceTime  time.Duration
	Concurrency  int // calls that run at once; more wait
	MaxWaiting   int // queue limit; further calls are refused as busy
	DrainTimeout time.Duration
	Logger       hclog.Logger
	OnCrash      func() // called after a crash fault has reset all connections
}

// DefaultConfig returns the settings of a service on a free port of the
// loopback address.
func DefaultConfig() Config {
	return Config{
		EndpointID:   "service",
		Zone:         "zone",
		Application:  "application",
		Address:      "127.0.0.1:0",
		ServiceTime:  20 * time.Millisecond,
		Concurrency:  64,
		MaxWaiting:   1024,
		DrainTimeout: time.Minute,
	}
}

// Faults are the faults that a service injects. The zero value is none. Counts
// hold how many of the next calls are affected; a negative number means all.
type Faults struct {
	SlowFactor      float64 `json:"slow_factor"`  // factor on the service time; 0 and 1: none
	Down            bool    `json:"down"`         // resets the connection of each call before reading it
	Hang            bool    `json:"hang"`         // accepts calls, and neither runs nor answers them
	PauseMS         int     `json:"pause_ms"`     // between accepting a call and running it; clearing it ends the pause
	LoseAnswers     int     `json:"lose_answers"` // runs the call and resets the connection
	LateAnswerMS    int     `json:"late_answer_ms"`
	CrossAnswers    int     `json:"cross_answers"`    // sends another attempt's id and a different body
	TruncateAnswers int     `json:"truncate_answers"` // sends half of the answer
	RefuseCalls     int     `json:"refuse_calls"`     // refuses calls as busy without running them
	FailCalls       int     `json:"fail_calls"`       // runs the call and answers with an error
	CrashBeforeRun  bool    `json:"crash_before_run"` // at the next call
	CrashAfterRun   bool    `json:"crash_after_run"`  // at the next call, before its answer
}

// Runs counts how often calls were run.
type Runs struct {
	EndpointID  string         `json:"endpoint_id"`
	Incarnation string         `json:"incarnation"`
	Total       int            `json:"total"`
	Refused     int            `json:"refused"`
	ByKey       map[string]int `json:"by_key"`     // by call key, of calls that have one
	ByAttempt   map[string]int `json:"by_attempt"` // by attempt id
}

// Server is a running service.
type Server struct {
	cfg         Config
	incarnation string
	host        *hoster.Host
	slots       chan struct{}
	stop        chan struct{}
	stopOnce    sync.Once

	mu            sync.Mutex
	faults        Faults
	faultsChanged chan struct{}
	draining      bool
	accepted      int // running and waiting
	running       int
	runs          Runs
}

// New starts a service.
func New(cfg Config) (_ *Server, err error) {
	defer func() { err = eris.Wrapf(err, "start service %s", cfg.EndpointID) }()

	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	if cfg.Concurrency <= 0 {
		return nil, errors.New("concurrency must be above 0")
	}
	s := &Server{
		cfg:           cfg,
		incarnation:   uuid.NewString(),
		slots:         make(chan struct{}, cfg.Concurrency),
		stop:          make(chan struct{}),
		faultsChanged: make(chan struct{}),
		runs:          Runs{ByKey: make(map[string]int), ByAttempt: make(map[string]int)},
	}
	ready := make(chan struct{}) // no handler runs before host is set
	s.host, err = hoster.New(cfg.Address, s.handler(ready))
	if err != nil {
		return nil, err
	}
	close(ready)
	return s, nil
}

// Address returns the IP and port that the service listens on.
func (s *Server) Address() string { return s.host.Address() }

// Incarnation returns the unique id of this service process.
func (s *Server) Incarnation() string { return s.incarnation }

// Faults returns the faults that are set.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
}

// SetDraining sets whether the service refuses new calls.
func (s *Server) SetDraining(draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = draining
}

// Runs returns the counts of runs and refused calls.
func (s *Server) Runs() Runs {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := s.runs
	runs.EndpointID, runs.Incarnation = s.cfg.EndpointID, s.incarnation
	runs.ByKey, runs.ByAttempt = maps.Clone(runs.ByKey), maps.Clone(runs.ByAttempt)
	return runs
}

// Report returns the service's report, which has only its load.
func (s *Server) Report() driver.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return driver.Report{
		EndpointID:      s.cfg.EndpointID,
		Incarnation:     s.incarnation,
		Application:     s.cfg.Application,
		Draining:        s.draining,
		RunningRequests: s.running,
		WaitingRequests: s.accepted - s.running,
	}
}

// Drain makes the service refuse new calls and waits until all accepted ones
// are answered or ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	s.SetDraining(true)
	return s.host.Shutdown(ctx)
}

// Crash stops the service at once: it resets all connections and runs and
// answers no more calls. Close still has to be called.
func (s *Server) Crash() {
	s.host.Abort()
	s.stopOnce.Do(func() { close(s.stop) })
	if s.cfg.OnCrash != nil {
		s.cfg.OnCrash()
	}
}

// Close stops the service, closes its connections and waits for its handlers.
func (s *Server) Close() error {
	s.stopOnce.Do(func() { close(s.stop) })
	return eris.Wrap(s.host.Close(), "close service")
}

// accept admits a call; code is empty when it is accepted. The caller must call
// release for each accepted call.
func (s *Server) accept(call driver.ServiceCall) (code httpdriver.ErrorCode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.draining:
		code = httpdriver.CodeDraining
	case call.Application != s.cfg.Application:
		code = httpdriver.CodeNotServing
	case s.accepted >= s.cfg.Concurrency+s.cfg.MaxWaiting, take(&s.faults.RefuseCalls):
		code = httpdriver.CodeBusy
	default:
		s.accepted++
		return ""
	}
	s.runs.Refused++
	return code
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepted--
}

// run runs an accepted call, also if its caller has disconnected; ok is false
// when the service stops first.
func (s *Server) run(call driver.ServiceCall) (body []byte, ok bool) {
	if !s.delay(func(f Faults) int { return f.PauseMS }) {
		return nil, false
	}
	faults := s.Faults()
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-s.stop:
		return nil, false
	}
	if faults.CrashBeforeRun {
		s.Crash()
		return nil, false
	}
	s.began(call)
	defer s.ended()
	if !s.pause(faults.slow(s.cfg.ServiceTime)) {
		return nil, false
	}
	if faults.CrashAfterRun {
		s.Crash()
		return nil, false
	}
	return answerer.ServiceAnswer(call.Application, call.Operation, call.Body), true
}

// began counts a run at its start, because a run interrupted by a crash may
// have had its effect.
func (s *Server) began(call driver.ServiceCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.runs.Total++
	s.runs.ByAttempt[call.AttemptID]++
	if call.CallKey != "" {
		s.runs.ByKey[call.CallKey]++
	}
	s.cfg.Logger.Info("run", "attempt_id", call.AttemptID, "call_key", call.CallKey)
}

func (s *Server) ended() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// delay waits for the time set by a fault, in milliseconds. A change of the
// fault applies to waits in progress, so that clearing it ends them.
func (s *Server) delay(fault func(Faults) int) (ok bool) {
	started := time.Now()
	for {
		s.mu.Lock()
		ms, changed := fault(s.faults), s.faultsChanged
		s.mu.Unlock()
		left := time.Duration(ms)*time.Millisecond - time.Since(started)
		if left <= 0 {
			return true
		}
		if !s.await(left, changed) {
			return false
		}
	}
}

// pause waits for d; ok is false when the service stops first.
func (s *Server) pause(d time.Duration) (ok bool) {
	return d <= 0 || s.await(d, nil)
}

// await waits until d has elapsed or changed is closed; ok is false when the
// service stops first.
func (s *Server) await(d time.Duration, changed <-chan struct{}) (ok bool) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-changed:
		return true
	case <-s.stop:
		return false
	}
}

// slow multiplies a duration by the slow factor.
func (f Faults) slow(d time.Duration) time.Duration {
	if f.SlowFactor <= 0 {
		return d
	}
	return time.Duration(float64(d) * f.SlowFactor)
}

// take reports whether the next call is affected by a fault, and counts it
// down.
func take(n *int) bool {
	if *n == 0 {
		return false
	}
	if *n > 0 {
		*n--
	}
	return true
}
