package engineserver

import "time"

// Faults are the faults that an engine injects. The zero value is none. Fields
// with a plural event name hold how many of the next events are affected; a
// negative number means all.
type Faults struct {
	SlowFactor float64 `json:"slow_factor"` // factor on the duration of steps and orders; 0 and 1: none
	Down       bool    `json:"down"`        // resets the connection of each call before reading it
	Hang       bool    `json:"hang"`        // accepts calls, and neither computes nor answers

	CrashAfterTokens int  `json:"crash_after_tokens"` // crashes after that many more tokens; 0: never
	CrashNextOrder   bool `json:"crash_next_order"`   // crashes halfway through applying the next order
	FailNextOrder    bool `json:"fail_next_order"`    // reports the next order as failed
	OrderPauseMS     int  `json:"order_pause_ms"`     // between accepting an order and acting on it; clearing it ends the pause

	LoseOrderAnswers    int `json:"lose_order_answers"`    // accepts the order and resets the connection
	LoseAnswers         int `json:"lose_answers"`          // runs the call and resets the connection
	RefuseCalls         int `json:"refuse_calls"`          // refuses calls as busy
	TruncateStreams     int `json:"truncate_streams"`      // ends the stream regularly without its last line
	TruncateAfterTokens int `json:"truncate_after_tokens"` // tokens after which TruncateStreams ends the stream
	CrossAnswers        int `json:"cross_answers"`         // sends another attempt's id and a different text
	DuplicateTokens     int `json:"duplicate_tokens"`      // sends a stream's second token twice
	SkipTokens          int `json:"skip_tokens"`           // omits a stream's second token
	LateAnswerMS        int `json:"late_answer_ms"`        // delay of each answer before its first byte; clearing it ends the delay
}

// slow multiplies a duration by the slow factor.
func (f Faults) slow(d time.Duration) time.Duration {
	if f.SlowFactor <= 0 {
		return d
	}
	return time.Duration(float64(d) * f.SlowFactor)
}

// take reports whether the next event is affected by a fault, and counts it
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
	signal(s.workReady)
}

// Crash stops the engine at once: it resets all connections and answers no more
// calls. Close still has to be called.
func (s *Server) Crash() {
	s.host.Abort()
	s.stopOnce.Do(func() { close(s.stop) })
	if s.cfg.OnCrash != nil {
		s.cfg.OnCrash()
	}
}

func orderPause(f Faults) int { return f.OrderPauseMS }

func lateAnswer(f Faults) int { return f.LateAnswerMS }

// awaitNoHang waits while the hang fault is set; ok is false when done is
// closed or the engine stops first.
func (s *Server) awaitNoHang(done <-chan struct{}) (ok bool) {
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

// delay waits for the time set by a fault, in milliseconds. A change of the
// fault applies to waits in progress, so that clearing it ends them.
func (s *Server) delay(fault func(Faults) int, done <-chan struct{}) (ok bool) {
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

// pause waits for d; ok is false when done is closed or the engine stops first.
func (s *Server) pause(d time.Duration, done <-chan struct{}) (ok bool) {
	return d <= 0 || s.awaitChange(d, nil, done)
}

// awaitChange waits until d has elapsed or changed is closed; ok is false when
// done is closed or the engine stops first.
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

// signal notifies the reader of a channel with a buffer of one, without
// blocking.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
