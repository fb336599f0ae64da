// Package serviceserver is a stand-in for a plain service.
//
// It runs every call that it accepts and counts the runs of each call key and
// of each attempt id. It does not look for repeats: that each call runs at
// most once is the product's job, and the counts show whether it does it. A
// call that was accepted runs even if its caller goes away.
//
// # Usage
//
//	cfg := serviceserver.DefaultConfig()
//	cfg.EndpointID, cfg.Application = "proofing-1", "proofing"
//	service, err := serviceserver.New(cfg)
//	defer service.Close()
//	runs := service.Runs().ByKey["tenant/key"]
//
// A restart is Close followed by New with the earlier Address; it gives a new
// incarnation and empty counts.
//
// # Protocol
//
// The messages and the paths that the product uses are in package httpdriver.
// Beside them:
//
//	GET  /runs    Runs
//	GET  /faults  Faults; POST changes the fields that it names, DELETE clears
//	POST /drain   take no new work; DELETE ends it
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

// Config is what a service is made with. DefaultConfig gives the settings to start from.
type Config struct {
	EndpointID   string
	Zone         string
	Application  string // calls for another one are refused
	Address      string // to listen on
	ServiceTime  time.Duration
	Concurrency  int // calls that run at once; more wait
	MaxWaiting   int // beyond it calls are refused as busy
	DrainTimeout time.Duration
	Logger       hclog.Logger
	OnCrash      func() // called after a crash fault has reset all connections
}

// DefaultConfig is a service on a free port of the loopback address.
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

// Faults are the faults that a service shows. The zero value is none. Fields
// that count say how many of the next calls are affected; a negative number
// means all.
type Faults struct {
	SlowFactor      float64 `json:"slow_factor"`  // stretches the service time; 0 and 1: not
	Down            bool    `json:"down"`         // resets the connection of each call unread
	Hang            bool    `json:"hang"`         // takes calls, and neither runs nor answers
	PauseMS         int     `json:"pause_ms"`     // between accepting a call and running it; clearing it ends the pause
	LoseAnswers     int     `json:"lose_answers"` // runs the call and resets the connection
	LateAnswerMS    int     `json:"late_answer_ms"`
	CrossAnswers    int     `json:"cross_answers"`    // echoes another attempt's id, with another body
	TruncateAnswers int     `json:"truncate_answers"` // sends half of the answer
	RefuseCalls     int     `json:"refuse_calls"`     // as busy, not run
	FailCalls       int     `json:"fail_calls"`       // runs the call and says no
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
		return nil, errors.New("concurrency has to be above 0")
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

// Address is the IP and port that the service listens on.
func (s *Server) Address() string { return s.host.Address() }

// Incarnation names this start of the service.
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

// SetDraining makes the service refuse new calls, or ends that.
func (s *Server) SetDraining(draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = draining
}

// Runs returns the counts.
func (s *Server) Runs() Runs {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := s.runs
	runs.EndpointID, runs.Incarnation = s.cfg.EndpointID, s.incarnation
	runs.ByKey, runs.ByAttempt = maps.Clone(runs.ByKey), maps.Clone(runs.ByAttempt)
	return runs
}

// Report is the service's report; it has figures of load only.
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

// Drain makes the service refuse new calls and waits for those that it has, or until ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	s.SetDraining(true)
	return s.host.Shutdown(ctx)
}

// Crash ends the service at once: all connections are reset, and nothing is
// run or answered any more. Close still has to be called.
func (s *Server) Crash() {
	s.host.Abort()
	s.stopOnce.Do(func() { close(s.stop) })
	if s.cfg.OnCrash != nil {
		s.cfg.OnCrash()
	}
}

// Close ends the service, cuts what is running and waits.
func (s *Server) Close() error {
	s.stopOnce.Do(func() { close(s.stop) })
	return eris.Wrap(s.host.Close(), "close service")
}

// accept takes a call in; code is empty when it is taken. Each success is followed by release.
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

// run runs an accepted call, whether its caller still waits or not; ok is
// false when the service ends first.
func (s *Server) run(call driver.ServiceCall) (body []byte, ok bool) {
	if !s.hold(func(f Faults) int { return f.PauseMS }) {
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

// began counts the run at its beginning: a run that a crash cuts short has
// had its effect as far as anybody can tell.
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

// hold waits for the time that a fault says, in milliseconds. The wait follows
// the fault while it lasts, so that clearing the fault ends it.
func (s *Server) hold(fault func(Faults) int) (ok bool) {
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

// pause waits; ok is false when the service ends first.
func (s *Server) pause(d time.Duration) (ok bool) {
	return d <= 0 || s.await(d, nil)
}

// await waits until the time is over or changed is closed; ok is false when
// the service ends first.
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

// slow stretches a duration by the slow factor.
func (f Faults) slow(d time.Duration) time.Duration {
	if f.SlowFactor <= 0 {
		return d
	}
	return time.Duration(float64(d) * f.SlowFactor)
}

// take uses up one of a fault's events.
func take(n *int) bool {
	if *n == 0 {
		return false
	}
	if *n > 0 {
		*n--
	}
	return true
}
