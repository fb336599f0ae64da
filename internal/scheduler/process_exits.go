package scheduler

import (
	"errors"
	"time"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/scheduler/tracker"
)

// A host detects that an endpoint's process has exited with its first request to it: the
// connection is refused, or another process answers. If each host detected this with
// requests of its own, and again with each probe, many would fail: when 21 of 56 engines
// crashed in a deployment of 80 hosts, 3,000 connections were refused and 1,000 requests
// reached another process, which used up the fleet's retry budget. So a host reports an
// exit to its peers, once Config.IsExitConfirmed rules out that its own path is broken.

// exitReportDuration is how long a process exit is reported to peers. A report is an
// event, not a state: each host that receives it then probes the endpoint itself. Updates
// take a few ticks of the peer protocol to reach all hosts.
const exitReportDuration = 500 * time.Millisecond

// ProcessExit identifies an endpoint's process that has exited.
type ProcessExit struct {
	EndpointID  string
	Incarnation string
	// IsReplaced is true if another process answers at its address; otherwise nothing
	// listens there.
	IsReplaced bool
	// Age is the time since the exit was last detected.
	Age time.Duration
}

// recordProcessExit records a process exit if err shows one.
func (s *Scheduler) recordProcessExit(endpoint *tracker.Endpoint, err error, now time.Time) {
	isReplaced := errors.Is(err, driver.ErrReplaced)
	if !isReplaced && !errors.Is(err, driver.ErrConnectionRefused) {
		return
	}
	if isReplaced {
		endpoint.MarkReplaced(now)
	}
	exit := ProcessExit{EndpointID: endpoint.Target.EndpointID, Incarnation: endpoint.Target.Incarnation, IsReplaced: isReplaced}
	if _, isKnown := s.processExits[exit]; !isKnown && isReplaced {
		s.logger.Info("another process answers at endpoint address", "endpoint_id", exit.EndpointID, "error", err.Error())
	}
	s.processExits[exit] = now
}

// ReportProcessExit has peers informed of the exit of a process at whose address nothing
// listens.
func (s *Scheduler) ReportProcessExit(process driver.Process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processExits[ProcessExit{EndpointID: process.EndpointID, Incarnation: process.Incarnation}] = s.now()
}

// ProcessExits returns the process exits that this host has detected within
// exitReportDuration, to be sent to peers.
func (s *Scheduler) ProcessExits() (exits []ProcessExit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for exit, at := range s.processExits {
		if now.Sub(at) > exitReportDuration {
			delete(s.processExits, exit)
			continue
		}
		if !exit.IsReplaced && !s.cfg.IsExitConfirmed(driver.Process{EndpointID: exit.EndpointID, Incarnation: exit.Incarnation}) {
			continue
		}
		exit.Age = now.Sub(at)
		exits = append(exits, exit)
	}
	return exits
}

// ReceiveProcessExits applies process exits that peers have detected. If nothing listens
// at the endpoint's address, its circuit breaker opens as after a failed connection of
// this host.
func (s *Scheduler) ReceiveProcessExits(exits []ProcessExit, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, exit := range exits {
		endpoint := s.table.Endpoints[exit.EndpointID]
		switch {
		case endpoint == nil || endpoint.Target.Incarnation != exit.Incarnation:
		case exit.IsReplaced:
			if endpoint.ReplacedUntil.IsZero() {
				s.logger.Info("peer reports another process at endpoint address", "endpoint_id", exit.EndpointID)
			}
			endpoint.MarkReplaced(now)
		default:
			if !endpoint.Breaker.IsOpen() {
				s.logger.Info("peer reports that endpoint process exited", "endpoint_id", exit.EndpointID)
			}
			endpoint.Breaker.ReportMissed(s.rand.Float64(), now)
		}
	}
}
