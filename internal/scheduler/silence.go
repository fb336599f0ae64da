package scheduler

import "time"

// HearZone notes that a host of a zone has spoken.
func (s *Scheduler) HearZone(zone string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.HearZone(zone, now)
}

// noteSilence finds what can't be heard any more, and says of work there that it
// is lost: of a prompt that is being read, and of a request that was sent.
func (s *Scheduler) noteSilence(now time.Time) {
	if s.cfg.ZoneSilence == nil {
		return
	}
	for _, silence := range s.table.NoteSilence(s.cfg.ZoneSilence(), now) {
		s.logger.Info("zone silent, or heard again", "zone", silence.Zone, "is_silent", silence.IsSilent,
			"heard_ms_ago", now.Sub(silence.Since).Milliseconds())
	}
	for _, g := range s.grants {
		at := g.choice.Decode
		if g.choice.Prefill != nil && g.prefilledAt.IsZero() {
			at = g.choice.Prefill
		}
		if at.IsSilent && !g.wasSilent {
			g.lose()
		}
	}
}
