package engineserver

import "time"

// Faults are the faults that an engine shows. The zero value is none. Fields
// named after events in the plural say how many of the next events are
// affected; a negative number means all.
type Faults struct {
	SlowFactor float64 `json:"slow_factor"` // stretches steps and orders; 0 and 1: not
	Down       bool    `json:"down"`        // resets the connection of each call unread
	Hang       bool    `json:"hang"`        // takes calls, and neither computes nor answers

	CrashAfterTokens int  `json:"crash_after_tokens"` // crashes at that many tokens from now; 0: not
	CrashNextOrder   bool `json:"crash_next_order"`   // crashes in the middle of a change
	FailNextOrder    bool `json:"fail_next_order"`    // reports the next order as failed
	OrderPauseMS     int  `json:"order_pause_ms"`     // between accepting an order and acting on it; clearing it ends the pause

	LoseOrderAnswers    int `json:"lose_order_answers"`    // the order is accepted, the connection reset
	LoseAnswers         int `json:"lose_answers"`          // the call is run, the connection reset
	RefuseCalls         int `json:"refuse_calls"`          // as busy
	TruncateStreams     int `json:"truncate_streams"`      // ends cleanly, but without its last line
	TruncateAfterTokens int `json:"truncate_after_tokens"` // where TruncateStreams cuts
	CrossAnswers        int `json:"cross_answers"`         // echoes another attempt's id, with another text
	DuplicateTokens     int `json:"duplicate_tokens"`      // sends a stream's second token twice
	SkipTokens          int `json:"skip_tokens"`           // leaves a stream's second token out
	LateAnswerMS        int `json:"late_answer_ms"`        // holds each answer back before its first byte; clearing it lets them go
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

// streamFaults are the faults of one streamed answer.
type streamFaults struct {
	lose, truncate, cross, duplicate, skip bool
	truncateAfter                          int
}

func (s *Server) takeStreamFaults() streamFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := &s.faults
	return streamFaults{
		lose:          take(&f.LoseAnswers),
		truncate:      take(&f.TruncateStreams),
		cross:         take(&f.CrossAnswers),
		duplicate:     take(&f.DuplicateTokens),
		skip:          take(&f.SkipTokens),
		truncateAfter: f.TruncateAfterTokens,
	}
}

// Faults returns the faults that are set.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	s.faults = faults
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
	s.mu.Unlock()
	signal(s.wake)
}

// Crash ends the engine at once: all connections are reset and nothing is
// answered any more. Close still has to be called.
func (s *Server) Crash() {
	s.host.Abort()
	s.stopOnce.Do(func() { close(s.stop) })
	if s.cfg.OnCrash != nil {
		s.cfg.OnCrash()
	}
}

func orderPause(f Faults) int { return f.OrderPauseMS }

func lateAnswer(f Faults) int { return f.LateAnswerMS }

// awaitUnhung waits while the hang fault is set; ok is false when done is
// closed or the engine stops first.
func (s *Server) awaitUnhung(done <-chan struct{}) (ok bool) {
	for {
		s.mu.Lock()
		hang, changed := s.faults.Hang, s.faultsChanged
		s.mu.Unlock()
		if !hang {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		case <-s.stop:
			return false
		}
	}
}

// hold waits for the time that a fault says, in milliseconds. The wait follows
// the fault while it lasts, so that clearing the fault ends it.
func (s *Server) hold(fault func(Faults) int, done <-chan struct{}) (ok bool) {
	started := time.Now()
	for {
		s.mu.Lock()
		ms, changed := fault(s.faults), s.faultsChanged
		s.mu.Unlock()
		left := time.Duration(ms)*time.Millisecond - time.Since(started)
		if left <= 0 {
			return true
		}
		if !s.awaitChange(left, changed, done) {
			return false
		}
	}
}

// pause waits; ok is false when done is closed or the engine stops first.
func (s *Server) pause(d time.Duration, done <-chan struct{}) (ok bool) {
	return d <= 0 || s.awaitChange(d, nil, done)
}

// awaitChange waits until the time is over or changed is closed; ok is false
// when done is closed or the engine stops first.
func (s *Server) awaitChange(d time.Duration, changed, done <-chan struct{}) (ok bool) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-changed:
		return true
	case <-done:
		return false
	case <-s.stop:
		return false
	}
}

// signal wakes the reader of a channel with room for one signal.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
